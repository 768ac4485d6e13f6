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
inline constexpr Duration CallerWay = Milliseconds(2);
/// Way of the packets that open a caller's connection.
inline constexpr Duration CallerConnect = Milliseconds(2);
/// Merge, sending and the coarseness of timers.
inline constexpr Duration AnswerRoom = Milliseconds(15);
/// The final answer leaves so long before the caller gives up.
inline constexpr Duration EndRoom = Milliseconds(10);

inline RequestDeadlines requestDeadlines(const RoutedRequest &Spec,
                                         const LoopDelay &Delay) {
  const TimePoint Received = Spec.Request->Received;
  const Duration Waits = std::min(Spec.CallerWaits, Spec.Of->Timeout);
  RequestDeadlines Result;
  Result.LeafDeadline = Received + Waits;
  Result.End = Received + std::max(Waits - EndRoom, Waits / 2);
  Duration Room = CallerWay + AnswerRoom + 2 * Delay.mean();
  if (Spec.Request->FirstOnConnection)
    Room += CallerConnect;
  const Duration Most = Spec.Of->LatencyObjective / 3;
  Result.AnswerBy = Received + Spec.Of->LatencyObjective - std::min(Room, Most);
  return Result;
}

} // namespace citronlever
