#pragma once

#include "citronlever/src/Core/StoreRevision.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// Outcome of a call to the store.
enum class StoreStatus : std::uint8_t {
  /// The call succeeded.
  Done,
  /// The key or the lease does not exist.
  Absent,
  /// The precondition does not hold; nothing was written.
  Conflict,
  /// The store no longer holds the changes from the requested revision on; the
  /// caller has to read all keys again.
  HistoryGone,
  /// The call failed and had no effect.
  Refused,
  /// No complete response was received; a write may have taken effect or may
  /// still do so.
  Unknown
};

/// \returns the name of the status in lower case, for logs.
const char *toString(StoreStatus Status);

/// The state of one key after a write or a removal.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Store revision of the write or removal.
  StoreRevision Revision;
  bool Removed = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Key, this->Value, this->Revision, this->Removed);
  }
};

/// Result of a range read or a watch.
struct StoreReadResult {
  StoreStatus Status = StoreStatus::Refused;
  std::vector<StoreItem> Items;
  /// Store revision at which the result was taken.
  StoreRevision AsOf;
  /// Whether further keys follow the last item of this page.
  bool MorePages = false;
  /// Why the call failed; for logs.
  std::string Reason;
};

/// Result of a write or of a lease operation.
struct StoreWriteResult {
  StoreStatus Status = StoreStatus::Refused;
  StoreRevision Revision;
  std::uint64_t Lease = 0;
  Duration TimeToLive{};
  std::string Reason;
};

/// A write or removal of one key, optionally conditional on its revision.
struct StoreWrite {
  std::string Key;
  std::string Value;
  /// Lease to which the key is attached; 0 for none.
  std::uint64_t Lease = 0;
  /// Write only if the key is at ExpectedRevision; number 0 means that the key
  /// must not exist. A revision of an earlier era is a conflict.
  bool Conditional = false;
  StoreRevision ExpectedRevision;
  bool Remove = false;
  /// A second key that is written atomically with the first; none if empty.
  std::string SecondKey;
  std::string SecondValue;
};

/// Number of calls made so far, by type, and number of failed calls.
struct StoreCallCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Renewals = 0;
  std::uint64_t Failed = 0;
};

/// Interface of an ordered key-value store with prefix watches and leases, such
/// as etcd. Calls do not block; each callback runs exactly once, on the thread
/// of the event loop.
class KeyValueStore {
public:
  using ReadCallback = std::function<void(StoreReadResult)>;
  using WriteCallback = std::function<void(StoreWriteResult)>;

  virtual ~KeyValueStore() = default;

  /// Reads one page of the keys with \p Prefix that sort after \p After.
  virtual void range(const std::string &Prefix, const std::string &After,
                     ReadCallback Callback) = 0;

  /// Long-polls for changes of keys with \p Prefix that are newer than
  /// \p Revision. Without changes, the call completes with an empty result
  /// after \p MaxWait. Changes are only complete if the result's AsOf is of the
  /// era of \p Revision.
  virtual void watch(const std::string &Prefix, StoreRevision Revision,
                     Duration MaxWait, ReadCallback Callback) = 0;

  /// Performs \p Write if its condition holds.
  virtual void write(StoreWrite Write, WriteCallback Callback) = 0;

  /// Creates a lease that ends after \p TimeToLive unless it is renewed. Keys
  /// attached to a lease are removed when it ends.
  virtual void grantLease(Duration TimeToLive, WriteCallback Callback) = 0;
  /// Restarts the time to live of the lease.
  virtual void renewLease(std::uint64_t Lease, WriteCallback Callback) = 0;
  /// Ends the lease at once and removes its keys.
  virtual void endLease(std::uint64_t Lease, WriteCallback Callback) = 0;

  /// \returns the highest era that any answer of the store has stated.
  virtual std::uint64_t latestEra() const = 0;

  /// \returns the number of calls made so far.
  virtual StoreCallCounts calls() const = 0;
};

} // namespace citronlever
