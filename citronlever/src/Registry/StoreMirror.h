#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace citronlever {

/// What this process knows of the store's keys, from reads and watches that may
/// overlap, repeat or come after a gap. No I/O and no clock: a key only ever
/// moves to a newer revision.
class StoreMirror {
public:
  /// Told of each key that changed; a removed one has Removed set.
  using Listener = std::function<void(const StoreItem &)>;

  explicit StoreMirror(Listener OnChange) : OnChange(std::move(OnChange)) {}

  /// Takes changes in any order; older ones than those known are dropped.
  void apply(const StoreItem &Item);

  /// Begins a read of everything under \p Prefix. \p AsOf is the revision of
  /// its first page.
  void beginRead(const std::string &Prefix, std::uint64_t AsOf);

  /// Takes an item of the read that began.
  void applyReadItem(const StoreItem &Item);

  /// Ends the read: keys under its prefix that it did not show and that are not
  /// newer than its first page have been removed in a gap.
  void endRead();

  /// \returns the item of \p Key, or null.
  const StoreItem *find(std::string_view Key) const;

  std::size_t size() const { return this->Items.size(); }

private:
  Listener OnChange;
  std::map<std::string, StoreItem, std::less<>> Items;
  /// Revisions of removals, so that an older write does not bring a key back.
  std::map<std::string, std::uint64_t, std::less<>> RemovalRevisions;
  static constexpr std::size_t MaxRemovals = 4096;

  std::string ReadPrefix;
  std::uint64_t ReadAsOf = 0;
  std::set<std::string, std::less<>> ReadKeys;
};

} // namespace citronlever
