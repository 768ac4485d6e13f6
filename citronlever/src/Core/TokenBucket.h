#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>

namespace citronlever {

/// A token bucket rate limiter. The caller passes the time, and synchronizes
/// calls from several threads.
class TokenBucket {
public:
  /// \param RatePerSecond tokens added per second.
  /// \param Burst capacity of the bucket, which starts full.
  TokenBucket(double RatePerSecond, double Burst)
      : RatePerSecond(RatePerSecond), Burst(Burst), Tokens(Burst) {}

  /// Takes \p Count tokens if the bucket holds as many at \p Now.
  /// \returns whether they were taken.
  bool tryTake(double Count, TimePoint Now) {
    this->refill(Now);
    if (this->Tokens < Count)
      return false;
    this->Tokens -= Count;
    return true;
  }

  /// Adds \p Count tokens, up to the capacity; for budgets that grow with
  /// events rather than with time.
  void add(double Count) {
    this->Tokens = std::min(this->Burst, this->Tokens + Count);
  }

  /// Changes rate and capacity; keeps the tokens held, up to the new capacity.
  void configure(double NewRate, double NewBurst, TimePoint Now) {
    this->refill(Now);
    this->RatePerSecond = NewRate;
    this->Burst = NewBurst;
    this->Tokens = std::min(this->Tokens, NewBurst);
  }

  double rate() const { return this->RatePerSecond; }
  double tokens(TimePoint Now) {
    this->refill(Now);
    return this->Tokens;
  }

private:
  void refill(TimePoint Now) {
    if (this->Last == TimePoint{}) {
      this->Last = Now;
      return;
    }
    if (Now <= this->Last)
      return;
    const double Elapsed =
        std::chrono::duration<double>(Now - this->Last).count();
    this->Tokens =
        std::min(this->Burst, this->Tokens + Elapsed * this->RatePerSecond);
    this->Last = Now;
  }

  double RatePerSecond;
  double Burst;
  double Tokens;
  TimePoint Last{};
};

} // namespace citronlever
