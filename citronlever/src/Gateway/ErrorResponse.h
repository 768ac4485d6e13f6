#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Core/Verdict.h"

#include <string_view>

namespace citronlever {

/// Makes the response to a request that no leaf answered. Callers read 503 as
/// "not run", so it is used for that verdict only. Otherwise the status is 504
/// if the request timed out, or 502.
HttpResponse unservedResponse(Verdict Ran, bool TimedOut, Duration RetryDelay,
                              std::string_view Reason);

/// Makes the response with \p Status to an invalid or disallowed request.
HttpResponse rejectionResponse(int Status, std::string_view Reason);

/// \returns the Retry-After delay for a request rejected under overload. Load
/// pattern: overload lasts for seconds. Callers honour at most a third of their
/// remaining time, and a later retry is more likely to be admitted.
/// \param CallerTimeout how long the caller waits in total.
/// \param Random in [0, 1).
Duration overloadRetryDelay(Duration LatencyObjective, Duration CallerTimeout,
                            double Random);

/// \returns the Retry-After delay after another rejection, with jitter. Load
/// pattern: many callers are rejected at the same moment and must not return at
/// the same moment.
/// \param Random in [0, 1).
Duration retryDelay(Duration LatencyObjective, double Random);

} // namespace citronlever
