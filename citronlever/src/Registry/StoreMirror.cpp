#include "citronlever/src/Registry/StoreMirror.h"

#include <vector>

namespace citronlever {

void StoreMirror::apply(const StoreItem &Item) {
  const auto Known = this->Items.find(Item.Key);
  if (Known != this->Items.end() && Known->second.Revision >= Item.Revision)
    return;
  const auto Removal = this->RemovalRevisions.find(Item.Key);
  if (Removal != this->RemovalRevisions.end() &&
      Removal->second >= Item.Revision)
    return;
  if (!Item.Removed) {
    this->Items.insert_or_assign(Item.Key, Item);
    this->RemovalRevisions.erase(Item.Key);
    this->OnChange(Item);
    return;
  }
  if (this->RemovalRevisions.size() >= MaxRemovals)
    this->RemovalRevisions.clear();
  this->RemovalRevisions.insert_or_assign(Item.Key, Item.Revision);
  if (Known != this->Items.end()) {
    this->Items.erase(Known);
    this->OnChange(Item);
  }
}

void StoreMirror::beginRead(const std::string &Prefix, StoreRevision AsOf) {
  this->ReadPrefix = Prefix;
  this->ReadAsOf = AsOf;
  this->ReadKeys.clear();
}

void StoreMirror::applyReadItem(const StoreItem &Item) {
  this->ReadKeys.insert(Item.Key);
  this->apply(Item);
}

void StoreMirror::endRead() {
  std::vector<std::string> Missing;
  for (auto It = this->Items.lower_bound(this->ReadPrefix);
       It != this->Items.end() && It->first.starts_with(this->ReadPrefix); ++It)
    if (!this->ReadKeys.contains(It->first) &&
        It->second.Revision < this->ReadAsOf)
      Missing.push_back(It->first);
  for (const std::string &Key : Missing)
    this->apply({Key, {}, this->ReadAsOf, true});
  this->ReadKeys.clear();
}

const StoreItem *StoreMirror::find(std::string_view Key) const {
  const auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? nullptr : &Found->second;
}

} // namespace citronlever
