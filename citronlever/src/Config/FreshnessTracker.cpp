#include "citronlever/src/Config/FreshnessTracker.h"

#include <algorithm>

namespace citronlever {

void FreshnessTracker::onPeerAnswered(const std::string &Name, bool Remote,
                                      const ConfigHead &Theirs, TimePoint Now) {
  this->Answers[Name] = {Now, Theirs, Remote};
}

void FreshnessTracker::setRemotePeers(std::size_t Count,
                                      std::span<const std::string_view> Live) {
  this->RemotePeers = Count;
  this->HasSeenRemotePeers = this->HasSeenRemotePeers || Count > 0;
  std::erase_if(this->Answers, [&Live](const auto &Known) {
    return !std::ranges::binary_search(Live, std::string_view(Known.first));
  });
}

void FreshnessTracker::onHigherHeadSeen(const ConfigHead &Theirs,
                                        TimePoint Now) {
  this->BestSeen = std::max(this->BestSeen, Theirs);
  if (!this->BehindSince)
    this->BehindSince = Now;
}

void FreshnessTracker::onHeadChanged(const ConfigHead &NewHead) {
  this->Head = NewHead;
  if (this->Head >= this->BestSeen)
    this->BehindSince.reset();
}

bool FreshnessTracker::hasRemoteContact(TimePoint Now) const {
  return std::ranges::any_of(this->Answers, [&](const auto &Known) {
    return Known.second.Remote && this->isRecent(Known.second.At, Now);
  });
}

bool FreshnessTracker::hasFreshConfig(TimePoint Now) const {
  if (this->Head.Revision == 0)
    return false;
  if (this->BehindSince && !this->isRecent(*this->BehindSince, Now))
    return false;
  if (this->LastStoreAnswer && this->isRecent(*this->LastStoreAnswer, Now))
    return true;
  return !this->HasSeenRemotePeers || this->hasRemoteContact(Now);
}

std::size_t FreshnessTracker::confirmations(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Answers, [&](const auto &Known) {
        return Known.second.Remote && this->isRecent(Known.second.At, Now) &&
               Known.second.Head == this->Head;
      }));
}

} // namespace citronlever
