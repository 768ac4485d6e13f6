#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>

namespace citronlever {

/// Largest duration that was recorded recently: in the last one to two periods,
/// counted from the first record.
class RecentMaximum {
public:
  explicit RecentMaximum(Duration Period = Seconds(10)) : Period(Period) {}

  void add(Duration Value, TimePoint Now) {
    if (Now - this->PeriodStart >= this->Period) {
      this->Previous = this->Current;
      this->Current = Duration::zero();
      this->PeriodStart = Now;
    }
    this->Current = std::max(this->Current, Value);
  }

  /// \returns zero if nothing was recorded.
  Duration value() const { return std::max(this->Current, this->Previous); }

private:
  Duration Period;
  Duration Current{};
  Duration Previous{};
  TimePoint PeriodStart{};
};

} // namespace citronlever
