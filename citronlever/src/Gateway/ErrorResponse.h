#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Core/Verdict.h"

#include <string_view>

namespace citronlever {

/// Ends a request that no leaf answered. 503 says "not run", so it is only
/// given for that verdict; else 502, or 504 where the time was over.
HttpResponse unservedResponse(Verdict Ran, bool TimedOut, Duration RetryDelay,
                              std::string_view Reason);

/// Ends a request that is not proper or not allowed, with \p Status.
HttpResponse rejectionResponse(int Status, std::string_view Reason);

/// When a caller should come back that found no room. Load pattern: overload
/// that lasts for seconds; callers honour at most a third of the time that they
/// have left, and the later they return the likelier there is room.
/// \param CallerTimeout what the caller says that it will wait in all.
/// \param Random in [0, 1).
Duration overloadRetryDelay(Duration LatencyObjective, Duration CallerTimeout,
                            double Random);

/// When a caller should come back after a refusal. Load pattern: many callers
/// refused in the same moment, who must not return in the same moment.
/// \param Random in [0, 1).
Duration retryDelay(Duration LatencyObjective, double Random);

} // namespace citronlever
