#pragma once

#include "citronlever/src/Core/TokenBucket.h"

#include <algorithm>
#include <cstddef>

namespace citronlever {

/// Limits the rate of calls from this process to one cold leaf. Load pattern: a
/// leaf restarts with empty caches and every sender has work for it at once.
class ColdRateLimiter {
public:
  /// Sets until when the leaf is cold and the rate that it can serve meanwhile.
  /// \param PerSecond calls per second from all \p Senders together; 0 means
  /// that no rate is configured.
  void configure(TimePoint Until, double PerSecond, std::size_t Senders,
                 TimePoint Now) {
    this->ColdUntil = Until;
    this->IsLimited = PerSecond > 0;
    this->Bucket.configure(
        SafetyFactor * PerSecond /
            static_cast<double>(std::max<std::size_t>(1, Senders)),
        Burst, Now);
  }

  /// \returns whether another call may be sent at \p Now.
  bool canSend(TimePoint Now) {
    return Now >= this->ColdUntil || !this->IsLimited ||
           this->Bucket.tokens(Now) >= 1;
  }

  /// Counts a call that canSend() allowed.
  void countSend(TimePoint Now) {
    if (Now < this->ColdUntil && this->IsLimited)
      this->Bucket.tryTake(1, Now);
  }

  /// \returns when the leaf stops being cold.
  TimePoint coldUntil() const { return this->ColdUntil; }

private:
  /// Share of the leaf's rate that is used.
  static constexpr double SafetyFactor = 0.8;
  /// Calls that may be sent without waiting for the rate.
  static constexpr double Burst = 1;

  TimePoint ColdUntil{};
  bool IsLimited = false;
  TokenBucket Bucket{0, Burst};
};

} // namespace citronlever
