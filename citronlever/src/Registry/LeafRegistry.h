#pragma once

#include "citronlever/src/Registry/LeafEntry.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Which leaves exist, as the platform's registry says, allowing for a registry
/// that was away: entries whose leases lapsed meanwhile are back soon after it
/// is, so a removal counts only once the registry has been back for a while.
class LeafRegistry {
public:
  /// Time after the registry's return in which live leaves have registered
  /// again.
  static constexpr Duration RecoveryGracePeriod = Milliseconds(2200);

  /// Takes the entry of a leaf. \returns whether anything but figures that
  /// change with each heartbeat is new.
  bool put(LeafEntry Entry, TimePoint Now);

  /// The entry of \p Id is gone, or can't be read.
  void remove(std::string_view Id, TimePoint Now);

  /// The registry answers again after it did not.
  void onStoreRecovered(TimePoint Now);

  /// Drops leaves whose removal counts by \p Now. \returns whether any was.
  bool expire(TimePoint Now);

  /// \returns when expire() has something to do, or TimePoint::max().
  TimePoint nextExpiry() const;

  /// Runs \p Use for each leaf, those with a pending removal included.
  void forEach(const std::function<void(const LeafEntry &)> &Use) const;

  /// \returns the entry of \p Id, or null.
  const LeafEntry *find(std::string_view Id) const;

  /// Counts every change that forEach() shows, but for ColdTimeLeft alone.
  std::uint64_t generation() const { return this->Generation; }

  std::size_t size() const { return this->Leaves.size(); }

private:
  struct Record {
    LeafEntry Entry;
    /// When a pending removal counts; max() without one.
    TimePoint RemoveAt = TimePoint::max();
  };

  std::map<std::string, Record, std::less<>> Leaves;
  TimePoint RemovalsTrustedFrom{};
  std::uint64_t Generation = 0;
};

} // namespace citronlever
