#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>

namespace citronlever {

/// What is known of the time that a request of one route takes.
struct ServiceTimeEstimate {
  bool Idempotent = false;
  /// Time after which the request ends in any case.
  Duration Timeout{};
  Duration LatencyObjective{};
  /// Longest time of a recent success of the route, or zero.
  Duration Longest{};
};

/// Load pattern: callers use an address for seconds after its process was told
/// to stop, and leaves can need longer than the process has left. A request
/// that is refused at once can be served elsewhere; one that is cut off may
/// have run.
///
/// \returns the time that the process must still have for the request to be
/// served. A caller cannot repeat a non-idempotent request that was cut off, so
/// it needs twice the longest time seen, and all of its time if none was seen.
inline Duration timeNeededToServe(const ServiceTimeEstimate &Request) {
  constexpr int NonIdempotentFactor = 2;
  const bool Known = Request.Longest > Duration::zero();
  Duration Needed{};
  if (Request.Idempotent)
    Needed = Known ? Request.Longest : Request.LatencyObjective;
  else
    Needed = Known ? NonIdempotentFactor * Request.Longest : Request.Timeout;
  return std::min(Needed, Request.Timeout);
}

} // namespace citronlever
