#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// What became of a call to the store.
enum class StoreStatus : std::uint8_t {
  Done,
  /// The key or the lease does not exist.
  Absent,
  /// A precondition does not hold; nothing was written.
  Conflict,
  /// The history that a watch asked for is gone: read everything again.
  HistoryGone,
  /// Nothing was done.
  Refused,
  /// No whole answer came; a write may take effect, also later.
  Unknown
};

/// \returns the status in words.
const char *toString(StoreStatus Status);

/// One key as it was written, or its removal.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
  bool Removed = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Value, this->Revision, this->Removed);
  }
};

/// Result of a read or a watch.
struct StoreReadResult {
  StoreStatus Status = StoreStatus::Refused;
  std::vector<StoreItem> Items;
  /// The store's revision that the answer reflects.
  std::uint64_t AsOf = 0;
  bool MorePages = false;
  /// Why the call failed; for people.
  std::string Reason;
};

/// Result of a write or a lease call.
struct StoreWriteResult {
  StoreStatus Status = StoreStatus::Refused;
  std::uint64_t Revision = 0;
  std::uint64_t Lease = 0;
  Duration TimeToLive{};
  std::string Reason;
};

/// One write under a condition.
struct StoreWrite {
  std::string Key;
  std::string Value;
  std::uint64_t Lease = 0;
  /// Writes only if the key has ExpectedRevision; 0: the key does not exist.
  bool Conditional = false;
  std::uint64_t ExpectedRevision = 0;
  bool Remove = false;
  /// Another key that is written with this one, or not at all; none if empty.
  std::string SecondKey;
  std::string SecondValue;
};

/// Calls made so far.
struct StoreCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failed = 0;
};

/// A store with ordered keys, watches over prefixes and leases. Calls return at
/// once; each callback runs exactly once, on the thread of the event loop.
class KeyValueStore {
public:
  using ReadCallback = std::function<void(StoreReadResult)>;
  using WriteCallback = std::function<void(StoreWriteResult)>;

  virtual ~KeyValueStore() = default;

  /// Reads one page of the keys under \p Prefix that come after \p After.
  virtual void range(const std::string &Prefix, const std::string &After,
                     ReadCallback Callback) = 0;

  /// Waits for changes under \p Prefix that are newer than \p Revision.
  virtual void watch(const std::string &Prefix, std::uint64_t Revision,
                     Duration MaxWait, ReadCallback Callback) = 0;

  virtual void write(StoreWrite Write, WriteCallback Callback) = 0;

  virtual void grantLease(Duration TimeToLive, WriteCallback Callback) = 0;
  virtual void renewLease(std::uint64_t Lease, WriteCallback Callback) = 0;
  virtual void endLease(std::uint64_t Lease, WriteCallback Callback) = 0;

  virtual StoreCallCounts calls() const = 0;
};

} // namespace citronlever
