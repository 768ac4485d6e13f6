#pragma once

#include "citronlever/src/Core/Time.h"

#include <memory>

namespace citronlever {

/// Estimates a quantile of recent values. Two Boost.Accumulators P-square
/// estimators are rotated, because such an estimator cannot discard old
/// samples.
class QuantileWindow {
public:
  /// \param Probability the quantile, in (0, 1).
  /// \param Period time after which the older estimator is dropped; the
  /// estimate covers values of the last one to two periods.
  QuantileWindow(double Probability, Duration Period);
  ~QuantileWindow();
  QuantileWindow(QuantileWindow &&) noexcept;
  QuantileWindow &operator=(QuantileWindow &&) noexcept;

  void add(double Value, TimePoint Now);

  /// \returns the estimate, or 0 while fewer than \c MinSamples were seen.
  double value(TimePoint Now);

  /// \returns the number of values behind the estimate.
  std::size_t count() const;

  static constexpr std::size_t MinSamples = 20;

private:
  struct State;
  void rotate(TimePoint Now);
  std::unique_ptr<State> Data;
};

} // namespace citronlever
