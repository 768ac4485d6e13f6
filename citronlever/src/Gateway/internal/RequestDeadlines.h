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

/// Network time of a request and its answer between caller and this process.
inline constexpr Duration CallerTransitTime = Milliseconds(2);
/// Network time for opening a caller's connection.
inline constexpr Duration CallerConnectTime = Milliseconds(2);
/// Time for merging and sending, and timer resolution.
inline constexpr Duration AnswerMargin = Milliseconds(15);
/// How long before the caller's timeout the final answer is sent.
inline constexpr Duration EndMargin = Milliseconds(10);

/// \returns the deadlines of a request.
/// \param Delay delay of the event loop, which shortens the time for an answer.
inline RequestDeadlines requestDeadlines(const RoutedRequest &Routed,
                                         const LoopDelay &Delay) {
  const TimePoint Received = Routed.Request->Received;
  const Duration Timeout =
      std::min(Routed.CallerTimeout, Routed.Route->Timeout);
  RequestDeadlines Result;
  Result.LeafDeadline = Received + Timeout;
  Result.End = Received + std::max(Timeout - EndMargin, Timeout / 2);
  Duration Margin = CallerTransitTime + AnswerMargin + 2 * Delay.mean();
  if (Routed.Request->FirstOnConnection)
    Margin += CallerConnectTime;
  const Duration MaxMargin = Routed.Route->LatencyObjective / 3;
  Result.AnswerBy =
      Received + Routed.Route->LatencyObjective - std::min(Margin, MaxMargin);
  return Result;
}

} // namespace citronlever
