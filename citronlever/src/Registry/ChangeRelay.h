#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// Changes that a member watching the store sends to a member that does not.
struct RelayedChanges {
  std::vector<StoreItem> Items;
  /// Store revision up to which the changes are complete.
  std::uint64_t AsOf = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Items, this->AsOf);
  }
};

/// Serves store changes to members that do not watch the store themselves. Load
/// pattern: a large fleet, in which a watch by every member would be a call
/// that is billed and counted against the store's rate limit.
class ChangeRelay {
public:
  /// The status is Done, HistoryGone if the requested changes are no longer
  /// kept, or Refused while this member itself cannot reach the store.
  using Callback = std::function<void(StoreStatus, RelayedChanges)>;

  /// Adds a change to be relayed. Changes that are only heartbeats should not
  /// be recorded.
  void record(const StoreItem &Item);

  /// Marks the recorded changes as complete up to store revision \p AsOf and
  /// answers the pending requests that have changes.
  void advance(std::uint64_t AsOf, TimePoint Now);

  /// Rejects all pending requests: this member cannot reach the store.
  void onStoreUnavailable();

  /// Calls \p OnAnswer with the changes after \p Revision as soon as there are
  /// any, and with none after \p Wait.
  void requestChanges(std::uint64_t Revision, Duration Wait, TimePoint Now,
                      Callback OnAnswer);

  /// Answers pending requests whose wait has ended.
  void expire(TimePoint Now);

private:
  struct PendingRequest {
    std::uint64_t Revision;
    TimePoint Deadline;
    Callback OnAnswer;
  };

  /// \returns whether \p Request was answered; without changes it is only
  /// answered if \p AllowEmpty.
  bool answer(const PendingRequest &Request, bool AllowEmpty) const;

  static constexpr std::size_t MaxRecentChanges = 4096;

  std::deque<StoreItem> RecentChanges;
  std::vector<PendingRequest> PendingRequests;
  /// Changes up to this revision are no longer kept.
  std::uint64_t DroppedUpTo = 0;
  /// Recorded changes are complete up to this revision.
  std::uint64_t AsOf = 0;
  bool Available = false;
};

} // namespace citronlever
