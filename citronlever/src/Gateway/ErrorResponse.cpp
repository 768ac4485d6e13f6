#include "citronlever/src/Gateway/ErrorResponse.h"

#include "citronlever/src/Dispatch/CallerTiming.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace citronlever {

namespace {

std::string errorBody(std::string_view Reason, Verdict Ran) {
  const boost::json::object Body = {{"error", Reason},
                                    {"verdict", toString(Ran)}};
  return boost::json::serialize(Body);
}

std::string formatSeconds(Duration Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Value).count());
  return Text;
}

} // namespace

HttpResponse unservedResponse(Verdict Ran, bool TimedOut, Duration RetryDelay,
                              std::string_view Reason) {
  HttpResponse Result;
  Result.Status = TimedOut ? 504 : 502;
  if (Ran == Verdict::NotRun) {
    Result.Status = 503;
    Result.Headers.set("Retry-After", formatSeconds(RetryDelay));
  }
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = errorBody(Reason, Ran);
  return Result;
}

HttpResponse rejectionResponse(int Status, std::string_view Reason) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = errorBody(Reason, Verdict::NotRun);
  return Result;
}

Duration overloadRetryDelay(Duration LatencyObjective, Duration CallerTimeout,
                            double Random) {
  // Callers honour a delay up to this fraction of their remaining time.
  constexpr int HonouredDivisor = 3;
  const Duration Min = minRetryDelay(LatencyObjective);
  const Duration Max = std::max(Min, CallerTimeout / HonouredDivisor);
  return Min + std::chrono::duration_cast<Duration>(
                   Random * std::chrono::duration<double>(Max - Min));
}

Duration retryDelay(Duration LatencyObjective, double Random) {
  const Duration Spread = std::chrono::duration_cast<Duration>(
      Random * std::chrono::duration<double>(LatencyObjective));
  return minRetryDelay(LatencyObjective) + Spread;
}

} // namespace citronlever
