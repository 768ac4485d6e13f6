#pragma once

#include "citronlever/src/Core/Time.h"

#include <concepts>

namespace citronlever {

/// Decides whether jobs are hedged and from when the delay before a hedge
/// counts. delayStart() gets the time at which the job was submitted and the
/// time at which its latest request was sent.
template <class T>
concept HedgePolicy = requires(TimePoint At) {
  { T::Enabled } -> std::convertible_to<bool>;
  { T::delayStart(At, At) } -> std::same_as<TimePoint>;
};

/// The delay counts from the time at which the request was sent to the leaf.
/// Time in the owner's queue, where a second copy would not help, does not use
/// up the hedge budget.
struct HedgeDelayFromSend {
  static constexpr bool Enabled = true;
  static TimePoint delayStart(TimePoint /*SubmittedAt*/, TimePoint SentAt) {
    return SentAt;
  }
};

/// The delay counts from the submission of the job, including its time in the
/// queue. Only for comparison in tests.
struct HedgeDelayFromSubmit {
  static constexpr bool Enabled = true;
  static TimePoint delayStart(TimePoint SubmittedAt, TimePoint /*SentAt*/) {
    return SubmittedAt;
  }
};

/// Disables hedges; failed requests are still retried.
struct NoHedging {
  static constexpr bool Enabled = false;
  static TimePoint delayStart(TimePoint /*SubmittedAt*/, TimePoint SentAt) {
    return SentAt;
  }
};

} // namespace citronlever
