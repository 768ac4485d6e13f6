#include "citronlever/src/Dispatch/GatherDecision.h"

namespace citronlever {

bool covers(std::size_t Parts, std::size_t Shards, double LeastCoverage) {
  // Shares such as 0.89 of 100 must not fail by a rounding error.
  constexpr double Rounding = 1e-9;
  return Parts > 0 && static_cast<double>(Parts) + Rounding >=
                          LeastCoverage * static_cast<double>(Shards);
}

GatherDecision nextStep(const GatherProgress &State, TimePoint Now) {
  const bool Enough = covers(State.Parts, State.Shards, State.LeastCoverage);
  if (State.Parts == State.Shards)
    return GatherDecision::Answer;
  if (!covers(State.Parts + State.Open, State.Shards, State.LeastCoverage))
    return GatherDecision::GiveUp;
  if (Enough && (State.Open == 0 || Now >= State.AnswerBy))
    return GatherDecision::Answer;
  return Now >= State.End ? GatherDecision::GiveUp : GatherDecision::Wait;
}

TimePoint nextStepAt(const GatherProgress &State, TimePoint Now) {
  if (covers(State.Parts, State.Shards, State.LeastCoverage) &&
      Now < State.AnswerBy)
    return State.AnswerBy;
  return State.End;
}

} // namespace citronlever
