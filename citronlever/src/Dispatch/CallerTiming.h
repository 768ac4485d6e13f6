#pragma once

#include "citronlever/src/Core/RecentMaximum.h"
#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstdint>

namespace citronlever {

/// What a process knows of a caller's time when it reads a request.
struct CallerTiming {
  /// Time from the caller's first try until it sent this request: it asked for
  /// an address, opened a connection, or was rejected before.
  Duration SinceFirstTry{};
  /// Network round trip between the caller and this process.
  Duration RoundTrip{};
};

/// Tells how much of its time a caller had used when it sent a request, from
/// the time that it says is left. Load pattern: callers that come with a new
/// address or on a new connection have used several round trips before their
/// request is read, so that an answer on the objective would reach them late.
///
/// Callers of one route start with the same time. What they start with is the
/// longest time left that was seen recently.
class CallerBudget {
public:
  /// Records \p TimeLeft of a request read at \p Now.
  /// \returns the time that its caller had used.
  Duration recordTimeLeft(Duration TimeLeft, TimePoint Now) {
    this->Longest.add(TimeLeft, Now);
    return this->Longest.value() - TimeLeft;
  }

private:
  RecentMaximum Longest;
};

/// Which of a caller's tries a request is. The order of the values is the order
/// in which waiting requests are served.
enum class CallerTry : std::uint8_t {
  First,
  /// Rejected before, and back after the delay that it was told.
  Returned,
  /// Rejected before, and back without waiting.
  Early
};

/// \returns the shortest delay that a rejected caller is told.
inline Duration minRetryDelay(Duration Objective) {
  return Milliseconds(50) + Objective / 4;
}

/// Load pattern: some of the callers that are rejected repeat at once and
/// often, and would push out those that wait as told.
///
/// \param NewConnection whether the request is the first on its connection, as
/// those of rejected callers are.
inline CallerTry classifyTry(CallerTiming Timing, Duration Objective,
                             bool NewConnection) {
  // A first try can have asked for an address and opened two connections.
  const Duration FirstTryLimit = Timing.RoundTrip * 7 / 2;
  if (!NewConnection || Timing.SinceFirstTry <= FirstTryLimit)
    return CallerTry::First;
  return Timing.SinceFirstTry < minRetryDelay(Objective) ? CallerTry::Early
                                                         : CallerTry::Returned;
}

/// \returns the latest time at which an answer can leave and reach the caller
/// within the latency objective, which counts from its first try.
/// \param OwnDelay time that this process needs to merge and send an answer.
inline TimePoint latestAnswerTime(TimePoint Received, Duration Objective,
                                  CallerTiming Timing, Duration OwnDelay) {
  // A caller that has used this share of the objective was rejected before; its
  // new try counts.
  const bool IsRetry = Timing.SinceFirstTry > Objective * 3 / 4;
  const Duration Used = IsRetry ? Timing.RoundTrip : Timing.SinceFirstTry;
  const Duration Reserved = Used + Timing.RoundTrip + OwnDelay;
  return Received + std::max(Duration::zero(), Objective - Reserved);
}

} // namespace citronlever
