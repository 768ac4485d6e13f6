#pragma once

#include "citronlever/src/Core/QuantileWindow.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LatencyBaseline.h"

#include <algorithm>

namespace citronlever {

/// Latency of one route's calls to leaves, and when a call should be hedged.
/// Load pattern: leaves that pause or turn slow, each at its own time.
class RouteLatency {
public:
  explicit RouteLatency(Duration Objective) : Objective(Objective) {}

  void addSample(Duration Latency, TimePoint Now) {
    const double Ms =
        std::chrono::duration<double, std::milli>(Latency).count();
    this->Mean.add(Ms);
    this->Tail.add(Ms, Now);
  }

  /// \returns the latency of a call to a sound leaf.
  Duration typical() const {
    if (this->Mean.ms() == 0)
      return this->Objective / InitialDivisor;
    return fromMs(this->Mean.ms());
  }

  /// \returns the age at which a call is worth a second one.
  Duration hedgeDelay(TimePoint Now) {
    const double Ms = this->Tail.value(Now);
    const Duration Observed = Ms == 0 ? this->Objective / 4 : fromMs(Ms);
    return std::clamp(Observed, std::max(MinHedgeDelay, this->Objective / 10),
                      this->Objective * 3 / 10);
  }

private:
  /// While nothing has been measured, a call is taken to last this part of the
  /// objective.
  static constexpr int InitialDivisor = 6;
  static constexpr double HedgeQuantile = 0.95;
  static constexpr Duration MinHedgeDelay = Milliseconds(14);
  static constexpr Duration TailPeriod = Seconds(3);

  static Duration fromMs(double Ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
  }

  Duration Objective;
  LatencyBaseline Mean;
  QuantileWindow Tail{HedgeQuantile, TailPeriod};
};

} // namespace citronlever
