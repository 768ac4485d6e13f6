#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <atomic>

namespace citronlever {

/// Mean time by which this process's event loop is late: what has come in has
/// waited unread for about as long. Fed by a periodic timer; safe to read from
/// several threads.
class LoopDelay {
public:
  /// Period of the timer that feeds the mean.
  static constexpr Duration Period = Milliseconds(10);

  /// A timer due at \p Due was served at \p Now.
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
  /// The newest sample counts for one part in so many.
  static constexpr int Weight = 5;

  std::atomic<Duration::rep> Mean{0};
};

} // namespace citronlever
