#include "citronlever/src/Config/ConfigState.h"

#include <algorithm>

namespace citronlever {

ConfigDocumentPtr ConfigState::find(std::string_view Name) const {
  const auto Found = this->DocumentsByName.find(Name);
  if (Found == this->DocumentsByName.end() || Found->second->Removed)
    return nullptr;
  return Found->second;
}

std::uint64_t ConfigState::revisionOf(std::string_view Name) const {
  const ConfigDocumentPtr Found = this->find(Name);
  return Found ? Found->Revision : 0;
}

bool ConfigState::descendsFrom(const ConfigHead &Ancestor) const {
  if (Ancestor.Revision == 0)
    return true;
  return std::ranges::any_of(this->History,
                             [&Ancestor](const ConfigLogEntry &Entry) {
                               return Entry.Revision == Ancestor.Revision &&
                                      Entry.ProposalId == Ancestor.ProposalId;
                             });
}

bool ConfigState::canAdvance(const ConfigHead &Target,
                             std::span<const ConfigLogEntry> NewHistory,
                             bool Full) const {
  if (this->Policy == RevisionPolicy::AcceptAny)
    return Target != this->Head;
  if (Target <= this->Head)
    return false;
  if (!Full || this->Head.Revision == 0 || Target.Epoch > this->Head.Epoch)
    return true;
  if (Target.Lineage != this->Head.Lineage)
    return false;
  return std::ranges::none_of(NewHistory, [this](const ConfigLogEntry &Entry) {
    return Entry.Revision == this->Head.Revision &&
           Entry.ProposalId != this->Head.ProposalId;
  });
}

void ConfigState::reindex(const ConfigDocumentPtr &Old, ConfigDocumentPtr New) {
  const auto Revision = [](const ConfigDocumentPtr &Document) {
    return Document->Revision;
  };
  if (Old) {
    const auto From =
        std::ranges::lower_bound(this->ByRevision, Old->Revision, {}, Revision);
    this->ByRevision.erase(std::find(From, this->ByRevision.end(), Old));
  }
  const auto Place =
      std::ranges::upper_bound(this->ByRevision, New->Revision, {}, Revision);
  this->ByRevision.insert(Place, std::move(New));
}

bool ConfigState::advance(const ConfigHead &Target,
                          std::span<const ConfigDocument> Changed,
                          std::span<const ConfigLogEntry> NewHistory,
                          bool Full) {
  if (!this->canAdvance(Target, NewHistory, Full))
    return false;
  if (Full) {
    this->DocumentsByName.clear();
    this->ByRevision.clear();
    this->History.clear();
  }
  for (const ConfigDocument &Document : Changed) {
    auto Copy = std::make_shared<const ConfigDocument>(Document);
    ConfigDocumentPtr &Slot = this->DocumentsByName[Document.Name];
    this->reindex(Slot, Copy);
    Slot = std::move(Copy);
  }
  for (const ConfigLogEntry &Entry : NewHistory)
    if (this->History.empty() || Entry.Revision > this->History.back().Revision)
      this->History.push_back(Entry);
  while (this->History.size() > MaxHistory)
    this->History.pop_front();
  this->Head = Target;
  return true;
}

ConfigDelta ConfigState::deltaFor(const ConfigPull &Pull,
                                  std::size_t MaxBytes) const {
  ConfigDelta Result;
  Result.Target = this->Head;
  Result.Full = Pull.Full || !this->descendsFrom(Pull.Mine);
  std::uint64_t After = Result.Full ? 0 : Pull.Mine.Revision;
  if (Result.Full == Pull.Full)
    After = std::max(After, Pull.Cursor);
  std::size_t Size = 0;
  auto Next = std::ranges::upper_bound(
      this->ByRevision, After, {},
      [](const ConfigDocumentPtr &Document) { return Document->Revision; });
  for (; Next != this->ByRevision.end(); ++Next) {
    const ConfigDocument &Document = **Next;
    if (Size > 0 && Size + Document.Body.size() > MaxBytes) {
      Result.More = true;
      return Result;
    }
    Size += Document.Body.size() + 1;
    Result.Documents.push_back(Document);
  }
  for (const ConfigLogEntry &Entry : this->History)
    if (Result.Full || Entry.Revision > Pull.Mine.Revision)
      Result.History.push_back(Entry);
  return Result;
}

} // namespace citronlever
