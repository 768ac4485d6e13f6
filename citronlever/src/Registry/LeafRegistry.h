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

  std::map<std::string, Record, std::less<>> Leaves;
  TimePoint RemovalsTrustedFrom{};
  std::uint64_t Generation = 0;
};

} // namespace citronlever
