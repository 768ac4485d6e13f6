#include "citronlever/src/Registry/ChangeRelay.h"

#include <algorithm>
#include <utility>

namespace citronlever {

namespace {

std::size_t sizeOf(const StoreItem &Item) {
  return Item.Key.size() + Item.Value.size();
}

} // namespace

void ChangeRelay::record(const StoreItem &Item) {
  if (const auto Earlier = this->LastOfKey.find(Item.Key);
      Earlier != this->LastOfKey.end())
    this->drop(Earlier->second);
  const auto Added = this->Kept.emplace(Item.Revision, Item);
  this->LastOfKey.emplace(Added->second.Key, Added);
  this->KeptBytes += sizeOf(Item);
  while (this->KeptBytes > MaxKeptBytes || this->Kept.size() > MaxKeptChanges) {
    this->DroppedUpTo = std::max(this->DroppedUpTo, this->Kept.begin()->first);
    this->drop(this->Kept.begin());
  }
}

void ChangeRelay::drop(Changes::iterator Change) {
  this->KeptBytes -= sizeOf(Change->second);
  this->LastOfKey.erase(Change->second.Key);
  this->Kept.erase(Change);
}

void ChangeRelay::beginEra(StoreRevision FirstAsOf) {
  this->LastOfKey.clear();
  this->Kept.clear();
  this->KeptBytes = 0;
  this->DroppedUpTo = FirstAsOf;
  this->AsOf = FirstAsOf;
}

void ChangeRelay::advance(StoreRevision NewAsOf, TimePoint Now) {
  if (NewAsOf.Era > this->AsOf.Era)
    this->beginEra(NewAsOf);
  if (!this->Available && this->AsOf == StoreRevision{})
    this->DroppedUpTo = std::max(this->DroppedUpTo, NewAsOf);
  this->Available = true;
  this->AsOf = std::max(this->AsOf, NewAsOf);
  // An answer may end in a new request.
  for (PendingRequest &Request : std::exchange(this->PendingRequests, {}))
    if (!this->answer(Request, Request.Deadline <= Now))
      this->PendingRequests.push_back(std::move(Request));
}

void ChangeRelay::onStoreUnavailable() {
  this->Available = false;
  for (const PendingRequest &Request : std::exchange(this->PendingRequests, {}))
    Request.OnAnswer(StoreStatus::Refused, {});
}

void ChangeRelay::requestChanges(StoreRevision Revision, Duration Wait,
                                 TimePoint Now, Callback OnAnswer) {
  PendingRequest Request{Revision, Now + Wait, std::move(OnAnswer)};
  if (!this->Available)
    Request.OnAnswer(StoreStatus::Refused, {});
  else if (!this->answer(Request, false))
    this->PendingRequests.push_back(std::move(Request));
}

bool ChangeRelay::answer(const PendingRequest &Request, bool AllowEmpty) const {
  if (Request.Revision < this->DroppedUpTo) {
    Request.OnAnswer(StoreStatus::HistoryGone, {});
    return true;
  }
  RelayedChanges Result;
  for (auto It = this->Kept.upper_bound(Request.Revision);
       It != this->Kept.end(); ++It)
    Result.Items.push_back(It->second);
  if (Result.Items.empty() && !AllowEmpty)
    return false;
  Result.AsOf = std::max(this->AsOf, Request.Revision);
  Request.OnAnswer(StoreStatus::Done, std::move(Result));
  return true;
}

void ChangeRelay::expire(TimePoint Now) {
  for (PendingRequest &Request : std::exchange(this->PendingRequests, {}))
    if (Request.Deadline > Now || !this->answer(Request, true))
      this->PendingRequests.push_back(std::move(Request));
}

} // namespace citronlever
