#include "citronlever/src/Entry/QueryOutcome.h"

#include <algorithm>
#include <utility>

namespace citronlever {

SingleFailure failureFor(BrokerStatus Status) {
  switch (Status) {
  case BrokerStatus::Overloaded:
    return {EntryError::Overloaded, "the owner is overloaded"};
  case BrokerStatus::TimedOut:
    return {EntryError::DeadlinePassed, "no leaf answered in time"};
  case BrokerStatus::NotOwner:
  case BrokerStatus::Unknown:
    return {EntryError::NoBroker, "no broker takes the request"};
  default:
    return {EntryError::UpstreamFailed, "the leaf failed"};
  }
}

bool QueryOutcome::restartWanted() const {
  std::uint32_t Lost = 0;
  for (const GroupRun &Part : this->Groups)
    if (Part.LastStatus == BrokerStatus::SnapshotGone)
      Lost += static_cast<std::uint32_t>(Part.Left.size());
  if (Lost == 0)
    return false;
  const double Possible =
      static_cast<double>(this->Plan.Total - Lost) / this->Plan.Total;
  const double Wanted = this->Spec.First == AnswerPreference::Coverage
                            ? 1.0
                            : this->Spec.LowestCoverage;
  return Possible < Wanted;
}

std::uint32_t QueryOutcome::answeredShards() const {
  std::uint32_t Result = 0;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index)
    Result +=
        static_cast<std::uint32_t>(this->Plan.Groups[Index].Shards.size() -
                                   this->Groups[Index].Left.size());
  return Result;
}

Verdict QueryOutcome::verdict() const {
  Verdict Result = this->SoFar.Outcome;
  for (const GroupRun &Part : this->Groups) {
    Result = combine(Result, Part.Outcome);
    if (Part.State == CallState::Sent)
      Result = combine(Result, Verdict::MayHaveRun);
  }
  return Result;
}

Answer QueryOutcome::base() const {
  Answer Result;
  Result.Snapshot = this->Plan.Snapshot;
  Result.Version = this->Plan.Version;
  Result.LeafCalls = this->SoFar.LeafCalls;
  Result.Outcome = this->verdict();
  return Result;
}

EntryError QueryOutcome::errorBelowCoverage(const Answer &Result) const {
  bool Gone = false;
  bool AnySent = false;
  bool Overloaded = false;
  for (const GroupRun &Part : this->Groups) {
    if (Part.Left.empty())
      continue;
    Gone |= Part.LastStatus == BrokerStatus::SnapshotGone;
    Overloaded |= Part.LastStatus == BrokerStatus::Overloaded;
    AnySent |= Part.Attempt > 0;
  }
  if (Gone)
    return EntryError::SnapshotGone;
  if (Result.Answered > 0)
    return EntryError::CoverageBelowContract;
  if (Overloaded && Result.Outcome == Verdict::NotRun)
    return EntryError::Overloaded;
  if (this->SoFar.PastDeadline)
    return EntryError::DeadlinePassed;
  return AnySent ? EntryError::CoverageBelowContract : EntryError::NoBroker;
}

Answer QueryOutcome::takeAnswer() {
  Answer Result = this->base();
  Result.Total = this->Plan.Total;
  Result.Answered = this->answeredShards();
  for (const GroupRun &Part : this->Groups)
    Result.Missing.insert(Result.Missing.end(), Part.Left.begin(),
                          Part.Left.end());
  std::sort(Result.Missing.begin(), Result.Missing.end());
  const double Coverage =
      Result.Total == 0 ? 0
                        : static_cast<double>(Result.Answered) / Result.Total;
  if (Result.Answered == 0 || Coverage < this->Spec.LowestCoverage) {
    Result.Error = this->errorBelowCoverage(Result);
    Result.Reason = std::to_string(Result.Answered) + " of " +
                    std::to_string(Result.Total) + " shards answered";
    return Result;
  }
  std::vector<std::vector<Row>> Lists;
  for (GroupRun &Part : this->Groups)
    for (std::vector<Row> &List : Part.Rows)
      Lists.push_back(std::move(List));
  Result.Rows = mergeRows(std::move(Lists), this->Spec.Limit);
  Result.Outcome = Verdict::Ran;
  return Result;
}

} // namespace citronlever
