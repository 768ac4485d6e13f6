#include "citronlever/src/Registry/ChangeRelay.h"

#include <algorithm>
#include <utility>

namespace citronlever {

void ChangeRelay::record(const StoreItem &Item) {
  this->RecentChanges.push_back(Item);
  if (this->RecentChanges.size() <= MaxRecentChanges)
    return;
  this->DroppedUpTo =
      std::max(this->DroppedUpTo, this->RecentChanges.front().Revision);
  this->RecentChanges.pop_front();
}

void ChangeRelay::advance(std::uint64_t NewAsOf, TimePoint Now) {
  if (!this->Available && this->AsOf == 0)
    this->DroppedUpTo = std::max(this->DroppedUpTo, NewAsOf);
  this->Available = true;
  this->AsOf = std::max(this->AsOf, NewAsOf);
  std::erase_if(this->PendingRequests, [&](const PendingRequest &Request) {
    return this->answer(Request, false);
  });
  this->expire(Now);
}

void ChangeRelay::onStoreUnavailable() {
  this->Available = false;
  for (const PendingRequest &Request : std::exchange(this->PendingRequests, {}))
    Request.OnAnswer(StoreStatus::Refused, {});
}

void ChangeRelay::requestChanges(std::uint64_t Revision, Duration Wait,
                                 TimePoint Now, Callback OnAnswer) {
  PendingRequest Request{Revision, Now + Wait, std::move(OnAnswer)};
  if (!this->Available)
    Request.OnAnswer(StoreStatus::Refused, {});
  else if (Revision < this->DroppedUpTo)
    Request.OnAnswer(StoreStatus::HistoryGone, {});
  else if (!this->answer(Request, false))
    this->PendingRequests.push_back(std::move(Request));
}

bool ChangeRelay::answer(const PendingRequest &Request, bool AllowEmpty) const {
  RelayedChanges Result;
  for (const StoreItem &Item : this->RecentChanges)
    if (Item.Revision > Request.Revision)
      Result.Items.push_back(Item);
  if (Result.Items.empty() && !AllowEmpty)
    return false;
  Result.AsOf = std::max(this->AsOf, Request.Revision);
  Request.OnAnswer(StoreStatus::Done, std::move(Result));
  return true;
}

void ChangeRelay::expire(TimePoint Now) {
  std::erase_if(this->PendingRequests, [&](const PendingRequest &Request) {
    return Request.Deadline <= Now && this->answer(Request, true);
  });
}

} // namespace citronlever
