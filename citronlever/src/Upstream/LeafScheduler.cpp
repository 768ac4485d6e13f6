#include "citronlever/src/Upstream/LeafScheduler.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever {

template <HedgePolicy Hedging>
LeafScheduler<Hedging>::LeafScheduler(SchedulerSettings Settings)
    : Settings(Settings),
      Budget(Settings.ExtraRequestShare, Settings.ExtraRequestBurst),
      CustomerBudgets(Settings.ExtraRequestBurst) {}

template <HedgePolicy Hedging>
LeafScheduler<Hedging>::~LeafScheduler() = default;

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::scheduleTimer(TimePoint At, TimerKind Kind,
                                           std::uint64_t Id) {
  this->Timers.push({At, Kind, Id});
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::scheduleLeafTimer(LeafIndex Index, TimePoint Now) {
  const TimePoint At = this->Table[Index].nextWake(Now);
  if (At != TimePoint::max())
    this->scheduleTimer(At, TimerKind::Leaf, Index);
}

template <HedgePolicy Hedging>
Duration LeafScheduler<Hedging>::hedgeDelay(std::uint32_t Route,
                                            TimePoint Now) {
  const auto Found = this->LatencyQuantiles.find(Route);
  const double Ms =
      Found == this->LatencyQuantiles.end() ? 0 : Found->second.value(Now);
  if (Ms <= 0)
    return this->Settings.DefaultHedgeDelay;
  const auto Observed = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Ms));
  // While tokens are scarce the delay doubles, so that the rest of the budget
  // goes to the requests that wait longest.
  const bool Scarce =
      this->Budget.tokens() < this->Settings.ExtraRequestBurst / 4;
  return std::max(this->Settings.MinHedgeDelay,
                  Scarce ? 2 * Observed : Observed);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::submit(ShardJob &&Spec, TimePoint Now,
                                    ActionList &Out) {
  const JobId Id = Spec.Id;
  ActiveJob &Job = this->Jobs[Id];
  Job.Spec = std::move(Spec);
  Job.SubmittedAt = Now;
  bool AnyInService = false;
  bool AnyWorking = false;
  for (const LeafIndex Replica : Job.Spec.Replicas) {
    const LeafTracker &Leaf = this->Table[Replica];
    AnyInService = AnyInService || Leaf.acceptsWork();
    AnyWorking = AnyWorking || (Leaf.acceptsWork() &&
                                Leaf.Lifecycle.phase() != LeafPhase::Failed);
  }
  if (!AnyInService)
    return this->finish(Id, JobOutcome::NoReplica, Verdict::NotRun, 0, Now,
                        Out);
  // With every replica failed, there is nothing to lose by probing immediately.
  if (!AnyWorking)
    for (const LeafIndex Replica : Job.Spec.Replicas)
      this->Table[Replica].Lifecycle.scheduleProbe(Now);
  if (this->Table.shouldShed(Job.Spec, Now))
    return this->finish(Id, JobOutcome::Shed, Verdict::NotRun, 0, Now, Out);
  this->scheduleTimer(Job.Spec.Deadline, TimerKind::Job, Id);
  this->dispatch(Job, Now, Out);
}

/// Sends a job to a replica or adds it to the queue. A job that can be hedged
/// may serve as a probe of a slow replica.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::dispatch(ActiveJob &Job, TimePoint Now,
                                      ActionList &Out) {
  const bool CanBeHedged = Job.Spec.Idempotent && Job.Sends == 0 &&
                           Hedging::Enabled && this->Settings.Hedging &&
                           this->Budget.tokens() >= 1 &&
                           this->CustomerBudgets.canHedge(Job.Spec.Customer);
  if (this->Settings.RecoveryProbes && CanBeHedged) {
    const LeafIndex Avoided =
        this->Table.chooseRecoveryProbe(Job.Spec.Replicas, this->Settings, Now);
    if (Avoided != LeafTable::None)
      return this->send(Job, Avoided, Now, Out, true);
  }
  const LeafIndex To =
      this->Table.chooseReplica(Job.Spec.Replicas, Job.Tried, false, Now);
  if (To == LeafTable::None ||
      this->Table.shouldWaitForFaster(To, Job.Spec.Replicas, Job.Tried,
                                      this->Settings.SlowLatencyRatio, Now))
    return this->enqueue(Job, Now);
  this->send(Job, To, Now, Out);
}

/// A first send or retry is queued at the replicas not tried yet. A hedge is
/// queued at all of them, since most stragglers are caused by the single
/// request and not by the leaf.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::enqueue(ActiveJob &Job, TimePoint Now) {
  const bool Hedge = !Job.Running.empty();
  const std::span<const LeafIndex> Tried =
      Hedge ? std::span<const LeafIndex>() : Job.Tried;
  Job.Enqueued = true;
  this->Table.enqueue({Job.Spec.Priority, Job.Spec.Deadline, Job.Spec.Id},
                      Job.Spec.Replicas, Tried, this->Settings.OutlierRatio,
                      Now);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::dequeue(ActiveJob &Job) {
  if (!Job.Enqueued)
    return;
  Job.Enqueued = false;
  this->Table.dequeue({Job.Spec.Priority, Job.Spec.Deadline, Job.Spec.Id},
                      Job.Spec.Replicas);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::send(ActiveJob &Job, LeafIndex To, TimePoint Now,
                                  ActionList &Out, bool Probe) {
  this->dequeue(Job);
  LeafTracker &Leaf = this->Table[To];
  Probe = Probe || Leaf.Lifecycle.phase() == LeafPhase::Failed;
  Leaf.onSent(Now);
  const AttemptId Id = ++this->LastAttempt;
  ActiveAttempt &Attempt = this->Attempts[Id];
  Attempt.Job = Job.Spec.Id;
  Attempt.Leaf = To;
  Attempt.Route = Job.Spec.Route;
  Attempt.SentAt = Now;
  Attempt.Deadline = Job.Spec.Deadline;
  Attempt.Idempotent = Job.Spec.Idempotent;
  Attempt.Probe = Probe;
  Job.Running.push_back(Id);
  Job.Tried.push_back(To);
  if (Job.Sends == 0) {
    this->Budget.onFirstSend();
    this->CustomerBudgets.onFirstSend(Job.Spec.Customer);
  }
  ++Job.Sends;
  Out.Sends.push_back({Id, Job.Spec.Id, To, Leaf.SuspectConnections});
  this->scheduleTimer(Now + this->Settings.ReplyTimeout, TimerKind::Attempt,
                      Id);
  const bool MoreHedges = Job.Sends <= this->Settings.MaxHedgesPerJob;
  const bool Hedges = Hedging::Enabled && this->Settings.Hedging;
  if (!Hedges || !Job.Spec.Idempotent || !MoreHedges)
    return;
  const Duration Wait =
      Probe ? Duration::zero() : this->hedgeDelay(Job.Spec.Route, Now);
  Job.HedgeAt = std::max(Now, Hedging::delayStart(Job.SubmittedAt, Now) + Wait);
  this->scheduleTimer(Job.HedgeAt, TimerKind::Job, Job.Spec.Id);
}

/// Dispatches the jobs queued at a failed leaf again. They may be queued at
/// that leaf only, because the other replicas were slower.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::redispatchWaiting(LeafIndex Failed, TimePoint Now,
                                               ActionList &Out) {
  if (this->Table[Failed].Lifecycle.phase() != LeafPhase::Failed)
    return;
  const std::set<QueueKey> Waiting = this->Table[Failed].Queue;
  for (const QueueKey &Key : Waiting) {
    ActiveJob &Job = this->Jobs.at(Key.Job);
    if (!Job.Running.empty())
      continue;
    this->dequeue(Job);
    this->dispatch(Job, Now, Out);
  }
}

/// Sends queued jobs while the leaf has free slots. A job without a running
/// attempt whose remaining time is shorter than half of the leaf's latency is
/// finished instead.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::sendQueued(LeafIndex Index, TimePoint Now,
                                        ActionList &Out) {
  LeafTracker &Leaf = this->Table[Index];
  while (!Leaf.Queue.empty() && Leaf.freeSlots(Now) > 0) {
    ActiveJob &Job = this->Jobs.at(Leaf.Queue.begin()->Job);
    const auto TimeLeft =
        std::chrono::duration<double, std::milli>(Job.Spec.Deadline - Now);
    const bool Hedge = !Job.Running.empty();
    if (Hedge && !this->tryTakeHedgeToken(Job)) {
      this->dequeue(Job);
      continue;
    }
    if (Hedge || (TimeLeft.count() > 0 &&
                  TimeLeft.count() >= Leaf.Limit.latencyMs() / 2)) {
      this->send(Job, Index, Now, Out);
      continue;
    }
    const JobOutcome Outcome =
        Job.Sends == 0 ? JobOutcome::Shed : JobOutcome::TimedOut;
    this->finish(Job.Spec.Id, Outcome, Job.RunVerdict, 0, Now, Out);
  }
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::hedge(ActiveJob &Job, TimePoint Now,
                                   ActionList &Out) {
  Job.HedgeAt = TimePoint::max();
  LeafIndex To =
      this->Table.chooseReplica(Job.Spec.Replicas, Job.Tried, true, Now);
  if (To == LeafTable::None)
    To = this->Table.chooseQuickReplica(Job.Spec.Replicas,
                                        this->Settings.SlowLatencyRatio, Now);
  // Without a free slot the hedge is queued like any other request.
  if (To == LeafTable::None)
    return this->enqueue(Job, Now);
  if (this->tryTakeHedgeToken(Job))
    this->send(Job, To, Now, Out);
}

/// A hedge needs a token of the customer's budget and one of the service's.
template <HedgePolicy Hedging>
bool LeafScheduler<Hedging>::tryTakeHedgeToken(const ActiveJob &Job) {
  if (!this->CustomerBudgets.canHedge(Job.Spec.Customer) ||
      !this->Budget.tryTake())
    return false;
  this->CustomerBudgets.takeHedge(Job.Spec.Customer);
  return true;
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::handleJobTimer(JobId Id, TimePoint Now,
                                            ActionList &Out) {
  const auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  ActiveJob &Job = Found->second;
  if (Now >= Job.Spec.Deadline) {
    const Verdict RunVerdict =
        Job.Running.empty() ? Job.RunVerdict
                            : combine(Job.RunVerdict, Verdict::MayHaveRun);
    const JobOutcome Outcome = Job.RetryPending ? Job.LastOutcome
                               : Job.Sends == 0 ? JobOutcome::Shed
                                                : JobOutcome::TimedOut;
    return this->finish(Id, Outcome, RunVerdict, 0, Now, Out);
  }
  if (Job.RetryPending)
    return this->retry(Job, Now, Out);
  if (Now >= Job.HedgeAt && !Job.Running.empty())
    this->hedge(Job, Now, Out);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::handleAttemptTimer(AttemptId Id, TimePoint Now,
                                                ActionList &Out) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  ActiveAttempt &Attempt = Found->second;
  const bool Cancelled =
      Attempt.CancelledAt != TimePoint{} && !Attempt.LeftRunning;
  const TimePoint Due = Cancelled
                            ? Attempt.CancelledAt + this->Settings.CancelGrace
                            : Attempt.SentAt + this->Settings.ReplyTimeout;
  // A non-idempotent request may run until its deadline, since it can't be
  // repeated.
  if (Now < Due || (!Cancelled && !Attempt.Idempotent))
    return;
  Attempt.Abandoned = true;
  Out.Abandons.push_back({Id, Attempt.Leaf, true});
  // Repeated until the attempt ends: the send may not have reached the client
  // when it is abandoned.
  this->scheduleTimer(Now + this->Settings.CancelGrace, TimerKind::Attempt, Id);
}

/// Cancels an attempt whose answer is no longer wanted. Attempts that show
/// whether a leaf recovers are left running, see RecoveryProbes.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::cancelAttempt(AttemptId Id, bool CountsAsLoss,
                                           TimePoint Now, ActionList &Out) {
  ActiveAttempt &Attempt = this->Attempts.at(Id);
  Attempt.CancelledAt = Now;
  Attempt.CountsAsLoss = CountsAsLoss;
  const bool Warm =
      this->Table[Attempt.Leaf].Lifecycle.phase() == LeafPhase::Warm;
  const bool IsInformative = Attempt.Probe || !Warm;
  Attempt.LeftRunning = this->Settings.RecoveryProbes && CountsAsLoss &&
                        IsInformative && Attempt.Idempotent;
  if (Attempt.LeftRunning)
    return;
  // An attempt that lost before the hedge delay, against the immediate hedge of
  // a probe, does not show that the leaf is slow.
  if (CountsAsLoss &&
      Now - Attempt.SentAt >= this->hedgeDelay(Attempt.Route, Now))
    this->Table[Attempt.Leaf].onHedgeLost(
        Now - Attempt.SentAt, this->Settings.HedgeLossesToFail, Now);
  this->scheduleLeafTimer(Attempt.Leaf, Now);
  Out.Cancels.push_back({Id, Attempt.Leaf});
  this->scheduleTimer(Now + this->Settings.CancelGrace, TimerKind::Attempt, Id);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::finish(JobId Id, JobOutcome Outcome,
                                    Verdict RunVerdict, AttemptId Winner,
                                    TimePoint Now, ActionList &Out) {
  const auto Found = this->Jobs.find(Id);
  ActiveJob &Job = Found->second;
  this->dequeue(Job);
  const bool Won = Outcome == JobOutcome::Answered;
  for (const AttemptId Attempt : Job.Running)
    this->cancelAttempt(Attempt, Won || Outcome == JobOutcome::TimedOut, Now,
                        Out);
  Out.Finishes.push_back({Id, Outcome, RunVerdict, Winner, Job.Sends});
  this->Jobs.erase(Found);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::cancel(JobId Id, TimePoint Now, ActionList &Out) {
  const auto Found = this->Jobs.find(Id);
  if (Found == this->Jobs.end())
    return;
  const ActiveJob &Job = Found->second;
  const Verdict RunVerdict = Job.Running.empty()
                                 ? Job.RunVerdict
                                 : combine(Job.RunVerdict, Verdict::MayHaveRun);
  this->finish(Id, JobOutcome::Cancelled, RunVerdict, 0, Now, Out);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::onReply(AttemptId Id, const LeafReply &Reply,
                                     TimePoint Now, ActionList &Out) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  const ActiveAttempt Attempt = Found->second;
  this->Attempts.erase(Found);
  LeafTracker &Leaf = this->Table[Attempt.Leaf];
  const bool IsUncertain = Reply.Outcome == LeafOutcome::ConnectionLost ||
                           Reply.Outcome == LeafOutcome::Mismatch ||
                           Reply.Outcome == LeafOutcome::Abandoned;
  if (IsUncertain && !Reply.PartiallyReceived &&
      Reply.RunVerdict != Verdict::NotRun)
    Leaf.onEndedUnknown(std::min(Attempt.Deadline,
                                 Attempt.SentAt + this->Settings.MaxSlotHold));
  else
    Leaf.onEnded();
  const Duration Latency = Now - Attempt.SentAt;
  Leaf.onReply(
      Reply, {Latency, this->ReplyReadDelay, Attempt.Deadline - Attempt.SentAt},
      Attempt.CountsAsLoss, Now);
  const auto FoundJob = this->Jobs.find(Attempt.Job);
  const bool Wanted =
      FoundJob != this->Jobs.end() && Attempt.CancelledAt == TimePoint{};
  if (Wanted) {
    ActiveJob &Job = FoundJob->second;
    std::erase(Job.Running, Id);
    if (Reply.Outcome == LeafOutcome::Ok) {
      const auto Quantile = this->LatencyQuantiles.try_emplace(
          Attempt.Route, this->Settings.HedgeQuantile,
          this->Settings.QuantilePeriod);
      Quantile.first->second.add(
          std::chrono::duration<double, std::milli>(Latency).count(), Now);
      this->finish(Attempt.Job, JobOutcome::Answered, Verdict::Ran, Id, Now,
                   Out);
    } else {
      this->retryOrFinish(Job, Attempt.Leaf, Reply, Now, Out);
    }
  }
  this->redispatchWaiting(Attempt.Leaf, Now, Out);
  this->sendQueued(Attempt.Leaf, Now, Out);
  this->scheduleLeafTimer(Attempt.Leaf, Now);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::retryOrFinish(ActiveJob &Job, LeafIndex From,
                                           const LeafReply &Reply,
                                           TimePoint Now, ActionList &Out) {
  Job.RunVerdict = combine(Job.RunVerdict, Reply.RunVerdict);
  Job.LastOutcome = Reply.Outcome == LeafOutcome::NotHeld ? JobOutcome::NotHeld
                    : Reply.Outcome == LeafOutcome::DeadlinePassed
                        ? JobOutcome::TimedOut
                        : JobOutcome::Failed;
  if (!Job.Running.empty())
    return;
  const JobId Id = Job.Spec.Id;
  if (!Job.Spec.Idempotent && !isSafeToRetry(Job.RunVerdict))
    return this->finish(Id, Job.LastOutcome, Job.RunVerdict, 0, Now, Out);
  // A failure on a pooled connection need not be the leaf's fault, so the leaf
  // may be tried once more on a new connection.
  if (Reply.Pooled && Reply.Outcome != LeafOutcome::NotHeld)
    std::erase(Job.Tried, From);
  const bool AnyLeft =
      std::ranges::any_of(Job.Spec.Replicas, [this, &Job](LeafIndex Replica) {
        return this->Table[Replica].acceptsWork() &&
               std::ranges::find(Job.Tried, Replica) == Job.Tried.end();
      });
  if (!AnyLeft || Now >= Job.Spec.Deadline)
    return this->finish(Id, Job.LastOutcome, Job.RunVerdict, 0, Now, Out);
  const bool NeedsNoToken = Reply.Outcome == LeafOutcome::NoConnection;
  if (NeedsNoToken)
    return this->dispatch(Job, Now, Out);
  Job.RetryPending = true;
  this->retry(Job, Now, Out);
}

/// Dispatches a failed job again as soon as the budget has a token for it.
template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::retry(ActiveJob &Job, TimePoint Now,
                                   ActionList &Out) {
  if (!this->Budget.tryTake())
    return this->scheduleTimer(Now + this->Settings.RetryPollInterval,
                               TimerKind::Job, Job.Spec.Id);
  Job.RetryPending = false;
  this->dispatch(Job, Now, Out);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::tick(TimePoint Now, ActionList &Out) {
  while (!this->Timers.empty() && this->Timers.top().At <= Now) {
    const TimerEntry Due = this->Timers.top();
    this->Timers.pop();
    switch (Due.Kind) {
    case TimerKind::Job:
      this->handleJobTimer(Due.Id, Now, Out);
      break;
    case TimerKind::Attempt:
      this->handleAttemptTimer(Due.Id, Now, Out);
      break;
    case TimerKind::Leaf: {
      const auto Index = static_cast<LeafIndex>(Due.Id);
      this->Table[Index].releaseExpiredHolds(Now);
      this->Table[Index].Lifecycle.tick(Now);
      this->sendQueued(Index, Now, Out);
      this->scheduleLeafTimer(Index, Now);
      break;
    }
    }
  }
}

template <HedgePolicy Hedging>
TimePoint LeafScheduler<Hedging>::nextWake() const {
  return this->Timers.empty() ? TimePoint::max() : this->Timers.top().At;
}

template <HedgePolicy Hedging>
JobId LeafScheduler<Hedging>::jobOf(AttemptId Attempt) const {
  const auto Found = this->Attempts.find(Attempt);
  return Found == this->Attempts.end() ? 0 : Found->second.Job;
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::shedQueued(TimePoint Now, ActionList &Out) {
  std::vector<JobId> Waiting;
  for (const auto &[Id, Job] : this->Jobs)
    if (Job.Enqueued && Job.Running.empty())
      Waiting.push_back(Id);
  for (const JobId Id : Waiting)
    this->finish(Id, JobOutcome::Shed, this->Jobs.at(Id).RunVerdict, 0, Now,
                 Out);
}

template <HedgePolicy Hedging>
void LeafScheduler<Hedging>::dump(boost::json::object &Into,
                                  TimePoint Now) const {
  this->Table.dump(Into, Now);
  Into["jobs"] = this->Jobs.size();
  Into["first_sends"] = this->Budget.firstSends();
  Into["extra_sends"] = this->Budget.extraSends();
  Into["extra_tokens"] = this->Budget.tokens();
}

template class LeafScheduler<HedgeDelayFromSend>;
template class LeafScheduler<HedgeDelayFromSubmit>;
template class LeafScheduler<NoHedging>;

} // namespace citronlever
