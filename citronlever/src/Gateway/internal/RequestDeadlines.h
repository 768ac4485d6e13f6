#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <algorithm>

namespace citronlever {

/// Points in time at which parts of a request must be done.
struct RequestDeadlines {
  /// When leaves must stop working on the request.
  TimePoint LeafDeadline{};
  /// When the caller gets a final answer at the latest.
  TimePoint End{};
  /// Latest time at which the answer can leave and still meet the latency
  /// objective.
  TimePoint AnswerBy{};
};

/// Time for merging and sending an answer, and timer resolution.
inline constexpr Duration AnswerMargin = Milliseconds(4);
/// How long before the caller's timeout the final answer is sent.
inline constexpr Duration EndMargin = Milliseconds(10);

/// \returns the deadlines of a request.
/// The delay of the event loop shortens the time for an answer.
inline RequestDeadlines requestDeadlines(const RoutedRequest &Routed,
                                         const GatewayContext &Context) {
  const TimePoint Received = Routed.Request->Received;
  const Duration Timeout =
      std::min(Routed.CallerTimeout, Routed.Route->Timeout);
  RequestDeadlines Result;
  Result.LeafDeadline = std::min(Received + Timeout, Context.ServeUntil);
  Result.End = std::min(Received + std::max(Timeout - EndMargin, Timeout / 2),
                        Context.ServeUntil);
  Result.AnswerBy =
      latestAnswerTime(Received, Routed.Route->LatencyObjective, Routed.Timing,
                       AnswerMargin + 2 * Context.Delay.mean());
  return Result;
}

} // namespace citronlever
