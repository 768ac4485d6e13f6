#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>

namespace citronlever {

/// How far the gathering of one answer is.
struct GatherProgress {
  std::size_t Shards = 0;
  /// Shards whose part is there.
  std::size_t Received = 0;
  /// Shards whose part may still come.
  std::size_t Pending = 0;
  /// Share of the shards below which an answer is none.
  double MinCoverage = 1;
  /// When an answer must leave to arrive within the latency objective.
  TimePoint AnswerBy{};
  /// When the request's time is over.
  TimePoint Deadline{};
};

enum class GatherDecision : std::uint8_t { Wait, Answer, GiveUp };

/// Decides when the parts of an answer are enough. Load pattern: a few shards
/// whose leaves are slow or gone hold up queries to many.
///
/// The value of an answer grows with the square of its coverage and drops to
/// little after the objective, so missing parts are worth waiting for until
/// then and not longer; an answer below the least coverage is worth nothing.
GatherDecision decideGather(const GatherProgress &Progress, TimePoint Now);

/// \returns when decideGather() changes without a part, or TimePoint::max().
TimePoint nextDecisionAt(const GatherProgress &Progress, TimePoint Now);

/// \returns whether \p Received of \p Shards are the least coverage or more.
bool reachesCoverage(std::size_t Received, std::size_t Shards,
                     double MinCoverage);

} // namespace citronlever
