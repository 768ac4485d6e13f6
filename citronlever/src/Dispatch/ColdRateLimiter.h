#pragma once

#include "citronlever/src/Core/TokenBucket.h"

#include <algorithm>
#include <cstddef>

namespace citronlever {

/// Bounds what this process sends to one cold leaf. Load pattern: a leaf comes
/// back empty and every sender has work for it.
class ColdRateLimiter {
public:
  /// The leaf is cold until \p Until and bears \p PerSecond from all \p Senders
  /// together meanwhile; 0 means that no rate is stated.
  void configure(TimePoint Until, double PerSecond, std::size_t Senders,
                 TimePoint Now) {
    this->ColdUntil = Until;
    this->IsLimited = PerSecond > 0;
    this->Bucket.configure(
        SafetyFactor * PerSecond /
            static_cast<double>(std::max<std::size_t>(1, Senders)),
        Burst, Now);
  }

  bool canSend(TimePoint Now) {
    return Now >= this->ColdUntil || !this->IsLimited ||
           this->Bucket.tokens(Now) >= 1;
  }

  /// Counts a call that canSend() allowed.
  void countSend(TimePoint Now) {
    if (Now < this->ColdUntil && this->IsLimited)
      this->Bucket.tryTake(1, Now);
  }

  TimePoint coldUntil() const { return this->ColdUntil; }

private:
  static constexpr double SafetyFactor = 0.8;
  static constexpr double Burst = 1;

  TimePoint ColdUntil{};
  bool IsLimited = false;
  TokenBucket Bucket{0, Burst};
};

} // namespace citronlever
