#include "citronlever/src/Dispatch/AnswerTime.h"

namespace citronlever {

bool covers(std::size_t Parts, std::size_t Shards, double LeastCoverage) {
  // Shares such as 0.89 of 100 must not fail by a rounding error.
  constexpr double Rounding = 1e-9;
  return Parts > 0 && static_cast<double>(Parts) + Rounding >=
                          LeastCoverage * static_cast<double>(Shards);
}

GatherStep nextStep(const GatherState &State, TimePoint Now) {
  const bool Enough = covers(State.Parts, State.Shards, State.LeastCoverage);
  if (State.Parts == State.Shards)
    return GatherStep::Answer;
  if (!covers(State.Parts + State.Open, State.Shards, State.LeastCoverage))
    return GatherStep::GiveUp;
  if (Enough && (State.Open == 0 || Now >= State.AnswerBy))
    return GatherStep::Answer;
  return Now >= State.End ? GatherStep::GiveUp : GatherStep::Wait;
}

TimePoint nextStepAt(const GatherState &State, TimePoint Now) {
  if (covers(State.Parts, State.Shards, State.LeastCoverage) &&
      Now < State.AnswerBy)
    return State.AnswerBy;
  return State.End;
}

} // namespace citronlever
