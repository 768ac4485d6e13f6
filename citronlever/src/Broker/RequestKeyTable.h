#pragma once

#include "citronlever/src/Broker/KeyMessages.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlever {

/// Remembers the first outcome of each request key, as owner and as stand-by.
/// Bounded in time and in bytes; without I/O, clock or lock of its own.
class RequestKeyTable {
public:
  /// Names a repeat that waits for the first request's outcome.
  using WaiterId = std::uint64_t;

  /// \param Retention time for which an outcome is remembered; \param MaxBytes
  /// memory for all entries.
  RequestKeyTable(Duration Retention, std::size_t MaxBytes);

  enum class BeginResult : std::uint8_t {
    /// The first request of its key: go on, and call finish().
    First,
    /// Waits for the first one; finish() returns its waiter.
    Joined,
    /// The first outcome is known.
    Known,
    /// Another owner may have sent it.
    InDoubt,
    /// No room: refuse it as not run.
    Full
  };
  struct Outcome {
    Verdict Execution = Verdict::NotRun;
    std::string Body;
  };

  /// A request with a key arrives at its owner.
  BeginResult begin(const std::string &Service, const std::string &Key,
                    WaiterId Waiter, TimePoint Now);

  /// \returns the outcome after Begin::Known.
  const Outcome &outcome(const std::string &Service,
                         const std::string &Key) const;

  /// Ends the first request. One that did not run is forgotten, so that a
  /// repeat may run. \returns the waiters to answer likewise.
  std::vector<WaiterId> finish(const std::string &Service,
                               const std::string &Key, Outcome NewOutcome,
                               TimePoint Now);

  /// A stand-by learns of an owner's intent. \returns what was known before.
  KeyIntentAck recordIntent(const KeyIntent &Intent, TimePoint Now);

  /// A stand-by learns of an outcome.
  void recordOutcome(const KeyOutcome &NewOutcome, TimePoint Now);

  std::size_t size() const { return this->Entries.size(); }
  std::size_t bytes() const { return this->Bytes; }

private:
  enum class EntryState : std::uint8_t { OwnIntent, PeerIntent, Done };
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
