#include "citronlever/src/Dispatch/GatherDecision.h"

namespace citronlever {

bool reachesCoverage(std::size_t Received, std::size_t Shards,
                     double MinCoverage) {
  // Tolerance for rounding errors, for example of 0.89 * 100.
  constexpr double Rounding = 1e-9;
  return Received > 0 && static_cast<double>(Received) + Rounding >=
                             MinCoverage * static_cast<double>(Shards);
}

GatherDecision decideGather(const GatherProgress &Progress, TimePoint Now) {
  const bool Enough =
      reachesCoverage(Progress.Received, Progress.Shards, Progress.MinCoverage);
  if (Progress.Received == Progress.Shards)
    return GatherDecision::Answer;
  if (!reachesCoverage(Progress.Received + Progress.Pending, Progress.Shards,
                       Progress.MinCoverage))
    return GatherDecision::GiveUp;
  if (Enough && (Progress.Pending == 0 || Now >= Progress.AnswerBy))
    return GatherDecision::Answer;
  return Now >= Progress.Deadline ? GatherDecision::GiveUp
                                  : GatherDecision::Wait;
}

TimePoint nextDecisionAt(const GatherProgress &Progress, TimePoint Now) {
  if (reachesCoverage(Progress.Received, Progress.Shards,
                      Progress.MinCoverage) &&
      Now < Progress.AnswerBy)
    return Progress.AnswerBy;
  return Progress.Deadline;
}

} // namespace citronlever
