#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>

namespace citronlever {

/// How far the gathering of one answer is.
struct GatherProgress {
  std::size_t Shards = 0;
  /// Shards whose part is there.
  std::size_t Parts = 0;
  /// Shards whose part may still come.
  std::size_t Open = 0;
  /// Share of the shards below which an answer is none.
  double LeastCoverage = 1;
  /// When an answer must leave to arrive within the latency objective.
  TimePoint AnswerBy{};
  /// When the request's time is over.
  TimePoint End{};
};

enum class GatherDecision : std::uint8_t { Wait, Answer, GiveUp };

/// Decides when the parts of an answer are enough. Load pattern: a few shards
/// whose leaves are slow or gone hold up queries to many.
///
/// The value of an answer grows with the square of its coverage and drops to
/// little after the objective, so missing parts are worth waiting for until
/// then and not longer; an answer below the least coverage is worth nothing.
GatherDecision nextStep(const GatherProgress &State, TimePoint Now);

/// \returns when nextStep() changes without a part, or TimePoint::max().
TimePoint nextStepAt(const GatherProgress &State, TimePoint Now);

/// \returns whether \p Parts of \p Shards are the least coverage or more.
bool covers(std::size_t Parts, std::size_t Shards, double LeastCoverage);

} // namespace citronlever
