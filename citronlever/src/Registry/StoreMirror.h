#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace citronlever {

/// Local copy of the store's keys, built from reads and watches that may
/// overlap, repeat or leave gaps. Each key only ever advances to a newer
/// revision. Does no I/O and reads no clock.
class StoreMirror {
public:
  /// Called for each key that changed; Removed is set for a removed key.
  using Listener = std::function<void(const StoreItem &)>;

  explicit StoreMirror(Listener OnChange) : OnChange(std::move(OnChange)) {}

  /// Applies a change. Changes may come in any order; those not newer than the
  /// known revision of the key are ignored.
  void apply(const StoreItem &Item);

  /// Begins a read of all keys with \p Prefix. \p AsOf is the store revision of
  /// its first page.
  void beginRead(const std::string &Prefix, StoreRevision AsOf);

  /// Applies an item of the read in progress.
  void applyReadItem(const StoreItem &Item);

  /// Ends the read. Keys with its prefix that it did not contain and that are
  /// older than its first page were removed while changes were missed; they are
  /// removed here.
  void endRead();

  /// \returns the item with \p Key, or null.
  const StoreItem *find(std::string_view Key) const;

  std::size_t size() const { return this->Items.size(); }

private:
  Listener OnChange;
  std::map<std::string, StoreItem, std::less<>> Items;
  /// Revisions at which keys were removed, so that an older write does not
  /// restore a removed key.
  std::map<std::string, StoreRevision, std::less<>> RemovalRevisions;
  /// Bounds the memory for removals; they are all dropped when it is reached.
  static constexpr std::size_t MaxRemovals = 4096;

  /// State of the read in progress.
  std::string ReadPrefix;
  StoreRevision ReadAsOf;
  std::set<std::string, std::less<>> ReadKeys;
};

} // namespace citronlever
