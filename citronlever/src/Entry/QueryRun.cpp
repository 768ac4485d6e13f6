#include "citronlever/src/Entry/QueryRun.h"

#include <algorithm>

namespace citronlever {

namespace {

template <class T, class U>
bool contains(const std::vector<T> &Values, const U &Value) {
  return std::find(Values.begin(), Values.end(), Value) != Values.end();
}

/// \returns whether \p Answered names only shards of \p Asked, each once. A
/// doubled reply to an earlier call of the same group does not.
bool answersOnly(const std::vector<std::uint32_t> &Asked,
                 std::vector<std::uint32_t> Answered) {
  std::sort(Answered.begin(), Answered.end());
  if (std::adjacent_find(Answered.begin(), Answered.end()) != Answered.end())
    return false;
  return std::all_of(
      Answered.begin(), Answered.end(),
      [&](std::uint32_t Shard) { return contains(Asked, Shard); });
}

/// \returns whether the broker says that it refused the call as a whole and
/// another one may be asked.
bool askElsewhere(BrokerStatus Status) {
  return Status == BrokerStatus::NotOwner || Status == BrokerStatus::Unknown;
}

} // namespace

QueryRun::QueryRun(QuerySpec Spec, QueryPlan Plan, RequestIdSource &Ids,
                   QueryLookups Lookups, QueryTimes Times, QueryPolicy Policy)
    : Spec(std::move(Spec)), Plan(std::move(Plan)), Ids(Ids),
      Lookups(std::move(Lookups)), Times(Times), Policy(Policy) {}

void QueryRun::start(TimePoint Now, QueryActions &Out) {
  this->begin(Now, Out);
  this->finishIfDone(Now, Out);
}

void QueryRun::begin(TimePoint Now, QueryActions &Out) {
  // A round has its own id: brokers tell calls apart by id and group.
  this->Id = this->Ids.next();
  this->Groups.assign(this->Plan.Groups.size(), GroupRun());
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    this->Groups[Index].Left = this->Plan.Groups[Index].Shards;
    if (!this->askNext(Index, {}, Out))
      this->awaitOwner(Index, Now);
  }
}

std::optional<BrokerTarget> QueryRun::nextTarget(std::size_t Index,
                                                 std::string_view Hint) const {
  const std::vector<std::string> &Tried = this->Groups[Index].Tried;
  if (Tried.size() >= this->Times.MaxBrokers)
    return std::nullopt;
  if (!Hint.empty() && !contains(Tried, Hint) && this->Lookups.Broker)
    if (std::optional<BrokerTarget> Named = this->Lookups.Broker(Hint))
      return Named;
  for (const BrokerTarget &Each : this->Plan.Groups[Index].Candidates)
    if (!contains(Tried, Each.Name))
      return Each;
  return std::nullopt;
}

bool QueryRun::askNext(std::size_t Index, std::string_view Hint,
                       QueryActions &Out) {
  GroupRun &Part = this->Groups[Index];
  std::optional<BrokerTarget> Next = this->nextTarget(Index, Hint);
  const bool First = Part.Tried.empty();
  if (!Next || (!First && !this->Policy.UseStandBys)) {
    this->settle(Index);
    return false;
  }
  this->ask(Index, *Next, Out);
  return true;
}

void QueryRun::ask(std::size_t Index, const BrokerTarget &To,
                   QueryActions &Out) {
  GroupRun &Part = this->Groups[Index];
  if (!contains(Part.Tried, To.Name))
    Part.Tried.push_back(To.Name);
  Part.State = CallState::Connecting;
  Part.Link = 0;
  Part.To = To;
  ++Part.Attempt;
  Out.emplace_back(SendCall{this->Plan.Groups[Index].Group, Part.Attempt, To});
}

void QueryRun::settle(std::size_t Index) {
  this->Groups[Index].State = CallState::Done;
}

BrokerCall QueryRun::messageFor(const GroupRun &Part, TimePoint Now) const {
  BrokerCall Message;
  Message.Id = this->Id;
  Message.Service = this->Spec.Service;
  Message.Route = this->Spec.Route;
  Message.Snapshot = this->Plan.Snapshot;
  Message.Version = this->Plan.Version;
  Message.Shards = Part.Left;
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
  Message.AsStandBy = Part.To.StandBy;
  Message.RequestKey = this->Spec.RequestKey;
  Message.Body = this->Spec.Body;
  return Message;
}

std::optional<BrokerCall> QueryRun::claim(const SendCall &Call,
                                          std::uint64_t Link, TimePoint Now) {
  if (this->Done || this->PastDeadline || Now >= this->Spec.Deadline)
    return std::nullopt;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (this->Plan.Groups[Index].Group != Call.Group)
      continue;
    if (Part.Attempt != Call.Attempt || Part.State != CallState::Connecting ||
        Part.To != Call.To)
      return std::nullopt;
    Part.State = CallState::Sent;
    Part.Link = Link;
    Part.SentAt = Now;
    BrokerCall Message = this->messageFor(Part, Now);
    Message.Group = Call.Group;
    return Message;
  }
  return std::nullopt;
}

void QueryRun::notSent(const SendCall &Call, TimePoint Now, QueryActions &Out) {
  if (this->Done)
    return;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (this->Plan.Groups[Index].Group != Call.Group ||
        Part.Attempt != Call.Attempt || Part.To != Call.To ||
        Part.State == CallState::Done)
      continue;
    if (this->PastDeadline)
      this->settle(Index);
    else
      this->askNext(Index, {}, Out);
  }
  this->finishIfDone(Now, Out);
}

GroupRun *QueryRun::matching(std::uint64_t Link, const RequestId &ReplyId,
                             std::uint32_t Group) {
  if (this->Done || ReplyId != this->Id)
    return nullptr;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (this->Plan.Groups[Index].Group == Group)
      return Part.State == CallState::Sent && Part.Link == Link ? &Part
                                                                : nullptr;
  }
  return nullptr;
}

bool QueryRun::reply(std::uint64_t Link, BrokerReply Reply, TimePoint Now,
                     QueryActions &Out) {
  GroupRun *Part = this->matching(Link, Reply.Id, Reply.Group);
  if (!Part || Reply.Snapshot != this->Plan.Snapshot ||
      !answersOnly(Part->Left, Reply.Answered))
    return false;
  const auto Index = static_cast<std::size_t>(Part - this->Groups.data());
  this->LeafCalls += Reply.LeafCalls;
  Part->LastStatus = Reply.Status;
  Part->Outcome = combine(Part->Outcome, Reply.Outcome);
  if (this->Spec.Idempotent)
    this->replyToQuery(Index, Reply, Now, Out);
  else
    this->replyToSingle(Index, Reply, Now, Out);
  this->finishIfDone(Now, Out);
  return true;
}

void QueryRun::replyToQuery(std::size_t Index, BrokerReply &Reply,
                            TimePoint Now, QueryActions &Out) {
  GroupRun &Part = this->Groups[Index];
  if (askElsewhere(Reply.Status)) {
    if (this->PastDeadline)
      this->settle(Index);
    else if (!this->askNext(Index, Reply.OwnerHint, Out))
      this->awaitOwner(Index, Now);
    return;
  }
  // Coverage counts only shards that were asked, each once.
  std::erase_if(Part.Left, [&](std::uint32_t Shard) {
    return contains(Reply.Answered, Shard);
  });
  if (!Reply.Answered.empty())
    Part.Rows.push_back(std::move(Reply.Rows));
  this->settle(Index);
  if (!Part.Left.empty())
    this->retryLater(Index, Now);
}

void QueryRun::retryLater(std::size_t Index, TimePoint Now) {
  GroupRun &Part = this->Groups[Index];
  if (this->Spec.First != AnswerPreference::Coverage || this->PastDeadline ||
      Part.LastStatus == BrokerStatus::SnapshotGone ||
      Part.Retries >= this->Times.CoverageRetries)
    return;
  if (this->pauseUntil(Index, Now + this->Times.RetryPause))
    ++Part.Retries;
}

bool QueryRun::pauseUntil(std::size_t Index, TimePoint At) {
  if (At + this->Times.MergeMargin >= this->Spec.Deadline)
    return false;
  this->Groups[Index].RetryAt = At;
  this->Groups[Index].State = CallState::Pausing;
  return true;
}

bool QueryRun::awaitOwner(std::size_t Index, TimePoint Now) {
  if (!this->Policy.UseStandBys ||
      !this->pauseUntil(Index, Now + this->Times.OwnerPause))
    return false;
  this->Groups[Index].Tried.clear();
  return true;
}

void QueryRun::askAgain(std::size_t Index, QueryActions &Out) {
  GroupRun &Part = this->Groups[Index];
  GroupPlan &Planned = this->Plan.Groups[Index];
  if (!Part.Tried.empty()) {
    this->ask(Index, Part.To, Out);
    return;
  }
  if (this->Lookups.Candidates)
    Planned.Candidates = this->Lookups.Candidates(Planned.Group);
  this->askNext(Index, {}, Out);
}

void QueryRun::replyToSingle(std::size_t Index, BrokerReply &Reply,
                             TimePoint Now, QueryActions &Out) {
  GroupRun &Part = this->Groups[Index];
  this->settle(Index);
  if (Reply.Status == BrokerStatus::Ok) {
    Answer Result = this->outcome().base();
    Result.Outcome = Verdict::Ran;
    Result.Result = Reply.Body.empty() ? "{}" : std::move(Reply.Body);
    this->finish(std::move(Result), Out);
    return;
  }
  const bool Repeatable = isSafeToRetry(Part.Outcome) && !this->PastDeadline &&
                          askElsewhere(Reply.Status);
  if (Repeatable && (this->askNext(Index, Reply.OwnerHint, Out) ||
                     this->awaitOwner(Index, Now)))
    return;
  // A refusal for load is one only if nothing has run.
  const BrokerStatus Status =
      Reply.Status == BrokerStatus::Overloaded && !isSafeToRetry(Part.Outcome)
          ? BrokerStatus::Failed
          : Reply.Status;
  SingleFailure Why = failureFor(Status);
  this->finishSingle(Why.Error, std::move(Why.Reason), Out);
}

bool QueryRun::cancelled(std::uint64_t Link, const CancelReply &Reply,
                         TimePoint Now, QueryActions &Out) {
  GroupRun *Part = this->matching(Link, Reply.Id, Reply.Group);
  if (!Part || !Part->Cancelling)
    return false;
  const auto Index = static_cast<std::size_t>(Part - this->Groups.data());
  Part->Outcome = combine(Part->Outcome, Reply.Outcome);
  this->settle(Index);
  this->finishIfDone(Now, Out);
  return true;
}

void QueryRun::linkDown(std::uint64_t Link, TimePoint Now, QueryActions &Out) {
  if (this->Done)
    return;
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (Part.State != CallState::Sent || Part.Link != Link)
      continue;
    Part.Outcome = combine(Part.Outcome, Verdict::MayHaveRun);
    if (this->Spec.Idempotent && !this->PastDeadline)
      this->askNext(Index, {}, Out);
    else
      this->settle(Index);
  }
  this->finishIfDone(Now, Out);
}

void QueryRun::callerGone(QueryActions &Out) {
  if (this->Done)
    return;
  this->PastDeadline = true;
  this->cancelOutstanding(Out);
  Answer Result = refuse(EntryError::CallerGone, "the caller went away");
  Result.Outcome = this->outcome().verdict();
  this->finish(std::move(Result), Out);
}

void QueryRun::cancelOutstanding(QueryActions &Out) {
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (Part.State == CallState::Sent && !Part.Cancelling) {
      Part.Cancelling = true;
      const CancelCall Call{this->Id, this->Plan.Groups[Index].Group};
      Out.emplace_back(SendCancel{Part.Link, Call});
    }
    if (Part.State == CallState::Pausing || Part.State == CallState::Connecting)
      this->settle(Index);
  }
}

TimePoint QueryRun::due() const {
  return this->Spec.Idempotent ? this->Spec.Deadline
                               : this->Spec.Deadline + this->Times.CancelGrace;
}

void QueryRun::giveUpWaiting() {
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (Part.State == CallState::Sent) {
      Part.Outcome = combine(Part.Outcome, Verdict::MayHaveRun);
      this->Unanswered.push_back({Part.To.Name, Part.SentAt, this->due()});
    }
    this->settle(Index);
  }
}

void QueryRun::tick(TimePoint Now, QueryActions &Out) {
  if (this->Done)
    return;
  if (Now >= this->Spec.Deadline) {
    if (!this->PastDeadline) {
      this->PastDeadline = true;
      this->cancelOutstanding(Out);
    }
    if (Now >= this->due())
      this->giveUpWaiting();
    this->finishIfDone(Now, Out);
    return;
  }
  for (std::size_t Index = 0; Index < this->Groups.size(); ++Index) {
    GroupRun &Part = this->Groups[Index];
    if (Part.State != CallState::Pausing || Now < Part.RetryAt)
      continue;
    this->askAgain(Index, Out);
    if (Part.State == CallState::Done)
      this->awaitOwner(Index, Now);
  }
  this->finishIfDone(Now, Out);
}

TimePoint QueryRun::nextWake() const {
  if (this->PastDeadline)
    return this->Spec.Deadline + this->Times.CancelGrace;
  TimePoint Next = this->Spec.Deadline;
  for (const GroupRun &Part : this->Groups)
    if (Part.State == CallState::Pausing)
      Next = std::min(Next, Part.RetryAt);
  return Next;
}

bool QueryRun::restart(TimePoint Now, QueryActions &Out) {
  if (!this->Spec.Idempotent || this->PastDeadline ||
      !this->Policy.RestartOnNewer || !this->outcome().restartWanted())
    return false;
  if (Now + this->Times.RestartMin > this->Spec.Deadline)
    return false;
  std::optional<QueryPlan> Next = this->Lookups.Newer
                                      ? this->Lookups.Newer(this->Plan.Snapshot)
                                      : std::nullopt;
  if (!Next)
    return false;
  this->cancelOutstanding(Out);
  this->Before = this->outcome().verdict();
  this->Plan = std::move(*Next);
  this->begin(Now, Out);
  return true;
}

void QueryRun::finishIfDone(TimePoint Now, QueryActions &Out) {
  if (this->Done || this->restart(Now, Out))
    return;
  for (const GroupRun &Part : this->Groups)
    if (Part.State != CallState::Done)
      return;
  if (this->Spec.Idempotent) {
    this->finishQuery(Out);
    return;
  }
  const Verdict Outcome = this->outcome().verdict();
  if (this->PastDeadline)
    this->finishSingle(EntryError::DeadlinePassed, "the deadline passed", Out);
  else if (Outcome == Verdict::NotRun)
    this->finishSingle(EntryError::NoBroker, "no broker could be reached", Out);
  else
    this->finishSingle(EntryError::UpstreamFailed,
                       "the connection to the owner was lost", Out);
}

QueryOutcome QueryRun::outcome() {
  return {this->Spec,
          this->Plan,
          this->Groups,
          {this->Before, this->LeafCalls, this->PastDeadline}};
}

void QueryRun::finishQuery(QueryActions &Out) {
  this->finish(this->outcome().takeAnswer(), Out);
}

void QueryRun::finishSingle(EntryError Error, std::string Reason,
                            QueryActions &Out) {
  Answer Result = this->outcome().base();
  Result.Error = Error;
  Result.Reason = std::move(Reason);
  this->finish(std::move(Result), Out);
}

void QueryRun::finish(Answer Result, QueryActions &Out) {
  this->Done = true;
  Out.emplace_back(Finish{std::move(Result)});
}

} // namespace citronlever
