#pragma once

#include "citronlever/src/Rollout/DrainDocument.h"

#include <optional>
#include <string>

namespace citronlever {

/// Times of moves.
struct DrainTiming {
  /// Time after which a leaving domain or VM has surely got its last work.
  static constexpr Duration LastRequestDelay = Seconds(3);
  /// Time over which one that returns is given its full share again.
  static constexpr Duration ReturnRampTime = Seconds(10);
  /// Time after which a move out is taken back if work in flight never ends.
  static constexpr Duration DrainTimeout = Seconds(120);

  /// \returns the part of its full share that a returning one gets.
  static double returnShare(Duration Elapsed);
};

/// What a controller knows when it decides about a move.
struct DrainInput {
  enum class Command : std::uint8_t { None, Drain, Return };
  /// What an operator asks for at this moment.
  Command OperatorCommand = Command::None;
  /// Time of the phase: what the document says and the time since it was seen.
  Duration Elapsed{};
  /// Why the rest cannot carry the load; empty if it can.
  std::string CapacityShortage;
  /// Requests in flight to what leaves, over all brokers and entries; nothing
  /// if not every sender has reported.
  std::optional<std::uint64_t> InFlight;
  /// Revision of this controller's lease.
  std::uint64_t FencingToken = 0;
};

/// Decides the next state of a move, by a Boost.MSM machine restored from the
/// document.
/// \returns the document to be written, or nothing if all stays as it is or a
/// controller with a higher fence has taken over.
std::optional<DrainDocument> decideDrain(const DrainDocument &Present,
                                         const DrainInput &Input);

} // namespace citronlever
