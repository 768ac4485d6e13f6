#pragma once

#include "citronlever/src/Core/Time.h"

#include <concepts>

namespace citronlever {

/// Says from when a hedge's wait counts.
template <class T>
concept HedgePolicy = requires(TimePoint At) {
  { T::Enabled } -> std::convertible_to<bool>;
  { T::delayStart(At, At) } -> std::same_as<TimePoint>;
};

/// The wait starts when the call leaves for the leaf: time spent in the
/// owner's queue, where a second copy would not help, costs no budget.
struct HedgeDelayFromSend {
  static constexpr bool Enabled = true;
  static TimePoint delayStart(TimePoint /*SubmittedAt*/, TimePoint SentAt) {
    return SentAt;
  }
};

/// The naive clock, for comparison.
struct HedgeDelayFromSubmit {
  static constexpr bool Enabled = true;
  static TimePoint delayStart(TimePoint SubmittedAt, TimePoint /*SentAt*/) {
    return SubmittedAt;
  }
};

/// No hedges; retries remain.
struct NoHedging {
  static constexpr bool Enabled = false;
  static TimePoint delayStart(TimePoint /*SubmittedAt*/, TimePoint SentAt) {
    return SentAt;
  }
};

} // namespace citronlever
