#include "citronlever/src/Dispatch/RolloutLeader.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Part of the ordered time by which a move must have ended, so that its last
/// state is written in time.
constexpr double DecidedBy = 0.92;
/// Time from the state that sends everything to the new version until every
/// process knows it and calls to the old one have ended.
constexpr Duration SwitchTime = Milliseconds(2500);
/// Age of the written time under way at which it is written again, so that a
/// process that takes over is at most so much behind.
constexpr Duration RewriteAfter = Seconds(5);

RolloutPlan thinTrafficPlan() {
  RolloutPlan Result;
  // Under the tenth that a bad version may get.
  Result.CanaryShare = 0.07;
  Result.RampShares = {0.5};
  Result.RampAt = 0.5;
  Result.RampOverAt = 0.65;
  Result.MinStep = Seconds(1);
  Result.LeastDeadline = Seconds(1);
  return Result;
}

} // namespace

RolloutLeader::RolloutLeader(VersionOrder Order, TimePoint Now)
    : Order(std::move(Order)), ReadAt(Now) {}

const RolloutPlan &RolloutLeader::plan() {
  static const RolloutPlan Plan = thinTrafficPlan();
  return Plan;
}

void RolloutLeader::add(std::string_view Reporter, const CanaryReport &Report) {
  this->Judge.add(Reporter, Report.Rows);
  if (this->BadReason.empty())
    this->BadReason = Report.BadReason;
}

void RolloutLeader::endInterval() {
  const std::string Finding = this->Judge.endInterval();
  if (this->BadReason.empty())
    this->BadReason = Finding;
}

void RolloutLeader::stateRead(const RolloutDocument &State, TimePoint Now) {
  if (State.Id != this->Order.id() ||
      (!this->Read.Id.empty() && State.Elapsed <= this->Read.Elapsed))
    return;
  if (State.Phase != this->Read.Phase || State.Step != this->Read.Step)
    this->Judge.startStep();
  this->Read = State;
  this->ReadAt = Now;
}

Duration RolloutLeader::elapsed(TimePoint Now) const {
  return this->Read.Elapsed + (Now - this->ReadAt);
}

std::optional<RolloutDocument>
RolloutLeader::decide(const RolloutDocument *Present, std::string_view From,
                      TimePoint Now) const {
  const Duration Elapsed = this->elapsed(Now);
  if (!Present) {
    RolloutDocument First = startRollout(
        this->Order.id(), this->Order.Service, std::string(From),
        this->Order.Version,
        std::chrono::duration_cast<Duration>(this->Order.Deadline * DecidedBy),
        0, plan());
    First.Elapsed = Elapsed;
    return First;
  }
  if (Present->finished())
    return std::nullopt;
  RolloutInput Input;
  Input.Elapsed = Elapsed;
  Input.BadReason = this->BadReason;
  Input.ProvedGood = this->Judge.provedGood();
  Input.ServiceSwitched = Elapsed >= Present->StepBegan + SwitchTime;
  if (auto Next = decideRollout(*Present, Input, plan()))
    return Next;
  if (Elapsed < Present->Elapsed + RewriteAfter)
    return std::nullopt;
  RolloutDocument Again = *Present;
  Again.Elapsed = Elapsed;
  return Again;
}

} // namespace citronlever
