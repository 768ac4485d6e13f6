#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace citronlever {

/// One-sided sequential test of a proportion (CUSUM of log-likelihood ratios):
/// tests whether the share of hits is AlternativeShare rather than NullShare.
/// The level never falls below zero, so that a late change is found as quickly
/// as an early one.
class SequentialTest {
public:
  /// Level at which the alternative is accepted. A level of 14 is reached by
  /// chance about once in a million independent observations.
  static constexpr double Threshold = 14;
  /// Largest increase by one interval, so that a short disturbance that slows
  /// or fails many calls at once is not sufficient on its own.
  static constexpr double MaxStep = Threshold / 3;

  /// Adds one interval with \p Hits out of \p Calls.
  /// \param Trust weight of the interval, 0 to 1.
  void add(std::uint64_t Hits, std::uint64_t Calls, double NullShare,
           double AlternativeShare, double Trust = 1) {
    const auto Misses = static_cast<double>(Calls - std::min(Hits, Calls));
    const double Step =
        static_cast<double>(Hits) * std::log(AlternativeShare / NullShare) +
        Misses * std::log((1 - AlternativeShare) / (1 - NullShare));
    this->Level = std::max(0.0, this->Level + std::min(Step * Trust, MaxStep));
  }

  /// \returns whether the alternative is accepted.
  bool isThresholdReached() const { return this->Level >= Threshold; }
  double level() const { return this->Level; }

private:
  double Level = 0;
};

} // namespace citronlever
