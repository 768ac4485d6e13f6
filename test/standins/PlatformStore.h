#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronlever::standin {

/// One key of the store.
struct StoreEntry {
  std::string Value;
  std::uint64_t Revision = 0;
  /// The lease that the key is attached to, or "".
  std::string Lease;
};

/// Result of a write.
struct WriteResult {
  bool Applied = false;
  /// The new revision, or the current one of the key on a conflict.
  std::uint64_t Revision = 0;
};

/// The keys, revisions and leases of the platform's service.
class PlatformStore {
public:
  static constexpr std::size_t MaxValueBytes = 1 << 20;

  /// \returns the entry of \p Key, or null.
  const StoreEntry *find(const std::string &Key) const;

  /// \returns the revision of \p Key, 0 if it is absent.
  std::uint64_t revisionOf(const std::string &Key) const;

  /// Compare-and-swap.
  WriteResult put(const std::string &Key, std::string Value,
                  std::uint64_t ExpectedRevision, const std::string &Lease);

  /// Compare-and-swap to absence.
  WriteResult remove(const std::string &Key, std::uint64_t ExpectedRevision);

  std::string grantLease(Duration TimeToLive, TimePoint Now);
  bool hasLease(const std::string &Id) const;
  bool renewLease(const std::string &Id, TimePoint Now);
  bool revokeLease(const std::string &Id);

  /// Revokes leases that have expired at \p Now, with their keys.
  /// \returns whether there were any.
  bool expireLeases(TimePoint Now);

  /// Revokes all leases and removes their keys.
  void revokeAllLeases();

  /// Keeps a copy of the whole state under \p Name.
  void save(const std::string &Name);

  /// Restores the copy \p Name. \returns false if there is none.
  bool restore(const std::string &Name);

  /// Removes all keys and leases and starts revisions again.
  void clear();

  std::size_t size() const { return this->Current.Entries.size(); }

private:
  struct Lease {
    Duration TimeToLive{};
    TimePoint ExpiresAt{};
  };
  struct State {
    std::map<std::string, StoreEntry> Entries;
    std::map<std::string, Lease> Leases;
    std::uint64_t Revision = 0;
  };

  void eraseKeysOf(const std::string &Lease);

  State Current;
  std::map<std::string, State> Saved;
  std::uint64_t LeaseCount = 0;
};

} // namespace citronlever::standin
