#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <algorithm>

namespace citronlever {

/// When one request must have been answered.
struct RequestDeadlines {
  /// When a leaf is to stop work on it.
  TimePoint LeafDeadline{};
  /// When the caller gets a final answer at the latest.
  TimePoint End{};
  /// When an answer must leave to arrive within the latency objective.
  TimePoint AnswerBy{};
};

/// Way of a request and of its answer between a caller and this process.
inline constexpr Duration CallerTransitTime = Milliseconds(2);
/// Way of the packets that open a caller's connection.
inline constexpr Duration CallerConnectTime = Milliseconds(2);
/// Merge, sending and the coarseness of timers.
inline constexpr Duration AnswerMargin = Milliseconds(15);
/// The final answer leaves so long before the caller gives up.
inline constexpr Duration EndMargin = Milliseconds(10);

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
