#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <utility>

namespace citronlever {

/// Estimates the fraction of the fleet's entries that this entry sees: the
/// number seen now divided by the highest number seen within a time window. In
/// a network partition the fractions of the two sides add up to at most 1, so
/// limits scaled by them keep their sum.
class FleetVisibility {
public:
  explicit FleetVisibility(Duration Memory = Seconds(60)) : Memory(Memory) {}

  /// \param Seen number of entries that are alive, suspected or leaving.
  /// \returns the visible fraction, above 0 and at most 1.
  double update(std::size_t Seen, TimePoint Now) {
    while (!this->Peaks.empty() &&
           (this->Peaks.front().first + this->Memory < Now))
      this->Peaks.pop_front();
    while (!this->Peaks.empty() && this->Peaks.back().second <= Seen)
      this->Peaks.pop_back();
    this->Peaks.emplace_back(Now, Seen);
    const std::size_t Most =
        std::max<std::size_t>(1, this->Peaks.front().second);
    return static_cast<double>(std::max<std::size_t>(1, Seen)) /
           static_cast<double>(Most);
  }

private:
  Duration Memory;
  std::deque<std::pair<TimePoint, std::size_t>> Peaks;
};

} // namespace citronlever
