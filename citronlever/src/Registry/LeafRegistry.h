#pragma once

#include "citronlever/src/Registry/LeafEntry.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Set of leaves known from the platform's registry. Tolerates outages of the
/// registry: live leaves whose leases expired during an outage register again
/// soon after it ends, so removals take effect only after a grace period.
class LeafRegistry {
public:
  /// Time after the end of a registry outage within which live leaves have
  /// registered again.
  static constexpr Duration RecoveryGracePeriod = Milliseconds(2200);

  /// Adds or updates the entry of a leaf and cancels a pending removal.
  /// \returns whether anything changed other than values that change with every
  /// heartbeat.
  bool put(LeafEntry Entry, TimePoint Now);

  /// Removes leaf \p Id, whose entry was removed or cannot be decoded, after
  /// the grace period if one is running.
  void remove(std::string_view Id, TimePoint Now);

  /// Starts the grace period: the registry responds again after an outage.
  void onStoreRecovered(TimePoint Now);

  /// The registry came back from an older copy. Until a leaf writes again, an
  /// entry older than the last one known of it is ignored, also if the leaf has
  /// been removed. Leaves that the copy lacks have the grace period.
  void onStoreRestored(TimePoint Now);

  /// Drops leaves whose removal is due at \p Now.
  /// \returns whether any was dropped.
  bool expire(TimePoint Now);

  /// \returns when the next removal is due, or TimePoint::max() if none is
  /// pending.
  TimePoint nextExpiry() const;

  /// Calls \p Use for each leaf, including those with a pending removal.
  void forEach(const std::function<void(const LeafEntry &)> &Use) const;

  /// \returns the entry of \p Id, or null.
  const LeafEntry *find(std::string_view Id) const;

  /// \returns a counter of changes visible through forEach(), except that
  /// ColdTimeLeft shrinks as time passes.
  std::uint64_t generation() const { return this->Generation; }

  std::size_t size() const { return this->Leaves.size(); }

private:
  struct Record {
    LeafEntry Entry;
    /// When the pending removal is due; max() if there is none.
    TimePoint RemoveAt = TimePoint::max();
    /// End of the cold time as of the last change.
    TimePoint ColdUntil{};
  };

  /// The last write known of a leaf.
  struct LastWrite {
    std::int64_t Incarnation = 0;
    std::int64_t Sequence = 0;
    bool Removed = false;
  };

  /// \returns whether a restored copy holds \p Entry from before the last
  /// write.
  bool isOutdated(const LeafEntry &Entry) const;

  /// Bounds the memory for removed leaves; all are dropped when it is reached.
  static constexpr std::size_t MaxRemoved = 4096;

  std::map<std::string, Record, std::less<>> Leaves;
  /// Last writes of removed leaves.
  std::map<std::string, LastWrite, std::less<>> Removed;
  /// Last writes as of the restore, of leaves that have not written since.
  std::map<std::string, LastWrite, std::less<>> BeforeRestore;
  TimePoint RemovalsTrustedFrom{};
  std::uint64_t Generation = 0;
};

} // namespace citronlever
