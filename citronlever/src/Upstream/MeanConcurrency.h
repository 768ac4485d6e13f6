#pragma once

#include "citronlever/src/Core/Time.h"

#include <cmath>

namespace citronlever {

/// Mean number of requests in work over the last seconds, by Little's law:
/// the time that ended requests had taken, for each second.
class MeanConcurrency {
public:
  /// Time after which a request counts for a third.
  static constexpr Duration Memory = Seconds(2);

  void add(Duration Taken, TimePoint Now) {
    this->Sum = this->value(Now) + inSeconds(Taken) / inSeconds(Memory);
    this->Last = Now;
  }

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
