#pragma once

#include "citronlever/src/Broker/KeyMessages.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlever {

/// Stores the first outcome of each request key (an idempotency key given by
/// the caller), at the owner and at its stand-bys. Limited in time and in
/// memory. Does no I/O, reads no clock and takes no lock.
class RequestKeyTable {
public:
  /// Identifies a repeated request that waits for the first one's outcome.
  using WaiterId = std::uint64_t;

  /// \param Retention time for which an outcome is stored. \param MaxBytes
  /// memory limit of all entries.
  RequestKeyTable(Duration Retention, std::size_t MaxBytes);

  /// What the owner has to do with a request.
  enum class BeginResult : std::uint8_t {
    /// First request with its key: send it, then call finish().
    First,
    /// Repeat of a request in progress: wait until finish() returns its waiter.
    Joined,
    /// The outcome of the first request is known; see outcome().
    Known,
    /// Another owner may have sent a request with this key.
    InDoubt,
    /// The memory limit is reached: refuse the request as not run.
    Full
  };
  /// How a request ended.
  struct Outcome {
    Verdict Execution = Verdict::NotRun;
    std::string Body;
  };

  /// Registers a request with a key at its owner.
  BeginResult begin(const std::string &Service, const std::string &Key,
                    WaiterId Waiter, TimePoint Now);

  /// \returns the stored outcome after BeginResult::Known.
  /// \throws std::out_of_range if the key is unknown.
  const Outcome &outcome(const std::string &Service,
                         const std::string &Key) const;

  /// Ends the first request. The key of a request that did not run is removed,
  /// so that a repeat may run. \returns the waiters that get the same reply.
  std::vector<WaiterId> finish(const std::string &Service,
                               const std::string &Key, Outcome NewOutcome,
                               TimePoint Now);

  /// Records an owner's intent at a stand-by. \returns what was known before.
  KeyIntentAck recordIntent(const KeyIntent &Intent, TimePoint Now);

  /// Records an outcome at a stand-by.
  void recordOutcome(const KeyOutcome &NewOutcome, TimePoint Now);

  std::size_t size() const { return this->Entries.size(); }
  std::size_t bytes() const { return this->Bytes; }

private:
  enum class EntryState : std::uint8_t {
    /// A request in progress at this owner.
    OwnIntent,
    /// Recorded for another owner.
    PeerIntent,
    Done
  };
  struct Entry {
    EntryState State = EntryState::OwnIntent;
    std::string Owner;
    std::uint64_t OwnerIncarnation = 0;
    Outcome Result;
    std::vector<WaiterId> Waiters;
    TimePoint Expires{};
  };
  struct Expiry {
    TimePoint At;
    std::string CompositeKey;
  };
  /// Entries by composite key: the service and the request key.
  using Map = std::unordered_map<std::string, Entry>;

  static std::string makeCompositeKey(const std::string &Service,
                                      const std::string &Key);
  static std::size_t entryBytes(const std::string &CompositeKey,
                                const Entry &Item);
  Entry *addEntry(const std::string &CompositeKey, EntryState State,
                  TimePoint Now);
  void eraseEntry(Map::iterator Position);
  void storeOutcome(const std::string &CompositeKey, Entry &Item,
                    Outcome NewOutcome, TimePoint Now);
  void removeExpired(TimePoint Now);

  Duration Retention;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  Map Entries;
  std::deque<Expiry> Expiries;
};

} // namespace citronlever
