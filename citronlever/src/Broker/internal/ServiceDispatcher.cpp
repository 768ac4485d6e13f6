#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include "citronlever/src/Broker/internal/RowReader.h"
#include "citronlever/src/Core/Event.h"

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

/// \returns the connections that one owner may open to a leaf: at most half of
/// the leaf's limit, so that an old and a new owner together stay within it.
int connectionLimit(const LeafLimits &Limits) {
  return std::max(1, Limits.Connections / 2);
}

BrokerStatus statusOf(JobOutcome End) {
  switch (End) {
  case JobOutcome::Answered:
    return BrokerStatus::Ok;
  case JobOutcome::Shed:
    return BrokerStatus::Overloaded;
  case JobOutcome::TimedOut:
  case JobOutcome::Cancelled:
    return BrokerStatus::TimedOut;
  case JobOutcome::NotHeld:
    return BrokerStatus::SnapshotGone;
  case JobOutcome::Failed:
  case JobOutcome::NoReplica:
    return BrokerStatus::Failed;
  }
  return BrokerStatus::Failed;
}

/// \returns the share of hedged requests that a call allows; an invalid share
/// allows none.
double hedgeShare(const BrokerCall &Call) {
  const bool Valid = Call.HedgeBudget >= 0 && Call.HedgeBudget <= 1;
  return Valid ? Call.HedgeBudget : 0;
}

} // namespace

ServiceDispatcher::ServiceDispatcher(boost::asio::io_context &Context,
                                     std::shared_ptr<LeafSender> Sender,
                                     const BrokerSettings &Settings)
    : Sender(std::move(Sender)), Settings(Settings), Timer(Context),
      Scheduler(Settings.Scheduler) {}

void ServiceDispatcher::apply(
    const ConfigViewPtr &NewConfig,
    std::shared_ptr<const Service> NewServiceConfig,
    const std::set<std::string, std::less<>> &LeavingVms) {
  const TimePoint Now = Clock::now();
  const std::lock_guard Lock(this->Mutex);
  this->Config = NewConfig;
  const bool Changed = this->ServiceConfig != NewServiceConfig;
  this->ServiceConfig = std::move(NewServiceConfig);
  this->Scheduler.setExtraRequestShare(this->ServiceConfig->HedgeBudget);
  this->LeavingVms = LeavingVms;
  if (Changed)
    this->LeafIndices.assign(this->ServiceConfig->Leaves.size(),
                             LeafTable::None);
  for (std::uint32_t Number = 0; Number < this->LeafIndices.size(); ++Number) {
    const Leaf &LeafInfo = this->ServiceConfig->Leaves[Number];
    if (this->Scheduler.leaves().find(LeafInfo.Id) == LeafTable::None)
      continue;
    const LeafIndex Index = this->ensureLeaf(Number, Now);
    this->Scheduler.leaves().setInService(Index, this->isInService(LeafInfo),
                                          Now);
  }
}

bool ServiceDispatcher::isInService(const Leaf &LeafInfo) const {
  return this->Config->isInService(LeafInfo) &&
         !this->LeavingVms.contains(LeafInfo.Vm);
}

/// \returns the scheduler's index of a leaf. A leaf is added to the scheduler
/// when its group is first served here, so that a broker keeps state only for
/// the leaves that it serves.
LeafIndex ServiceDispatcher::ensureLeaf(std::uint32_t Number, TimePoint Now) {
  LeafIndex &Index = this->LeafIndices[Number];
  if (Index != LeafTable::None)
    return Index;
  const Leaf &LeafInfo = this->ServiceConfig->Leaves[Number];
  Index =
      this->Scheduler.leaves().add(LeafInfo, this->ServiceConfig->Limits, Now);
  this->Scheduler.leaves().setInService(Index, this->isInService(LeafInfo),
                                        Now);
  this->Sender->Client.setConnectionLimits(
      LeafInfo.Address, connectionLimit(this->ServiceConfig->Limits),
      this->ServiceConfig->Limits.ConnectCost);
  return Index;
}

std::vector<LeafIndex>
ServiceDispatcher::eligibleReplicas(const BrokerCall &Call,
                                    const Snapshot &SnapshotInfo,
                                    std::uint32_t Shard, TimePoint Now) {
  std::vector<LeafIndex> Result;
  std::vector<LeafIndex> Skipped;
  for (const std::uint32_t Leaf : SnapshotInfo.Shards[Shard]) {
    const auto &LeafInfo = this->ServiceConfig->Leaves[Leaf];
    if (!Call.Version.empty() && LeafInfo.Version != Call.Version)
      continue;
    auto &Into = this->skipReturningLeaf(LeafInfo) ? Skipped : Result;
    Into.push_back(this->ensureLeaf(Leaf, Now));
  }
  const auto ServesNow = [this](LeafIndex Index) {
    return this->Scheduler.leaf(Index).acceptsWork();
  };
  // Without another usable replica the returning ones are used after all.
  if (std::ranges::none_of(Result, ServesNow))
    Result.insert(Result.end(), Skipped.begin(), Skipped.end());
  return Result;
}

void ServiceDispatcher::start(BrokerCall Call, TimePoint ReceivedAt,
                              ReplyCallback Reply) {
  DeferredActions Deferred;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    const std::uint64_t CallNumber = ++this->LastCallNumber;
    PendingCall &Pending = this->PendingCalls[CallNumber];
    Pending.Reply = std::move(Reply);
    const Duration TimeLeft = Milliseconds(Call.TimeLeftMs);
    // The call waited in the event loop before it was read, and the replies of
    // the leaves will wait as well.
    const Duration LoopDelayMean = this->Sender->Delay.mean();
    Pending.Deadline = ReceivedAt + TimeLeft - LoopDelayMean -
                       std::min(this->Settings.ReplyMargin, TimeLeft / 10);
    this->Scheduler.setReplyReadDelay(LoopDelayMean);
    Pending.Body = std::make_shared<const std::string>(std::move(Call.Body));
    Pending.Result.Id = Call.Id;
    Pending.Result.Group = Call.Group;
    Pending.Result.Snapshot = Call.Snapshot;
    Pending.Call = std::move(Call);
    const Snapshot *SnapshotInfo =
        this->ServiceConfig->findSnapshot(Pending.Call.Snapshot);
    const auto IsKnownShard = [SnapshotInfo](std::uint32_t Shard) {
      return Shard < SnapshotInfo->Shards.size();
    };
    if (!SnapshotInfo || Pending.Call.Shards.empty() ||
        !std::ranges::all_of(Pending.Call.Shards, IsKnownShard)) {
      Pending.Result.Status =
          SnapshotInfo ? BrokerStatus::Unknown : BrokerStatus::SnapshotGone;
      Pending.Result.Missing = Pending.Call.Shards;
      Deferred.Replies.emplace_back(std::move(Pending.Reply),
                                    std::move(Pending.Result));
      this->PendingCalls.erase(CallNumber);
    } else {
      Pending.OpenJobs = Pending.Call.Shards.size();
      const auto RouteNumber = this->RouteNumbers.try_emplace(
          Pending.Call.Route,
          static_cast<std::uint32_t>(this->RouteNumbers.size()));
      const std::vector<std::uint32_t> Shards = Pending.Call.Shards;
      if (!Pending.Call.Customer.empty())
        this->Scheduler.setCustomerHedgeShare(Pending.Call.Customer,
                                              hedgeShare(Pending.Call));
      for (const std::uint32_t Shard : Shards) {
        ShardJob Job;
        Job.Id = ++this->LastJobId;
        Job.Route = RouteNumber.first->second;
        Job.Replicas =
            this->eligibleReplicas(Pending.Call, *SnapshotInfo, Shard, Now);
        Job.Idempotent = Pending.Call.Idempotent;
        Job.Priority = Pending.Call.Priority;
        Job.Customer = Pending.Call.Customer;
        Job.Deadline = Pending.Deadline;
        this->Jobs[Job.Id] = {CallNumber, Shard};
        ActionList Actions;
        this->Scheduler.submit(std::move(Job), Now, Actions);
        this->collectActions(Actions, Now, 0, nullptr, nullptr, Deferred);
      }
    }
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
}

void ServiceDispatcher::collectSend(const SendAction &Action, TimePoint Now,
                                    DeferredActions &Deferred) {
  const JobInfo &Job = this->Jobs.at(Action.Job);
  const PendingCall &Pending = this->PendingCalls.at(Job.CallNumber);
  const Leaf &To = this->Scheduler.leaf(Action.Leaf).Info;
  LeafCall Call;
  Call.Address = To.Address;
  Call.Target = "/leaf/" + Pending.Call.Route;
  Call.Id = this->Sender->Ids.next();
  Call.Body = Pending.Body;
  Call.TimeLeft = Pending.Deadline - Now;
  Call.NewConnection = Action.NewConnection;
  Call.Idempotent = Pending.Call.Idempotent;
  if (Pending.Call.Idempotent) {
    Call.Snapshot = Pending.Call.Snapshot;
    Call.Shard = Job.Shard;
  } else {
    Call.RequestKey = Pending.Call.RequestKey;
  }
  this->Attempts[Action.Attempt] = {To.Address,         Call.Id,    Action.Leaf,
                                    Pending.Call.Route, To.Version, Now};
  Deferred.Sends.emplace_back(Action.Attempt, std::move(Call));
}

void ServiceDispatcher::collectFinish(const FinishAction &Action,
                                      AttemptId AnsweringAttempt,
                                      std::vector<Row> *Rows, std::string *Body,
                                      DeferredActions &Deferred) {
  const JobInfo Job = this->Jobs.at(Action.Job);
  this->Jobs.erase(Action.Job);
  PendingCall &Pending = this->PendingCalls.at(Job.CallNumber);
  BrokerReply &Result = Pending.Result;
  Result.LeafCalls += Action.Attempts;
  Result.Shed += Action.Outcome == JobOutcome::Shed ? 1 : 0;
  Result.Outcome = combine(Result.Outcome, Action.RunVerdict);
  if (Action.Outcome == JobOutcome::Answered &&
      Action.Winner == AnsweringAttempt) {
    Result.Answered.push_back(Job.Shard);
    if (Rows)
      Pending.RowLists.push_back(std::move(*Rows));
    if (Body)
      Result.Body = std::move(*Body);
  } else {
    Result.Missing.push_back(Job.Shard);
    // A missing snapshot takes precedence over other reasons, since the entry
    // has to know about it first.
    if (Pending.FailureEnd != JobOutcome::NotHeld)
      Pending.FailureEnd = Action.Outcome;
  }
  --Pending.OpenJobs;
  if (Pending.OpenJobs == 0)
    this->completeCall(Job.CallNumber, Deferred);
}

void ServiceDispatcher::completeCall(std::uint64_t CallNumber,
                                     DeferredActions &Deferred) {
  const auto Found = this->PendingCalls.find(CallNumber);
  PendingCall &Pending = Found->second;
  BrokerReply &Result = Pending.Result;
  std::ranges::sort(Result.Answered);
  std::ranges::sort(Result.Missing);
  Result.Rows = mergeRows(std::move(Pending.RowLists), Pending.Call.Limit);
  const bool HasAnswers = !Result.Answered.empty();
  Result.Status = statusOf(Pending.FailureEnd);
  if (HasAnswers && !Result.Missing.empty() &&
      Result.Status != BrokerStatus::SnapshotGone)
    Result.Status = BrokerStatus::Partial;
  if (!Pending.NewOwner.empty()) {
    Result.Status = BrokerStatus::NotOwner;
    Result.OwnerHint = std::move(Pending.NewOwner);
    Result.Shed = 0;
  }
  Deferred.Replies.emplace_back(std::move(Pending.Reply), std::move(Result));
  this->PendingCalls.erase(Found);
}

void ServiceDispatcher::collectActions(ActionList &Actions, TimePoint Now,
                                       AttemptId AnsweringAttempt,
                                       std::vector<Row> *Rows,
                                       std::string *Body,
                                       DeferredActions &Deferred) {
  for (const SendAction &Send : Actions.Sends)
    this->collectSend(Send, Now, Deferred);
  for (const CancelAction &Cancel : Actions.Cancels)
    Deferred.Cancels.push_back(this->Attempts.at(Cancel.Attempt));
  for (const AbandonAction &Abandon : Actions.Abandons)
    Deferred.Abandons.emplace_back(this->Attempts.at(Abandon.Attempt),
                                   Abandon.CloseIdle);
  for (const FinishAction &Finish : Actions.Finishes)
    this->collectFinish(Finish, AnsweringAttempt, Rows, Body, Deferred);
}

void ServiceDispatcher::performDeferred(DeferredActions &&Deferred) {
  for (auto &[Attempt, Call] : Deferred.Sends) {
    this->Sender->Client.send(
        std::move(Call),
        [Self = this->shared_from_this(), Attempt = Attempt](LeafReply Reply) {
          Self->onReply(Attempt, std::move(Reply));
        });
  }
  for (const AttemptInfo &Attempt : Deferred.Cancels)
    this->Sender->Client.cancel(Attempt.Address, Attempt.Id);
  for (const auto &[Attempt, DropIdle] : Deferred.Abandons) {
    this->Sender->Client.abandon(Attempt.Address, Attempt.Id);
    if (DropIdle)
      this->Sender->Client.closeIdle(Attempt.Address);
  }
  if (!Deferred.PhaseChangeText.empty())
    logEvent(event::LeafPhaseChanged, Deferred.PhaseChangeText);
  for (auto &[Reply, Result] : Deferred.Replies)
    Reply(std::move(Result));
}

void ServiceDispatcher::onReply(AttemptId Attempt, LeafReply Reply) {
  std::string Snapshot;
  bool Idempotent = true;
  {
    const std::lock_guard Lock(this->Mutex);
    const JobId Job = this->Scheduler.jobOf(Attempt);
    const auto Found = this->Jobs.find(Job);
    if (Found != this->Jobs.end()) {
      const PendingCall &Pending =
          this->PendingCalls.at(Found->second.CallNumber);
      Snapshot = Pending.Call.Snapshot;
      Idempotent = Pending.Call.Idempotent;
    }
  }
  std::vector<Row> Rows;
  if (Reply.Outcome == LeafOutcome::Ok && Idempotent && !Snapshot.empty()) {
    auto Read = readRows(Reply.Body, Snapshot);
    if (Read)
      Rows = std::move(*Read);
    if (!Read) {
      // An invalid answer is a failure of the leaf, not of the connection.
      Reply.Outcome = LeafOutcome::Failed;
      Reply.Pooled = false;
    }
  }
  DeferredActions Deferred;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    const AttemptInfo &Info = this->Attempts.at(Attempt);
    const LeafTracker &Tracker = this->Scheduler.leaf(Info.Leaf);
    const LeafPhase Before = Tracker.Lifecycle.phase();
    this->reportCall(Info, Reply, Before, Now);
    ActionList Actions;
    this->Scheduler.onReply(Attempt, Reply, Now, Actions);
    const LeafPhase After = Tracker.Lifecycle.phase();
    if (After != Before)
      this->PhaseChanges[Info.Leaf] = {Now, Reply.Outcome};
    if (After != Before)
      Deferred.PhaseChangeText = Tracker.Info.Id + " from " + toString(Before) +
                                 " to " + toString(After) + " after " +
                                 toString(Reply.Outcome);
    std::string *Body = Idempotent ? nullptr : &Reply.Body;
    this->collectActions(Actions, Now, Attempt, &Rows, Body, Deferred);
    this->Attempts.erase(Attempt);
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
}

Verdict ServiceDispatcher::cancel(RequestId Id, std::uint32_t Group) {
  DeferredActions Deferred;
  Verdict Result = Verdict::NotRun;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    std::vector<JobId> CallJobs;
    for (const auto &[Job, Info] : this->Jobs) {
      const BrokerCall &Call = this->PendingCalls.at(Info.CallNumber).Call;
      if (Call.Id == Id && Call.Group == Group)
        CallJobs.push_back(Job);
    }
    for (const JobId Job : CallJobs) {
      ActionList Actions;
      this->Scheduler.cancel(Job, Now, Actions);
      for (const FinishAction &Finish : Actions.Finishes)
        Result = combine(Result, Finish.RunVerdict);
      this->collectActions(Actions, Now, 0, nullptr, nullptr, Deferred);
    }
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
  return Result;
}

void ServiceDispatcher::onPeerClosed(const Endpoint &Address) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  LeafTable &Table = this->Scheduler.leaves();
  for (LeafIndex Index = 0; Index < Table.size(); ++Index)
    if (Table[Index].Info.Address == Address)
      Table.onClosedByPeer(Index, Now);
}

void ServiceDispatcher::resetAfterPause() {
  DeferredActions Deferred;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    ActionList Actions;
    this->Scheduler.shedQueued(Now, Actions);
    this->collectActions(Actions, Now, 0, nullptr, nullptr, Deferred);
    for (LeafIndex Index = 0; Index < this->Scheduler.leafCount(); ++Index)
      this->Scheduler.leaves().onOwnershipGained(Index, Now);
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
}

void ServiceDispatcher::armTimer(TimePoint Now) {
  const TimePoint Next = this->Scheduler.nextWake();
  if (Next >= this->TimerExpiry)
    return;
  this->TimerExpiry = Next;
  this->Timer.expires_at(std::max(Next, Now));
  this->Timer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        const auto Self = Weak.lock();
        if (Self && !Failure)
          Self->onTimer();
      });
}

void ServiceDispatcher::onTimer() {
  DeferredActions Deferred;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    this->TimerExpiry = TimePoint::max();
    ActionList Actions;
    this->Scheduler.tick(Now, Actions);
    this->collectActions(Actions, Now, 0, nullptr, nullptr, Deferred);
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
}

std::size_t ServiceDispatcher::callCount() const {
  const std::lock_guard Lock(this->Mutex);
  return this->PendingCalls.size();
}

void ServiceDispatcher::dump(boost::json::object &Into) const {
  const std::lock_guard Lock(this->Mutex);
  this->Scheduler.dump(Into, Clock::now());
  Into["calls"] = this->PendingCalls.size();
}

} // namespace citronlever::internal
