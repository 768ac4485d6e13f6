#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <atomic>

namespace citronlever {

/// Exponentially weighted mean of the event loop's delay: the time by which
/// timers run late, which is about the time that received data waits to be
/// read. Fed by a periodic timer; mean() is safe to call from any thread.
class LoopDelay {
public:
  /// Period of the timer that calls record().
  static constexpr Duration Period = Milliseconds(10);

  /// Records that a timer due at \p Due ran at \p Now. Call from one thread
  /// only.
  void record(TimePoint Due, TimePoint Now) {
    const Duration Late = std::max(Duration::zero(), Now - Due);
    const Duration Previous = this->mean();
    this->Mean.store((Previous + (Late - Previous) / Weight).count(),
                     std::memory_order_relaxed);
  }

  Duration mean() const {
    return Duration(this->Mean.load(std::memory_order_relaxed));
  }

private:
  /// The newest sample has a weight of 1/Weight in the mean.
  static constexpr int Weight = 5;

  std::atomic<Duration::rep> Mean{0};
};

} // namespace citronlever
