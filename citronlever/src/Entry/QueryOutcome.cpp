#include "citronlever/src/Entry/QueryOutcome.h"

#include <algorithm>
#include <utility>

namespace citronlever {

SingleShardFailure failureForStatus(BrokerStatus Status) {
  switch (Status) {
  case BrokerStatus::Overloaded:
    return {EntryError::Overloaded, "the broker is overloaded"};
  case BrokerStatus::TimedOut:
    return {EntryError::DeadlinePassed, "no leaf answered in time"};
  case BrokerStatus::NotOwner:
  case BrokerStatus::Unknown:
    return {EntryError::NoBroker, "no broker accepted the request"};
  default:
    return {EntryError::UpstreamFailed,
            "the leaf failed or refused the request"};
  }
}

bool QueryOutcome::shouldRestart() const {
  std::uint32_t Lost = 0;
  for (const GroupRun &Run : this->Groups)
    if (Run.LastStatus == BrokerStatus::SnapshotGone)
      Lost += static_cast<std::uint32_t>(Run.RemainingShards.size());
  if (Lost == 0)
    return false;
  const double Possible = static_cast<double>(this->Plan.TotalShards - Lost) /
                          this->Plan.TotalShards;
  const double Wanted = this->Spec.Preference == AnswerPreference::Coverage
                            ? 1.0
                            : this->Spec.LowestCoverage;
  return Possible < Wanted;
}

std::uint32_t QueryOutcome::answeredShards() const {
  std::uint32_t Result = 0;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index)
    Result +=
        static_cast<std::uint32_t>(this->Plan.Groups[Index].Shards.size() -
                                   this->Groups[Index].RemainingShards.size());
  return Result;
}

Verdict QueryOutcome::verdict() const {
  Verdict Result = this->Totals.Outcome;
  for (const GroupRun &Run : this->Groups) {
    Result = combine(Result, Run.Outcome);
    if (Run.State == CallState::Sent)
      Result = combine(Result, Verdict::MayHaveRun);
  }
  return Result;
}

Answer QueryOutcome::baseAnswer() const {
  Answer Result;
  Result.Snapshot = this->Plan.Snapshot;
  Result.Version = this->Plan.Version;
  Result.LeafCalls = this->Totals.LeafCalls;
  Result.Outcome = this->verdict();
  return Result;
}

EntryError QueryOutcome::errorBelowCoverage(const Answer &Result) const {
  bool Gone = false;
  bool AnySent = false;
  bool Overloaded = false;
  for (const GroupRun &Run : this->Groups) {
    if (Run.RemainingShards.empty())
      continue;
    Gone |= Run.LastStatus == BrokerStatus::SnapshotGone;
    Overloaded |= Run.LastStatus == BrokerStatus::Overloaded;
    AnySent |= Run.Attempt > 0;
  }
  if (Gone)
    return EntryError::SnapshotGone;
  if (Result.AnsweredShards > 0)
    return EntryError::CoverageBelowContract;
  if (Overloaded && Result.Outcome == Verdict::NotRun)
    return EntryError::Overloaded;
  if (this->Totals.PastDeadline)
    return EntryError::DeadlinePassed;
  return AnySent ? EntryError::CoverageBelowContract : EntryError::NoBroker;
}

Answer QueryOutcome::takeAnswer() {
  Answer Result = this->baseAnswer();
  Result.TotalShards = this->Plan.TotalShards;
  Result.AnsweredShards = this->answeredShards();
  for (const GroupRun &Run : this->Groups)
    Result.MissingShards.insert(Result.MissingShards.end(),
                                Run.RemainingShards.begin(),
                                Run.RemainingShards.end());
  std::sort(Result.MissingShards.begin(), Result.MissingShards.end());
  const double Coverage =
      Result.TotalShards == 0
          ? 0
          : static_cast<double>(Result.AnsweredShards) / Result.TotalShards;
  if (Result.AnsweredShards == 0 || Coverage < this->Spec.LowestCoverage) {
    Result.Error = this->errorBelowCoverage(Result);
    Result.Reason = std::to_string(Result.AnsweredShards) + " of " +
                    std::to_string(Result.TotalShards) + " shards answered";
    return Result;
  }
  std::vector<std::vector<Row>> Lists;
  for (GroupRun &Run : this->Groups)
    for (std::vector<Row> &List : Run.Rows)
      Lists.push_back(std::move(List));
  Result.Rows = mergeRows(std::move(Lists), this->Spec.Limit);
  Result.Outcome = Verdict::Ran;
  return Result;
}

} // namespace citronlever
