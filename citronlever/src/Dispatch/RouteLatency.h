#pragma once

#include "citronlever/src/Core/QuantileWindow.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LatencyBaseline.h"

#include <algorithm>

namespace citronlever {

/// Call latency of one route, and the delay after which a call is hedged. Load
/// pattern: leaves that pause or become slow independently of each other.
class RouteLatency {
public:
  explicit RouteLatency(Duration Objective) : Objective(Objective) {}

  /// Adds the latency of a successful call.
  void addSample(Duration Latency, TimePoint Now) {
    const double Ms =
        std::chrono::duration<double, std::milli>(Latency).count();
    this->Mean.add(Ms);
    this->Tail.add(Ms, Now);
  }

  /// \returns the typical latency of a call to a healthy leaf.
  Duration typical() const {
    if (this->Mean.ms() == 0)
      return this->Objective / InitialDivisor;
    return fromMs(this->Mean.ms());
  }

  /// \returns the age from which a call is worth a hedge: a high quantile of
  /// the latency, between a tenth and three tenths of the latency objective.
  Duration hedgeDelay(TimePoint Now) {
    const double Ms = this->Tail.value(Now);
    const Duration Observed = Ms == 0 ? this->Objective / 4 : fromMs(Ms);
    return std::clamp(Observed, std::max(MinHedgeDelay, this->Objective / 10),
                      this->Objective * 3 / 10);
  }

private:
  /// Until a latency has been measured, the objective divided by this number is
  /// assumed.
  static constexpr int InitialDivisor = 6;
  static constexpr double HedgeQuantile = 0.95;
  static constexpr Duration MinHedgeDelay = Milliseconds(14);
  /// Period over which the quantile is measured.
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
