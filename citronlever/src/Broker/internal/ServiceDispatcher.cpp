#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include "citronlever/src/Broker/internal/RowReader.h"
#include "citronlever/src/Core/Event.h"

#include <boost/asio/post.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

/// An owner takes at most half of a leaf's connections, so that an old and a
/// new owner together stay within them.
int ownedConnections(const LeafLimits &Limits) {
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

/// \returns the share of hedges that a call allows; what is no share allows
/// none.
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
    const ConfigPtr &NewConfig, std::shared_ptr<const Service> NewOf,
    const std::set<std::string, std::less<>> &LeavingVms) {
  const TimePoint Now = Clock::now();
  const std::lock_guard Lock(this->Mutex);
  this->Config = NewConfig;
  const bool Changed = this->Of != NewOf;
  this->Of = std::move(NewOf);
  this->Scheduler.setExtraRequestShare(this->Of->HedgeBudget);
  this->LeavingVms = LeavingVms;
  if (Changed)
    this->Indices.assign(this->Of->Leaves.size(), LeafTable::None);
  for (std::uint32_t Number = 0; Number < this->Indices.size(); ++Number) {
    const Leaf &Each = this->Of->Leaves[Number];
    if (this->Scheduler.leaves().find(Each.Id) == LeafTable::None)
      continue;
    const LeafIndex Index = this->indexOf(Number, Now);
    this->Scheduler.leaves().setInService(Index, this->inService(Each), Now);
  }
}

bool ServiceDispatcher::inService(const Leaf &Which) const {
  return this->Config->inService(Which) && !this->LeavingVms.contains(Which.Vm);
}

/// A leaf is taken into the scheduler when its group is first served here: a
/// broker keeps state for its own leaves alone.
LeafIndex ServiceDispatcher::indexOf(std::uint32_t Number, TimePoint Now) {
  LeafIndex &Index = this->Indices[Number];
  if (Index != LeafTable::None)
    return Index;
  const Leaf &Which = this->Of->Leaves[Number];
  Index = this->Scheduler.leaves().add(Which, this->Of->Limits, Now);
  this->Scheduler.leaves().setInService(Index, this->inService(Which), Now);
  this->Sender->Client.setConnectionLimits(Which.Address,
                                           ownedConnections(this->Of->Limits),
                                           this->Of->Limits.ConnectCost);
  return Index;
}

std::vector<LeafIndex> ServiceDispatcher::replicas(const BrokerCall &Call,
                                                   const Snapshot &In,
                                                   std::uint32_t Shard,
                                                   TimePoint Now) {
  std::vector<LeafIndex> Result;
  std::vector<LeafIndex> Passed;
  for (const std::uint32_t Leaf : In.Shards[Shard]) {
    const auto &Which = this->Of->Leaves[Leaf];
    if (!Call.Version.empty() && Which.Version != Call.Version)
      continue;
    auto &Into = this->passedOver(Which) ? Passed : Result;
    Into.push_back(this->indexOf(Leaf, Now));
  }
  const auto Serves = [this](LeafIndex Each) {
    return this->Scheduler.leaf(Each).acceptsWork();
  };
  // Without another replica the returning one has to do it.
  if (std::ranges::none_of(Result, Serves))
    Result.insert(Result.end(), Passed.begin(), Passed.end());
  return Result;
}

void ServiceDispatcher::start(BrokerCall Call, TimePoint Received, Done Reply) {
  Effects Todo;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    const std::uint64_t Number = ++this->LastCall;
    PendingCall &Made = this->Calls[Number];
    Made.Reply = std::move(Reply);
    const Duration Left = Milliseconds(Call.TimeLeftMs);
    // The call had waited unread, and the leaves' replies will.
    const Duration Own = this->Sender->Delay.mean();
    Made.Deadline =
        Received + Left - Own - std::min(this->Settings.ReplyMargin, Left / 10);
    this->Scheduler.setReplyReadDelay(Own);
    Made.Body = std::make_shared<const std::string>(std::move(Call.Body));
    Made.Result.Id = Call.Id;
    Made.Result.Group = Call.Group;
    Made.Result.Snapshot = Call.Snapshot;
    Made.Call = std::move(Call);
    const Snapshot *In = this->Of->findSnapshot(Made.Call.Snapshot);
    const auto Known = [In](std::uint32_t Shard) {
      return Shard < In->Shards.size();
    };
    if (!In || Made.Call.Shards.empty() ||
        !std::ranges::all_of(Made.Call.Shards, Known)) {
      Made.Result.Status =
          In ? BrokerStatus::Unknown : BrokerStatus::SnapshotGone;
      Made.Result.Missing = Made.Call.Shards;
      Todo.Replies.emplace_back(std::move(Made.Reply), std::move(Made.Result));
      this->Calls.erase(Number);
    } else {
      Made.OpenJobs = Made.Call.Shards.size();
      const auto RouteNumber = this->Routes.try_emplace(
          Made.Call.Route, static_cast<std::uint32_t>(this->Routes.size()));
      const std::vector<std::uint32_t> Shards = Made.Call.Shards;
      if (!Made.Call.Customer.empty())
        this->Scheduler.setCustomerHedgeShare(Made.Call.Customer,
                                              hedgeShare(Made.Call));
      for (const std::uint32_t Shard : Shards) {
        ShardJob Job;
        Job.Id = ++this->LastJob;
        Job.Route = RouteNumber.first->second;
        Job.Replicas = this->replicas(Made.Call, *In, Shard, Now);
        Job.Idempotent = Made.Call.Idempotent;
        Job.Priority = Made.Call.Priority;
        Job.Customer = Made.Call.Customer;
        Job.Deadline = Made.Deadline;
        this->Jobs[Job.Id] = {Number, Shard};
        ActionList Actions;
        this->Scheduler.submit(std::move(Job), Now, Actions);
        this->collect(Actions, Now, 0, nullptr, nullptr, Todo);
      }
    }
    this->arm(Now);
  }
  this->perform(std::move(Todo));
}

void ServiceDispatcher::collectSend(const SendAction &Action, TimePoint Now,
                                    Effects &Into) {
  const JobInfo &Job = this->Jobs.at(Action.Job);
  const PendingCall &For = this->Calls.at(Job.Call);
  const Leaf &To = this->Scheduler.leaf(Action.Leaf).Info;
  LeafCall Call;
  Call.Address = To.Address;
  Call.Target = "/leaf/" + For.Call.Route;
  Call.Id = this->Sender->Ids.next();
  Call.Body = For.Body;
  Call.TimeLeft = For.Deadline - Now;
  Call.NewConnection = Action.NewConnection;
  Call.Idempotent = For.Call.Idempotent;
  if (For.Call.Idempotent) {
    Call.Snapshot = For.Call.Snapshot;
    Call.Shard = Job.Shard;
  } else {
    Call.RequestKey = For.Call.RequestKey;
  }
  this->Attempts[Action.Attempt] = {To.Address,     Call.Id,    Action.Leaf,
                                    For.Call.Route, To.Version, Now};
  Into.Sends.emplace_back(Action.Attempt, std::move(Call));
}

void ServiceDispatcher::collectFinish(const FinishAction &Action,
                                      AttemptId Answering,
                                      std::vector<Row> *Rows, std::string *Body,
                                      Effects &Into) {
  const JobInfo Job = this->Jobs.at(Action.Job);
  this->Jobs.erase(Action.Job);
  PendingCall &For = this->Calls.at(Job.Call);
  BrokerReply &Result = For.Result;
  Result.LeafCalls += Action.Attempts;
  Result.Shed += Action.Outcome == JobOutcome::Shed ? 1 : 0;
  Result.Outcome = combine(Result.Outcome, Action.RunVerdict);
  if (Action.Outcome == JobOutcome::Answered && Action.Winner == Answering) {
    Result.Answered.push_back(Job.Shard);
    if (Rows)
      For.Lists.push_back(std::move(*Rows));
    if (Body)
      Result.Body = std::move(*Body);
  } else {
    Result.Missing.push_back(Job.Shard);
    // A snapshot that is gone is what the entry has to know first.
    if (For.WorstEnd != JobOutcome::NotHeld)
      For.WorstEnd = Action.Outcome;
  }
  --For.OpenJobs;
  if (For.OpenJobs == 0)
    this->complete(Job.Call, Into);
}

void ServiceDispatcher::complete(std::uint64_t Call, Effects &Into) {
  const auto Found = this->Calls.find(Call);
  PendingCall &For = Found->second;
  BrokerReply &Result = For.Result;
  std::ranges::sort(Result.Answered);
  std::ranges::sort(Result.Missing);
  Result.Rows = mergeRows(std::move(For.Lists), For.Call.Limit);
  const bool Some = !Result.Answered.empty();
  Result.Status = statusOf(For.WorstEnd);
  if (Some && !Result.Missing.empty() &&
      Result.Status != BrokerStatus::SnapshotGone)
    Result.Status = BrokerStatus::Partial;
  if (!For.MovedTo.empty()) {
    Result.Status = BrokerStatus::NotOwner;
    Result.OwnerHint = std::move(For.MovedTo);
    Result.Shed = 0;
  }
  Into.Replies.emplace_back(std::move(For.Reply), std::move(Result));
  this->Calls.erase(Found);
}

void ServiceDispatcher::collect(ActionList &Actions, TimePoint Now,
                                AttemptId Answering, std::vector<Row> *Rows,
                                std::string *Body, Effects &Into) {
  for (const SendAction &Each : Actions.Sends)
    this->collectSend(Each, Now, Into);
  for (const CancelAction &Each : Actions.Cancels)
    Into.Cancels.push_back(this->Attempts.at(Each.Attempt));
  for (const AbandonAction &Each : Actions.Abandons)
    Into.Abandons.emplace_back(this->Attempts.at(Each.Attempt), Each.CloseIdle);
  for (const FinishAction &Each : Actions.Finishes)
    this->collectFinish(Each, Answering, Rows, Body, Into);
}

void ServiceDispatcher::perform(Effects &&Todo) {
  for (auto &[Attempt, Call] : Todo.Sends) {
    this->Sender->Client.send(
        std::move(Call),
        [Self = this->shared_from_this(), Attempt = Attempt](LeafReply Reply) {
          Self->replied(Attempt, std::move(Reply));
        });
  }
  for (const AttemptInfo &Each : Todo.Cancels)
    this->Sender->Client.cancel(Each.Address, Each.Id);
  for (const auto &[Each, DropIdle] : Todo.Abandons) {
    this->Sender->Client.abandon(Each.Address, Each.Id);
    if (DropIdle)
      this->Sender->Client.closeIdle(Each.Address);
  }
  if (!Todo.PhaseChange.empty())
    logEvent(event::LeafPhaseChanged, Todo.PhaseChange);
  for (auto &[Reply, Result] : Todo.Replies)
    Reply(std::move(Result));
}

void ServiceDispatcher::replied(AttemptId Attempt, LeafReply Reply) {
  std::string Snapshot;
  bool Idempotent = true;
  {
    const std::lock_guard Lock(this->Mutex);
    const JobId Job = this->Scheduler.jobOf(Attempt);
    const auto Found = this->Jobs.find(Job);
    if (Found != this->Jobs.end()) {
      const PendingCall &For = this->Calls.at(Found->second.Call);
      Snapshot = For.Call.Snapshot;
      Idempotent = For.Call.Idempotent;
    }
  }
  std::vector<Row> Rows;
  if (Reply.Outcome == LeafOutcome::Ok && Idempotent && !Snapshot.empty()) {
    auto Read = readRows(Reply.Body, Snapshot);
    if (Read)
      Rows = std::move(*Read);
    if (!Read) {
      // The leaf's own fault, not the connection's.
      Reply.Outcome = LeafOutcome::Failed;
      Reply.Pooled = false;
    }
  }
  Effects Todo;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    const AttemptInfo &Info = this->Attempts.at(Attempt);
    const LeafTracker &Of = this->Scheduler.leaf(Info.Leaf);
    const LeafPhase Before = Of.Lifecycle.phase();
    this->report(Info, Reply, Before, Now);
    ActionList Actions;
    this->Scheduler.onReply(Attempt, Reply, Now, Actions);
    const LeafPhase After = Of.Lifecycle.phase();
    if (After != Before)
      this->PhaseChanges[Info.Leaf] = {Now, Reply.Outcome};
    if (After != Before)
      Todo.PhaseChange = Of.Info.Id + " from " + toString(Before) + " to " +
                         toString(After) + " after " + toString(Reply.Outcome);
    std::string *Body = Idempotent ? nullptr : &Reply.Body;
    this->collect(Actions, Now, Attempt, &Rows, Body, Todo);
    this->Attempts.erase(Attempt);
    this->arm(Now);
  }
  this->perform(std::move(Todo));
}

Verdict ServiceDispatcher::cancel(RequestId Id, std::uint32_t Group) {
  Effects Todo;
  Verdict Result = Verdict::NotRun;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    std::vector<JobId> Ours;
    for (const auto &[Job, Info] : this->Jobs) {
      const BrokerCall &Call = this->Calls.at(Info.Call).Call;
      if (Call.Id == Id && Call.Group == Group)
        Ours.push_back(Job);
    }
    for (const JobId Job : Ours) {
      ActionList Actions;
      this->Scheduler.cancel(Job, Now, Actions);
      for (const FinishAction &Each : Actions.Finishes)
        Result = combine(Result, Each.RunVerdict);
      this->collect(Actions, Now, 0, nullptr, nullptr, Todo);
    }
    this->arm(Now);
  }
  this->perform(std::move(Todo));
  return Result;
}

void ServiceDispatcher::closedByPeer(const Endpoint &Address) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  LeafTable &Table = this->Scheduler.leaves();
  for (LeafIndex Each = 0; Each < Table.size(); ++Each)
    if (Table[Each].Info.Address == Address)
      Table.onClosedByPeer(Each, Now);
}

void ServiceDispatcher::giveUp() {
  Effects Todo;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    ActionList Actions;
    this->Scheduler.shedQueued(Now, Actions);
    this->collect(Actions, Now, 0, nullptr, nullptr, Todo);
    for (LeafIndex Each = 0; Each < this->Scheduler.leafCount(); ++Each)
      this->Scheduler.leaves().onOwnershipGained(Each, Now);
    this->arm(Now);
  }
  this->perform(std::move(Todo));
}

void ServiceDispatcher::arm(TimePoint Now) {
  const TimePoint Next = this->Scheduler.nextWake();
  if (Next >= this->Armed)
    return;
  this->Armed = Next;
  this->Timer.expires_at(std::max(Next, Now));
  this->Timer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        const auto Self = Weak.lock();
        if (Self && !Failure)
          Self->onTimer();
      });
}

void ServiceDispatcher::onTimer() {
  Effects Todo;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    this->Armed = TimePoint::max();
    ActionList Actions;
    this->Scheduler.tick(Now, Actions);
    this->collect(Actions, Now, 0, nullptr, nullptr, Todo);
    this->arm(Now);
  }
  this->perform(std::move(Todo));
}

std::size_t ServiceDispatcher::callCount() const {
  const std::lock_guard Lock(this->Mutex);
  return this->Calls.size();
}

void ServiceDispatcher::dump(boost::json::object &Into) const {
  const std::lock_guard Lock(this->Mutex);
  this->Scheduler.dump(Into, Clock::now());
  Into["calls"] = this->Calls.size();
}

} // namespace citronlever::internal
