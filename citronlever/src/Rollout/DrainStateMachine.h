#pragma once

#include "citronlever/src/Rollout/DrainDocument.h"

#include <optional>
#include <string>

namespace citronlever {

/// Time limits of drains.
struct DrainTiming {
  /// Time after which the target certainly gets no new requests.
  static constexpr Duration LastRequestDelay = Seconds(3);
  /// Time over which a returning target's share rises to its full share.
  static constexpr Duration ReturnRampTime = Seconds(10);
  /// A drain is aborted if requests are still in flight after this time.
  static constexpr Duration DrainTimeout = Seconds(120);

  /// \returns the fraction of its full share that a returning target gets.
  static double returnShare(Duration Elapsed);
};

/// Inputs to one decision about a drain.
struct DrainInput {
  enum class Command : std::uint8_t { None, Drain, Return };
  /// The operator's command that this decision answers.
  Command OperatorCommand = Command::None;
  /// Time since the phase began: the document's value plus the time since the
  /// document was read.
  Duration Elapsed{};
  /// Why the remaining replicas cannot carry the load; empty if they can.
  std::string CapacityShortage;
  /// Requests in flight to the target, summed over all senders; nothing unless
  /// every sender has reported.
  std::optional<std::uint64_t> InFlight;
  /// Revision of this controller's lease.
  std::uint64_t FencingToken = 0;
};

/// Decides the next state of a drain with a Boost.MSM state machine that is
/// restored from the document.
/// \returns the document to write; nothing if the state is unchanged or a
/// controller with a higher fencing token has taken over.
std::optional<DrainDocument> decideDrain(const DrainDocument &Present,
                                         const DrainInput &Input);

} // namespace citronlever
