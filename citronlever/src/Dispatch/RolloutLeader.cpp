#include "citronlever/src/Dispatch/RolloutLeader.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Share of the ordered time after which a rollout must have ended, so that its
/// last state is written before the deadline.
constexpr double DecisionTimeShare = 0.92;
/// Time from the state that sends all calls to the new version until every
/// process has applied it and calls to the old version have ended.
constexpr Duration SwitchTime = Milliseconds(2500);
/// Age of the stored elapsed time from which it is written again. It bounds how
/// much time a new leader loses.
constexpr Duration RewritePeriod = Seconds(5);

RolloutPlan lowTrafficPlan() {
  RolloutPlan Result;
  // Below the tenth that a bad version may get.
  Result.CanaryShare = 0.07;
  Result.RampShares = {0.5};
  Result.RampStartFraction = 0.5;
  Result.RampEndFraction = 0.65;
  Result.MinStepTime = Seconds(1);
  Result.DeadlineFloor = Seconds(1);
  return Result;
}

} // namespace

RolloutLeader::RolloutLeader(RolloutRequest Order, TimePoint Now)
    : Order(std::move(Order)), LastStateAt(Now) {}

const RolloutPlan &RolloutLeader::plan() {
  static const RolloutPlan Plan = lowTrafficPlan();
  return Plan;
}

void RolloutLeader::addReport(std::string_view Reporter,
                              const CanaryReport &Report) {
  this->Analysis.add(Reporter, Report.Counts);
  if (this->BadReason.empty())
    this->BadReason = Report.BadReason;
}

void RolloutLeader::endInterval() {
  const std::string Finding = this->Analysis.endInterval();
  if (this->BadReason.empty())
    this->BadReason = Finding;
}

void RolloutLeader::renumber(const RolloutRequest &Again) {
  this->Order = Again;
  if (!this->LastState.Id.empty())
    this->LastState.Id = Again.id();
}

void RolloutLeader::onStateRead(const RolloutDocument &State, TimePoint Now) {
  if (State.Id != this->Order.id() ||
      (!this->LastState.Id.empty() && State.Elapsed <= this->LastState.Elapsed))
    return;
  if (State.Phase != this->LastState.Phase ||
      State.Step != this->LastState.Step)
    this->Analysis.startStep();
  this->LastState = State;
  this->LastStateAt = Now;
}

Duration RolloutLeader::elapsed(TimePoint Now) const {
  return this->LastState.Elapsed + (Now - this->LastStateAt);
}

std::optional<RolloutDocument>
RolloutLeader::nextState(const RolloutDocument *Current,
                         std::string_view OldVersion, TimePoint Now) const {
  const Duration Elapsed = this->elapsed(Now);
  if (!Current) {
    RolloutDocument First =
        makeRolloutDocument(this->Order.id(), this->Order.Service,
                            std::string(OldVersion), this->Order.Version,
                            std::chrono::duration_cast<Duration>(
                                this->Order.Deadline * DecisionTimeShare),
                            0, plan());
    First.Elapsed = Elapsed;
    return First;
  }
  if (Current->isFinished())
    return std::nullopt;
  RolloutInput Input;
  Input.Elapsed = Elapsed;
  Input.BadReason = this->BadReason;
  Input.ProvedGood = this->Analysis.isProvedGood();
  Input.ServiceSwitched = Elapsed >= Current->StepStart + SwitchTime;
  if (auto Next = decideRollout(*Current, Input, plan()))
    return Next;
  if (Elapsed < Current->Elapsed + RewritePeriod)
    return std::nullopt;
  RolloutDocument Again = *Current;
  Again.Elapsed = Elapsed;
  return Again;
}

} // namespace citronlever
