#pragma once

#include <algorithm>

namespace citronlever {

/// Exponentially weighted mean latency of the warm leaves of one service.
/// Serves as the reference for a leaf that has no latency history at this
/// owner. Samples are clipped to twice the mean, so that stragglers do not
/// distort it.
class LatencyBaseline {
public:
  /// Adds the latency of one answer of a warm leaf, in milliseconds.
  void add(double Ms) {
    if (this->Ms == 0)
      this->Ms = Ms;
    this->Ms += Weight * (std::min(Ms, SampleClip * this->Ms) - this->Ms);
  }

  /// \returns the mean in milliseconds, 0 if unknown.
  double ms() const { return this->Ms; }

private:
  static constexpr double Weight = 0.01;
  static constexpr double SampleClip = 2.0;

  double Ms = 0;
};

} // namespace citronlever
