#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace citronlever {

/// A one-sided sequential test of a share (a CUSUM of log-likelihood ratios):
/// is the share of hits AlternativeShare rather than NullShare? It starts again
/// at zero, so that a change is found however late it comes.
class SequentialTest {
public:
  /// Level at which the suspicion counts as proved. A level of 14 is reached
  /// by chance about once in a million independent observations.
  static constexpr double Threshold = 14;
  /// Most that one interval can add, so that calls which are slow or failing
  /// together for one short reason prove nothing alone.
  static constexpr double MaxStep = Threshold / 3;

  /// Adds one interval: \p Hits of \p Calls.
  /// \param Trust how far the interval is to be trusted, 0 to 1.
  void add(std::uint64_t Hits, std::uint64_t Calls, double NullShare,
           double AlternativeShare, double Trust = 1) {
    const auto Misses = static_cast<double>(Calls - std::min(Hits, Calls));
    const double Step =
        static_cast<double>(Hits) * std::log(AlternativeShare / NullShare) +
        Misses * std::log((1 - AlternativeShare) / (1 - NullShare));
    this->Level = std::max(0.0, this->Level + std::min(Step * Trust, MaxStep));
  }

  bool isThresholdReached() const { return this->Level >= Threshold; }
  double level() const { return this->Level; }

private:
  double Level = 0;
};

} // namespace citronlever
