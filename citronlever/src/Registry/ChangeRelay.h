#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Changes that a member watching the store sends to a member that does not.
struct RelayedChanges {
  std::vector<StoreItem> Items;
  /// Store revision up to which the changes are complete.
  StoreRevision AsOf;

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

  /// Bound of keptBytes(). An answer with all of them stays below what an
  /// HttpClient accepts.
  static constexpr std::size_t MaxKeptBytes = 3 << 19;

  /// Adds a change to be relayed; it replaces an earlier one of its key.
  /// Changes that are only heartbeats should not be recorded.
  void record(const StoreItem &Item);

  /// Marks the recorded changes as complete up to store revision \p AsOf and
  /// answers the pending requests that have changes. Changes of an earlier era
  /// are dropped.
  void advance(StoreRevision AsOf, TimePoint Now);

  /// Rejects all pending requests: this member cannot reach the store.
  void onStoreUnavailable();

  /// Calls \p OnAnswer with the changes after \p Revision as soon as there are
  /// any, and with none after \p Wait.
  void requestChanges(StoreRevision Revision, Duration Wait, TimePoint Now,
                      Callback OnAnswer);

  /// Answers pending requests whose wait has ended.
  void expire(TimePoint Now);

  /// \returns the size of the keys and values that are kept.
  std::size_t keptBytes() const { return this->KeptBytes; }

private:
  struct PendingRequest {
    StoreRevision Revision;
    TimePoint Deadline;
    Callback OnAnswer;
  };

  /// Changes by revision; one transaction can make several.
  using Changes = std::multimap<StoreRevision, StoreItem>;

  /// Drops all changes, which are of an earlier era or are read again.
  void beginEra(StoreRevision FirstAsOf);
  /// \returns whether \p Request was answered; without changes it is only
  /// answered if \p AllowEmpty.
  bool answer(const PendingRequest &Request, bool AllowEmpty) const;
  void drop(Changes::iterator Change);

  static constexpr std::size_t MaxKeptChanges = 4096;

  /// The last change of each key.
  Changes Kept;
  /// Refers to the keys of Kept.
  std::map<std::string_view, Changes::iterator> LastOfKey;
  std::size_t KeptBytes = 0;
  std::vector<PendingRequest> PendingRequests;
  /// Changes up to this revision are no longer kept.
  StoreRevision DroppedUpTo;
  /// Recorded changes are complete up to this revision.
  StoreRevision AsOf;
  bool Available = false;
};

} // namespace citronlever
