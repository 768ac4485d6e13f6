#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// What a member that follows the store tells one that follows this member.
struct RelayedChanges {
  std::vector<StoreItem> Items;
  std::uint64_t AsOf = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Items, this->AsOf);
  }
};

/// Passes changes of the store on to members that do not watch it themselves.
/// Load pattern: a large fleet in which each member's watch is a call that is
/// paid for and counted against the store's rate.
class ChangeRelay {
public:
  /// Status Done, HistoryGone if the changes asked for are no longer kept, or
  /// Refused while this member itself does not reach the store.
  using Callback = std::function<void(StoreStatus, RelayedChanges)>;

  /// Keeps a change that means something; heartbeats alone do not.
  void record(const StoreItem &Item);

  /// All changes up to \p AsOf have been recorded.
  void advance(std::uint64_t AsOf, TimePoint Now);

  /// The store does not answer this member.
  void onStoreUnavailable();

  /// Calls \p OnAnswer with the changes after \p Revision, at the latest when
  /// \p Wait is over.
  void requestChanges(std::uint64_t Revision, Duration Wait, TimePoint Now,
                      Callback OnAnswer);

  /// Answers questions whose wait is over.
  void expire(TimePoint Now);

private:
  struct PendingRequest {
    std::uint64_t Revision;
    TimePoint Deadline;
    Callback OnAnswer;
  };

  bool answer(const PendingRequest &Request, bool AllowEmpty) const;

  static constexpr std::size_t MaxRecentChanges = 4096;

  std::deque<StoreItem> RecentChanges;
  std::vector<PendingRequest> PendingRequests;
  /// Changes up to here are no longer kept.
  std::uint64_t DroppedUpTo = 0;
  std::uint64_t AsOf = 0;
  bool Available = false;
};

} // namespace citronlever
