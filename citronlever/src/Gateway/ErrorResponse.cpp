#include "citronlever/src/Gateway/ErrorResponse.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>

namespace citronlever {

namespace {

/// Least time after which a caller that was refused comes back.
constexpr Duration ReturnMin = Milliseconds(50);

std::string errorBody(std::string_view Reason, Verdict Ran) {
  const boost::json::object Body = {{"error", Reason},
                                    {"verdict", toString(Ran)}};
  return boost::json::serialize(Body);
}

std::string fractionalSeconds(Duration Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.3f",
                std::chrono::duration<double>(Value).count());
  return Text;
}

} // namespace

HttpResponse unserved(Verdict Ran, bool TimeOver, Duration RetryAfter,
                      std::string_view Reason) {
  HttpResponse Result;
  Result.Status = TimeOver ? 504 : 502;
  if (Ran == Verdict::NotRun) {
    Result.Status = 503;
    Result.Headers.set("Retry-After", fractionalSeconds(RetryAfter));
  }
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = errorBody(Reason, Ran);
  return Result;
}

HttpResponse refusal(int Status, std::string_view Reason) {
  HttpResponse Result;
  Result.Status = Status;
  Result.Headers.set("Content-Type", "application/json");
  Result.Body = errorBody(Reason, Verdict::NotRun);
  return Result;
}

Duration retryAfterOverload(Duration LatencyObjective, Duration CallerWaits,
                            double Random) {
  constexpr int HonouredPart = 3;
  const Duration First = ReturnMin + LatencyObjective / 4;
  const Duration Last = std::max(First, CallerWaits / HonouredPart);
  return First + std::chrono::duration_cast<Duration>(
                     Random * std::chrono::duration<double>(Last - First));
}

Duration retryAfter(Duration LatencyObjective, double Random) {
  const Duration Spread = std::chrono::duration_cast<Duration>(
      Random * std::chrono::duration<double>(LatencyObjective));
  return ReturnMin + LatencyObjective / 4 + Spread;
}

} // namespace citronlever
