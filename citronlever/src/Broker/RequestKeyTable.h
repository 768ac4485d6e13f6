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
  using Waiter = std::uint64_t;

  /// \param Retention time for which an outcome is remembered; \param MaxBytes
  /// memory for all entries.
  RequestKeyTable(Duration Retention, std::size_t MaxBytes);

  enum class Begin : std::uint8_t {
    /// The first request of its key: go on, and call finish().
    First,
    /// Waits for the first one; finish() returns its waiter.
    Joined,
    /// The first outcome is known.
    Known,
    /// Another owner may have sent it.
    Doubtful,
    /// No room: refuse it as not run.
    Full
  };
  struct Outcome {
    Verdict Ran = Verdict::NotRun;
    std::string Body;
  };

  /// A request with a key arrives at its owner.
  Begin begin(const std::string &Service, const std::string &Key, Waiter Who,
              TimePoint Now);

  /// \returns the outcome after Begin::Known.
  const Outcome &outcome(const std::string &Service,
                         const std::string &Key) const;

  /// Ends the first request. One that did not run is forgotten, so that a
  /// repeat may run. \returns the waiters to answer likewise.
  std::vector<Waiter> finish(const std::string &Service, const std::string &Key,
                             Outcome Ended, TimePoint Now);

  /// A stand-by learns of an owner's intent. \returns what was known before.
  KeyIntentAck note(const KeyIntent &Intent, TimePoint Now);

  /// A stand-by learns of an outcome.
  void note(const KeyOutcome &Ended, TimePoint Now);

  std::size_t size() const { return this->Entries.size(); }
  std::size_t bytes() const { return this->Bytes; }

private:
  enum class Kind : std::uint8_t { OurIntent, TheirIntent, Done };
  struct Entry {
    Kind State = Kind::OurIntent;
    std::string Owner;
    std::uint64_t OwnerIncarnation = 0;
    Outcome Result;
    std::vector<Waiter> Waiters;
    TimePoint Expires{};
  };
  struct Expiry {
    TimePoint At;
    std::string Name;
  };
  using Map = std::unordered_map<std::string, Entry>;

  static std::string nameOf(const std::string &Service, const std::string &Key);
  static std::size_t sizeOf(const std::string &Name, const Entry &Of);
  Entry *add(const std::string &Name, Kind State, TimePoint Now);
  void erase(Map::iterator Which);
  void complete(const std::string &Name, Entry &Of, Outcome Ended,
                TimePoint Now);
  void expire(TimePoint Now);

  Duration Retention;
  std::size_t MaxBytes;
  std::size_t Bytes = 0;
  Map Entries;
  std::deque<Expiry> Expiries;
};

} // namespace citronlever
