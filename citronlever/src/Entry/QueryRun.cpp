#include "citronlever/src/Entry/QueryRun.h"

#include <algorithm>

namespace citronlever {

namespace {

template <class T, class U>
bool contains(const std::vector<T> &Values, const U &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

/// \returns whether \p Answered contains only shards of \p Asked, each once.
/// False for a duplicate reply to an earlier call of the same group.
bool isDistinctSubset(const std::vector<std::uint32_t> &Asked,
                      std::vector<std::uint32_t> Answered) {
  std::sort(Answered.begin(), Answered.end());
  if (std::adjacent_find(Answered.begin(), Answered.end()) != Answered.end())
    return false;
  return std::all_of(
      Answered.begin(), Answered.end(),
      [&](std::uint32_t Shard) { return contains(Asked, Shard); });
}

/// \returns whether a broker with this reply refused the whole call, so that
/// another broker can be called.
bool canAskAnotherBroker(BrokerStatus Status) {
  return Status == BrokerStatus::NotOwner || Status == BrokerStatus::Unknown;
}

} // namespace

QueryRun::QueryRun(QuerySpec Spec, QueryPlan Plan, RequestIdSource &Ids,
                   QueryLookups Lookups, QueryTimes Times, QueryPolicy Policy)
    : Spec(std::move(Spec)), Plan(std::move(Plan)), Ids(Ids),
      Lookups(std::move(Lookups)), Times(Times), Policy(Policy) {}

void QueryRun::start(TimePoint Now, QueryActions &Out) {
  this->startRound(Now, Out);
  this->finishIfDone(Now, Out);
}

void QueryRun::startRound(TimePoint Now, QueryActions &Out) {
  // Each round needs a new id, since brokers identify calls by id and group.
  this->Id = this->Ids.next();
  this->Groups.assign(this->Plan.Groups.size(), GroupRun());
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    this->Groups[Index].RemainingShards = this->Plan.Groups[Index].Shards;
    if (!this->callNextBroker(Index, {}, Out))
      this->scheduleOwnerRetry(Index, Now);
  }
}

std::optional<BrokerTarget> QueryRun::nextBroker(std::size_t Index,
                                                 std::string_view Hint) const {
  const std::vector<std::string> &TriedBrokers =
      this->Groups[Index].TriedBrokers;
  if (TriedBrokers.size() >= this->Times.MaxBrokersPerGroup)
    return std::nullopt;
  if (!Hint.empty() && !contains(TriedBrokers, Hint) &&
      this->Lookups.BrokerByName)
    if (std::optional<BrokerTarget> Named = this->Lookups.BrokerByName(Hint))
      return Named;
  for (const BrokerTarget &Candidate : this->Plan.Groups[Index].Candidates)
    if (!contains(TriedBrokers, Candidate.Name))
      return Candidate;
  return std::nullopt;
}

bool QueryRun::callNextBroker(std::size_t Index, std::string_view Hint,
                              QueryActions &Out) {
  GroupRun &Run = this->Groups[Index];
  std::optional<BrokerTarget> Next = this->nextBroker(Index, Hint);
  const bool First = Run.TriedBrokers.empty();
  if (!Next || (!First && !this->Policy.UseStandBys)) {
    this->markDone(Index);
    return false;
  }
  this->callBroker(Index, *Next, Out);
  return true;
}

void QueryRun::callBroker(std::size_t Index, const BrokerTarget &To,
                          QueryActions &Out) {
  GroupRun &Run = this->Groups[Index];
  if (!contains(Run.TriedBrokers, To.Name))
    Run.TriedBrokers.push_back(To.Name);
  Run.State = CallState::Connecting;
  Run.LinkId = 0;
  Run.To = To;
  ++Run.Attempt;
  Out.emplace_back(SendCall{this->Plan.Groups[Index].Group, Run.Attempt, To});
}

void QueryRun::markDone(std::size_t Index) {
  this->Groups[Index].State = CallState::Done;
}

BrokerCall QueryRun::messageFor(const GroupRun &Run, TimePoint Now) const {
  BrokerCall Message;
  Message.Id = this->Id;
  Message.Service = this->Spec.Service;
  Message.Route = this->Spec.Route;
  Message.Snapshot = this->Plan.Snapshot;
  Message.Version = this->Plan.Version;
  Message.Shards = Run.RemainingShards;
  const Duration Left = this->Spec.Deadline - Now;
  const Duration Given = Left > 2 * this->Times.MergeMargin
                             ? Left - this->Times.MergeMargin
                             : Left / 2;
  Message.TimeLeftMs =
      static_cast<std::uint32_t>(std::max<long long>(1, toMs(Given)));
  Message.Priority = this->Spec.Priority;
  Message.Customer = this->Spec.Customer;
  Message.HedgeBudget = this->Spec.HedgeBudget;
  Message.Limit = this->Spec.Limit;
  Message.Idempotent = this->Spec.Idempotent;
  Message.AsStandBy = Run.To.StandBy;
  Message.RequestKey = this->Spec.RequestKey;
  Message.Body = this->Spec.Body;
  return Message;
}

std::optional<BrokerCall>
QueryRun::claimCall(const SendCall &Call, std::uint64_t LinkId, TimePoint Now) {
  if (this->Done || this->PastDeadline || Now >= this->Spec.Deadline)
    return std::nullopt;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (this->Plan.Groups[Index].Group != Call.Group)
      continue;
    if (Run.Attempt != Call.Attempt || Run.State != CallState::Connecting ||
        Run.To != Call.To)
      return std::nullopt;
    Run.State = CallState::Sent;
    Run.LinkId = LinkId;
    Run.SentAt = Now;
    BrokerCall Message = this->messageFor(Run, Now);
    Message.Group = Call.Group;
    return Message;
  }
  return std::nullopt;
}

void QueryRun::onNotSent(const SendCall &Call, TimePoint Now,
                         QueryActions &Out) {
  if (this->Done)
    return;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (this->Plan.Groups[Index].Group != Call.Group ||
        Run.Attempt != Call.Attempt || Run.To != Call.To ||
        Run.State == CallState::Done)
      continue;
    if (this->PastDeadline)
      this->markDone(Index);
    else
      this->callNextBroker(Index, {}, Out);
  }
  this->finishIfDone(Now, Out);
}

GroupRun *QueryRun::findCall(std::uint64_t LinkId, const RequestId &ReplyId,
                             std::uint32_t Group) {
  if (this->Done || ReplyId != this->Id)
    return nullptr;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (this->Plan.Groups[Index].Group == Group)
      return Run.State == CallState::Sent && Run.LinkId == LinkId ? &Run
                                                                  : nullptr;
  }
  return nullptr;
}

bool QueryRun::onReply(std::uint64_t LinkId, BrokerReply Reply, TimePoint Now,
                       QueryActions &Out) {
  GroupRun *Run = this->findCall(LinkId, Reply.Id, Reply.Group);
  if (!Run || Reply.Snapshot != this->Plan.Snapshot ||
      !isDistinctSubset(Run->RemainingShards, Reply.Answered))
    return false;
  const auto Index = static_cast<std::size_t>(Run - this->Groups.data());
  this->LeafCalls += Reply.LeafCalls;
  Run->LastStatus = Reply.Status;
  Run->Outcome = combine(Run->Outcome, Reply.Outcome);
  if (this->Spec.Idempotent)
    this->handleQueryReply(Index, Reply, Now, Out);
  else
    this->handleSingleReply(Index, Reply, Now, Out);
  this->finishIfDone(Now, Out);
  return true;
}

void QueryRun::handleQueryReply(std::size_t Index, BrokerReply &Reply,
                                TimePoint Now, QueryActions &Out) {
  GroupRun &Run = this->Groups[Index];
  if (canAskAnotherBroker(Reply.Status)) {
    if (this->PastDeadline)
      this->markDone(Index);
    else if (!this->callNextBroker(Index, Reply.OwnerHint, Out))
      this->scheduleOwnerRetry(Index, Now);
    return;
  }
  // Only shards that were asked count towards coverage, each once.
  std::erase_if(Run.RemainingShards, [&](std::uint32_t Shard) {
    return contains(Reply.Answered, Shard);
  });
  if (!Reply.Answered.empty())
    Run.Rows.push_back(std::move(Reply.Rows));
  this->markDone(Index);
  if (!Run.RemainingShards.empty())
    this->scheduleRetry(Index, Now);
}

void QueryRun::scheduleRetry(std::size_t Index, TimePoint Now) {
  GroupRun &Run = this->Groups[Index];
  if (this->Spec.Preference != AnswerPreference::Coverage ||
      this->PastDeadline || Run.LastStatus == BrokerStatus::SnapshotGone ||
      Run.Retries >= this->Times.CoverageRetries)
    return;
  if (this->scheduleAt(Index, Now + this->Times.RetryDelay))
    ++Run.Retries;
}

bool QueryRun::scheduleAt(std::size_t Index, TimePoint At) {
  if (At + this->Times.MergeMargin >= this->Spec.Deadline)
    return false;
  this->Groups[Index].RetryAt = At;
  this->Groups[Index].State = CallState::RetryScheduled;
  return true;
}

bool QueryRun::scheduleOwnerRetry(std::size_t Index, TimePoint Now) {
  if (!this->Policy.UseStandBys ||
      !this->scheduleAt(Index, Now + this->Times.OwnerRetryDelay))
    return false;
  this->Groups[Index].TriedBrokers.clear();
  return true;
}

void QueryRun::retryGroup(std::size_t Index, QueryActions &Out) {
  GroupRun &Run = this->Groups[Index];
  GroupPlan &Planned = this->Plan.Groups[Index];
  if (!Run.TriedBrokers.empty()) {
    this->callBroker(Index, Run.To, Out);
    return;
  }
  if (this->Lookups.Candidates)
    Planned.Candidates = this->Lookups.Candidates(Planned.Group);
  this->callNextBroker(Index, {}, Out);
}

void QueryRun::handleSingleReply(std::size_t Index, BrokerReply &Reply,
                                 TimePoint Now, QueryActions &Out) {
  GroupRun &Run = this->Groups[Index];
  this->markDone(Index);
  if (Reply.Status == BrokerStatus::Ok) {
    Answer Result = this->outcome().baseAnswer();
    Result.Outcome = Verdict::Ran;
    Result.Result = Reply.Body.empty() ? "{}" : std::move(Reply.Body);
    this->finish(std::move(Result), Out);
    return;
  }
  const bool Repeatable = isSafeToRetry(Run.Outcome) && !this->PastDeadline &&
                          canAskAnotherBroker(Reply.Status);
  if (Repeatable && (this->callNextBroker(Index, Reply.OwnerHint, Out) ||
                     this->scheduleOwnerRetry(Index, Now)))
    return;
  // Reported as overload only if nothing has run.
  const BrokerStatus Status =
      Reply.Status == BrokerStatus::Overloaded && !isSafeToRetry(Run.Outcome)
          ? BrokerStatus::Failed
          : Reply.Status;
  SingleShardFailure Why = failureForStatus(Status);
  this->finishWithError(Why.Error, std::move(Why.Reason), Out);
}

bool QueryRun::onCancelReply(std::uint64_t LinkId, const CancelReply &Reply,
                             TimePoint Now, QueryActions &Out) {
  GroupRun *Run = this->findCall(LinkId, Reply.Id, Reply.Group);
  if (!Run || !Run->CancelSent)
    return false;
  const auto Index = static_cast<std::size_t>(Run - this->Groups.data());
  Run->Outcome = combine(Run->Outcome, Reply.Outcome);
  this->markDone(Index);
  this->finishIfDone(Now, Out);
  return true;
}

void QueryRun::onLinkDown(std::uint64_t LinkId, TimePoint Now,
                          QueryActions &Out) {
  if (this->Done)
    return;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (Run.State != CallState::Sent || Run.LinkId != LinkId)
      continue;
    Run.Outcome = combine(Run.Outcome, Verdict::MayHaveRun);
    if (this->Spec.Idempotent && !this->PastDeadline)
      this->callNextBroker(Index, {}, Out);
    else
      this->markDone(Index);
  }
  this->finishIfDone(Now, Out);
}

void QueryRun::onCallerGone(QueryActions &Out) {
  if (this->Done)
    return;
  this->PastDeadline = true;
  this->cancelOpenCalls(Out);
  Answer Result =
      refusalAnswer(EntryError::CallerGone, "the caller closed the connection");
  Result.Outcome = this->outcome().verdict();
  this->finish(std::move(Result), Out);
}

void QueryRun::cancelOpenCalls(QueryActions &Out) {
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (Run.State == CallState::Sent && !Run.CancelSent) {
      Run.CancelSent = true;
      const CancelCall Call{this->Id, this->Plan.Groups[Index].Group};
      Out.emplace_back(SendCancel{Run.LinkId, Call});
    }
    if (Run.State == CallState::RetryScheduled ||
        Run.State == CallState::Connecting)
      this->markDone(Index);
  }
}

TimePoint QueryRun::answerDue() const {
  return this->Spec.Idempotent ? this->Spec.Deadline
                               : this->Spec.Deadline + this->Times.CancelGrace;
}

void QueryRun::abandonUnanswered() {
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (Run.State == CallState::Sent) {
      Run.Outcome = combine(Run.Outcome, Verdict::MayHaveRun);
      this->Unanswered.push_back({Run.To.Name, Run.SentAt, this->answerDue()});
    }
    this->markDone(Index);
  }
}

void QueryRun::tick(TimePoint Now, QueryActions &Out) {
  if (this->Done)
    return;
  if (Now >= this->Spec.Deadline) {
    if (!this->PastDeadline) {
      this->PastDeadline = true;
      this->cancelOpenCalls(Out);
    }
    if (Now >= this->answerDue())
      this->abandonUnanswered();
    this->finishIfDone(Now, Out);
    return;
  }
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Run = this->Groups[Index];
    if (Run.State != CallState::RetryScheduled || Now < Run.RetryAt)
      continue;
    this->retryGroup(Index, Out);
    if (Run.State == CallState::Done)
      this->scheduleOwnerRetry(Index, Now);
  }
  this->finishIfDone(Now, Out);
}

TimePoint QueryRun::nextWake() const {
  if (this->PastDeadline)
    return this->Spec.Deadline + this->Times.CancelGrace;
  TimePoint Next = this->Spec.Deadline;
  for (const GroupRun &Run : this->Groups)
    if (Run.State == CallState::RetryScheduled)
      Next = std::min(Next, Run.RetryAt);
  return Next;
}

bool QueryRun::restart(TimePoint Now, QueryActions &Out) {
  if (!this->Spec.Idempotent || this->PastDeadline ||
      !this->Policy.RestartOnNewer || !this->outcome().shouldRestart())
    return false;
  if (Now + this->Times.MinRestartTime > this->Spec.Deadline)
    return false;
  std::optional<QueryPlan> Next =
      this->Lookups.NewerPlan ? this->Lookups.NewerPlan(this->Plan.Snapshot)
                              : std::nullopt;
  if (!Next)
    return false;
  this->cancelOpenCalls(Out);
  this->EarlierOutcome = this->outcome().verdict();
  this->Plan = std::move(*Next);
  this->startRound(Now, Out);
  return true;
}

void QueryRun::finishIfDone(TimePoint Now, QueryActions &Out) {
  if (this->Done || this->restart(Now, Out))
    return;
  for (const GroupRun &Run : this->Groups)
    if (Run.State != CallState::Done)
      return;
  if (this->Spec.Idempotent) {
    this->finishQuery(Out);
    return;
  }
  const Verdict Outcome = this->outcome().verdict();
  if (this->PastDeadline)
    this->finishWithError(EntryError::DeadlinePassed, "the deadline passed",
                          Out);
  else if (Outcome == Verdict::NotRun)
    this->finishWithError(EntryError::NoBroker, "no broker was reachable", Out);
  else
    this->finishWithError(EntryError::UpstreamFailed,
                          "the connection to the broker was lost", Out);
}

QueryOutcome QueryRun::outcome() {
  return {this->Spec,
          this->Plan,
          this->Groups,
          {this->EarlierOutcome, this->LeafCalls, this->PastDeadline}};
}

void QueryRun::finishQuery(QueryActions &Out) {
  this->finish(this->outcome().takeAnswer(), Out);
}

void QueryRun::finishWithError(EntryError Error, std::string Reason,
                               QueryActions &Out) {
  Answer Result = this->outcome().baseAnswer();
  Result.Error = Error;
  Result.Reason = std::move(Reason);
  this->finish(std::move(Result), Out);
}

void QueryRun::finish(Answer Result, QueryActions &Out) {
  this->Done = true;
  Out.emplace_back(Finish{std::move(Result)});
}

} // namespace citronlever
