#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>

namespace citronlever {

/// Limits the rate at which connections are opened (a leaky bucket in its
/// virtual scheduling form), so that taking over many leaves does not cause a
/// connection storm.
class ConnectPacer {
public:
  /// \param Interval time between connections when many are to be opened.
  /// \param Burst connections that may open at once after an idle period.
  ConnectPacer(Duration Interval, int Burst)
      : Interval(Interval), Tolerance(Interval * std::max(0, Burst - 1)) {}

  /// Reserves the next connection. \returns how long to wait before opening it.
  Duration reserve(TimePoint Now) {
    const TimePoint Start = std::max(this->Next, Now);
    this->Next = Start + this->Interval;
    return std::max(Duration::zero(), Start - this->Tolerance - Now);
  }

private:
  Duration Interval;
  Duration Tolerance;
  TimePoint Next{};
};

} // namespace citronlever
