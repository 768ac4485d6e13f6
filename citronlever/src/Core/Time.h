#pragma once

#include <chrono>

namespace citronlever {

/// Monotonic clock for all timeouts and deadlines. Its values are never
/// compared between VMs.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// \returns \p Value in whole milliseconds, rounded towards zero.
constexpr long long toMs(Duration Value) {
  return std::chrono::duration_cast<Milliseconds>(Value).count();
}

} // namespace citronlever
