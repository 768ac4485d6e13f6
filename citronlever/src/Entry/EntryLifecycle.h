#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace citronlever {

/// Phases of a planned stop, in order.
enum class EntryPhase : std::uint8_t {
  Serving,
  /// Not listed by discovery any more; still serves callers with cached
  /// answers.
  Leaving,
  /// Refuses new requests while those in flight complete.
  Refusing,
  Stopped
};

/// \returns the name of the phase in dumps.
std::string_view toString(EntryPhase Value);

/// State machine of an entry from serving to the end of its planned stop. It
/// reads no clock: the time comes with each call. Not thread-safe.
class EntryLifecycle {
public:
  /// \param DiscoveryTtl time for which callers may cache a discovery answer.
  explicit EntryLifecycle(Duration DiscoveryTtl);
  ~EntryLifecycle();
  EntryLifecycle(const EntryLifecycle &) = delete;
  EntryLifecycle &operator=(const EntryLifecycle &) = delete;

  /// Starts the planned stop. New requests are served for DrainTtlCount times
  /// the discovery TTL plus \p LongestDeadline.
  void drain(Duration LongestDeadline, TimePoint Now);

  /// Advances the phase. \param InFlight number of requests in flight.
  void tick(std::size_t InFlight, TimePoint Now);

  EntryPhase phase() const;

  /// Discovery TTLs to wait, since callers may keep an answer longer than its
  /// TTL.
  static constexpr int DrainTtlCount = 3;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace citronlever
