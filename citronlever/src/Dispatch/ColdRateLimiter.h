#pragma once

#include "citronlever/src/Core/TokenBucket.h"

#include <algorithm>
#include <cstddef>

namespace citronlever {

/// Bounds what this process sends to one cold leaf. Load pattern: a leaf comes
/// back empty and every sender has work for it.
class ColdRateLimiter {
public:
  /// The leaf is cold until \p End and bears \p PerSecond from all \p Senders
  /// together meanwhile; 0 means that no rate is stated.
  void set(TimePoint End, double PerSecond, std::size_t Senders,
           TimePoint Now) {
    this->Until = End;
    this->Bounded = PerSecond > 0;
    this->Bucket.configure(
        SafeShare * PerSecond /
            static_cast<double>(std::max<std::size_t>(1, Senders)),
        Burst, Now);
  }

  bool mayTake(TimePoint Now) {
    return Now >= this->Until || !this->Bounded ||
           this->Bucket.tokens(Now) >= 1;
  }

  /// Counts a call that mayTake() allowed.
  void take(TimePoint Now) {
    if (Now < this->Until && this->Bounded)
      this->Bucket.tryTake(1, Now);
  }

  TimePoint until() const { return this->Until; }

private:
  static constexpr double SafeShare = 0.8;
  static constexpr double Burst = 1;

  TimePoint Until{};
  bool Bounded = false;
  TokenBucket Bucket{0, Burst};
};

} // namespace citronlever
