#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>

namespace citronlever {

/// Progress of a scatter-gather request.
struct GatherProgress {
  std::size_t Shards = 0;
  /// Shards that have answered.
  std::size_t Received = 0;
  /// Shards that may still answer.
  std::size_t Pending = 0;
  /// Minimum share of the shards in an answer.
  double MinCoverage = 1;
  /// Latest time at which the answer can leave and still meet the latency
  /// objective.
  TimePoint AnswerBy{};
  /// When the request ends in any case.
  TimePoint Deadline{};
};

/// What to do with a scatter-gather request: wait for more parts, answer with
/// the received ones, or fail.
enum class GatherDecision : std::uint8_t { Wait, Answer, GiveUp };

/// Decides whether the parts received so far are enough for an answer. Load
/// pattern: a few shards whose leaves are slow or down delay queries to many
/// shards.
///
/// The value of an answer grows with the square of its coverage and drops
/// sharply after the latency objective. Missing parts are therefore awaited
/// until then and no longer. An answer below the minimum coverage has no value.
GatherDecision decideGather(const GatherProgress &Progress, TimePoint Now);

/// \returns when the result of decideGather() changes without another part.
TimePoint nextDecisionAt(const GatherProgress &Progress, TimePoint Now);

/// \returns whether \p Received of \p Shards parts reach the minimum coverage.
bool reachesCoverage(std::size_t Received, std::size_t Shards,
                     double MinCoverage);

} // namespace citronlever
