#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace citronlever {

/// How far a planned stop has come.
enum class EntryPhase : std::uint8_t {
  Serving,
  /// Out of discovery, still serving callers that have older answers.
  Leaving,
  /// Refuses new requests, waits for those in flight.
  Refusing,
  Stopped
};

/// \returns the name used by /v1/health and in dumps.
std::string_view toString(EntryPhase Value);

/// The life of an entry up to the end of its planned stop: a state machine
/// whose guards take the time in the event. Not safe for several threads.
class EntryLifecycle {
public:
  /// \param DiscoveryTtl time that callers are told to keep an answer.
  explicit EntryLifecycle(Duration DiscoveryTtl);
  ~EntryLifecycle();
  EntryLifecycle(const EntryLifecycle &) = delete;
  EntryLifecycle &operator=(const EntryLifecycle &) = delete;

  /// Begins the stop; it lasts three times the discovery's time to live plus
  /// \p LongestDeadline.
  void drain(Duration LongestDeadline, TimePoint Now);

  /// Time has passed with \p InFlight requests in work.
  void tick(std::size_t InFlight, TimePoint Now);

  EntryPhase phase() const;

  /// Callers keep discovery answers longer than they are told to.
  static constexpr int DrainTtlCount = 3;

private:
  struct Machine;
  std::unique_ptr<Machine> Impl;
};

} // namespace citronlever
