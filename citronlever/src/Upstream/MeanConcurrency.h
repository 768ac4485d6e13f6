#pragma once

#include "citronlever/src/Core/Time.h"

#include <cmath>

namespace citronlever {

/// Exponentially weighted mean of the number of requests in flight, computed by
/// Little's law from the durations of completed requests.
class MeanConcurrency {
public:
  /// Time constant of the exponential decay: a completed request keeps about a
  /// third of its weight after this time.
  static constexpr Duration Memory = Seconds(2);

  /// Adds a request that completed at \p Now after \p Taken.
  void add(Duration Taken, TimePoint Now) {
    this->Sum = this->value(Now) + inSeconds(Taken) / inSeconds(Memory);
    this->Last = Now;
  }

  /// \returns the mean number of requests in flight at \p Now.
  double value(TimePoint Now) const {
    const double Age = inSeconds(Now - this->Last) / inSeconds(Memory);
    return this->Sum * std::exp(-Age);
  }

private:
  static double inSeconds(Duration Span) {
    return std::chrono::duration<double>(Span).count();
  }

  double Sum = 0;
  TimePoint Last{};
};

} // namespace citronlever
