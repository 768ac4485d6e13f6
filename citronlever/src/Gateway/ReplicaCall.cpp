#include "citronlever/src/Gateway/ReplicaCall.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Calls that may end unsent before the service counts as down.
constexpr int MaxUnsentCalls = 6;
/// Limits the sends of a request when leaf after leaf sheds it.
constexpr int SendsPerAttempt = 2;
/// Delay before an extra send or a move to another leaf is attempted again
/// after the budget denied it or no leaf was available.
constexpr Duration RecheckDelay = Milliseconds(10);
/// How long a request that waits for an extra send is held, as a share of the
/// latency objective. After that the caller can use the time better itself.
constexpr int BudgetPatienceDivisor = 4;
/// Shares of the extra sends that hedges and probes leave to retries.
constexpr double HedgeReserve = 0.1;
constexpr double ProbeReserve = 0.5;
/// During a rollout, a call that takes more than this many typical latencies
/// counts as slow.
constexpr int SlowRatio = 3;
constexpr int MinServerError = 500;

ReplicaStats::CallId nextCallId() {
  static thread_local ReplicaStats::CallId Last = 0;
  return ++Last;
}

/// \returns whether another replica may give a better answer.
bool isWorthRepeating(int Status) { return Status >= 500 || Status == 429; }

/// \returns whether callers read \p Status as "not run".
bool impliesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

ReplicaCall::ReplicaCall(LeafPool &Pool, const RouteSpec &Route,
                         std::string Service, LeafRequestPtr Request,
                         Handler OnResult, RescheduleHandler OnRescheduled)
    : Pool(Pool), Route(Route), Service(std::move(Service)),
      Request(std::move(Request)), OnResult(std::move(OnResult)),
      OnRescheduled(std::move(OnRescheduled)) {}

void ReplicaCall::start(TimePoint Now) {
  this->Pool.extraSendBudget(this->Service).countRequest(Now);
  if (!this->sendNext(false, Now)) {
    if (!this->Finished)
      this->fail();
    return;
  }
  if (this->Finished || !this->canRepeat() || this->InFlight.empty())
    return;
  const LeafChannelPtr Probe =
      this->Pool.chooseProbe(this->Service, this->InFlight.front().Leaf, Now);
  if (Probe && this->Route.Attempts > 1 &&
      this->Pool.extraSendBudget(this->Service).tryTake(Now, ProbeReserve))
    this->send(Probe, true, Now);
}

bool ReplicaCall::canRepeat() const {
  return this->Route.Kind == RequestKind::Idempotent;
}

bool ReplicaCall::canUseAnotherLeaf() const {
  std::size_t Leaves = this->UsedLeaves.size();
  for (const Attempt &Item : this->InFlight)
    if (std::ranges::find(this->UsedLeaves, Item.Leaf) ==
        this->UsedLeaves.end())
      ++Leaves;
  return static_cast<int>(Leaves) < this->Route.Attempts;
}

LeafChannelPtr ReplicaCall::chooseForRetry(TimePoint Now) {
  const VersionSide Side = this->Pool.extraSendVersion(this->Service);
  if (this->canUseAnotherLeaf())
    if (LeafChannelPtr Other =
            this->Pool.choose(this->criteria(this->TriedLeaves, Side), Now))
      return Other;
  std::vector<LeafChannelPtr> Avoid;
  for (const LeafChannelPtr &Leaf : this->Pool.replicas(this->Service)) {
    const bool Busy = std::ranges::find(this->InFlight, Leaf, &Attempt::Leaf) !=
                      this->InFlight.end();
    if (Busy ||
        std::ranges::find(this->UsedLeaves, Leaf) == this->UsedLeaves.end())
      Avoid.push_back(Leaf);
  }
  return this->Pool.choose(this->criteria(Avoid, Side), Now);
}

LeafCriteria ReplicaCall::criteria(std::span<const LeafChannelPtr> Avoid,
                                   VersionSide Side) {
  return {this->Service, Avoid, this->Pool.routeLatency(this->Route).typical(),
          Side};
}

void ReplicaCall::observeForRollout(const LeafChannelPtr &Leaf,
                                    ChannelCall &Call) {
  const ServiceRollout *Rollout = this->Pool.rollouts().find(this->Service);
  if (!Rollout || Rollout->traffic() != VersionTraffic::Split)
    return;
  const bool New = Rollout->isNewVersion(Leaf->entry().Version);
  // A starting leaf is slow whatever its version.
  const bool Starting = Leaf->coldLimiter().coldUntil() > Clock::now();
  Call.Observer =
      [&Pool = this->Pool, Service = this->Service,
       RouteName = this->Route.Name, TypicalLatency = Call.TypicalLatency,
       Starting, Leaf = New ? Leaf->entry().Id : std::string()](
          const ChannelAnswer &Answer, Duration SinceSent, bool Abandoned) {
        const bool Slow = !Starting && SinceSent > SlowRatio * TypicalLatency;
        const bool Lost = Answer.Outcome == ChannelOutcome::Lost;
        // An abandoned call that was not slow yet says nothing about the
        // version.
        if (Answer.Outcome == ChannelOutcome::NotRun ||
            (Lost && Abandoned && !Slow))
          return;
        const bool Failed =
            Lost ? !Abandoned : Answer.Response.Status >= MinServerError;
        if (ServiceRollout *Known = Pool.rollouts().find(Service))
          Known->onCallEnded(RouteName, Leaf, Failed, Slow);
      };
}

bool ReplicaCall::sendNext(bool Extra, TimePoint Now) {
  const VersionSide Side =
      Extra || !this->TriedLeaves.empty()
          ? this->Pool.extraSendVersion(this->Service)
          : this->Pool.assignVersion(this->Service, this->Route.Name);
  const LeafChannelPtr Leaf =
      this->Pool.choose(this->criteria(this->TriedLeaves, Side), Now);
  if (!Leaf) {
    const std::string Why = this->Pool.countUnavailable(this->Service, Now);
    if (this->Reason.empty())
      this->Reason = Why;
    return false;
  }
  this->send(Leaf, Extra, Now);
  return true;
}

void ReplicaCall::send(const LeafChannelPtr &Leaf, bool Extra, TimePoint Now) {
  RouteLatency &Latency = this->Pool.routeLatency(this->Route);
  auto Call = std::make_shared<ChannelCall>();
  Call->Id = nextCallId();
  Call->Request = this->Request;
  Call->TypicalLatency = Latency.typical();
  this->observeForRollout(Leaf, *Call);
  Call->OnAnswer = [Self = this->shared_from_this(),
                    Weak = std::weak_ptr(Call)](ChannelAnswer Answer) {
    if (const ChannelCallPtr Ended = Weak.lock())
      Self->onCallEnded(Ended, std::move(Answer));
  };
  Leaf->coldLimiter().countSend(Now);
  this->TriedLeaves.push_back(Leaf);
  this->InFlight.push_back({Leaf, Call, Extra});
  ++this->SendCount;
  // An unsent call can be moved to another leaf, whatever the kind of request.
  this->WakeAt = Now + Latency.hedgeDelay(Now);
  Leaf->call(Call);
}

void ReplicaCall::onCallEnded(const ChannelCallPtr &Call,
                              ChannelAnswer Answer) {
  const auto Found = std::ranges::find(this->InFlight, Call, &Attempt::Call);
  if (this->Finished || Found == this->InFlight.end())
    return;
  const Attempt From = *Found;
  this->InFlight.erase(Found);
  this->handleAnswer(From, std::move(Answer), Clock::now());
  if (!this->Finished && this->OnRescheduled)
    this->OnRescheduled(this->WakeAt);
}

void ReplicaCall::handleAnswer(const Attempt &From, ChannelAnswer Answer,
                               TimePoint Now) {
  this->Reason = Answer.Reason;
  if (Answer.Outcome == ChannelOutcome::NotSent) {
    if (From.Extra)
      this->Pool.extraSendBudget(this->Service).refund();
    if (++this->UnsentCalls < MaxUnsentCalls && this->sendNext(From.Extra, Now))
      return;
    if (this->InFlight.empty())
      this->fail();
    return;
  }
  if (Answer.Outcome == ChannelOutcome::NotRun) {
    this->retry(Now);
    return;
  }
  if (std::ranges::find(this->UsedLeaves, From.Leaf) == this->UsedLeaves.end())
    this->UsedLeaves.push_back(From.Leaf);
  this->Ran = combine(this->Ran, Answer.Outcome == ChannelOutcome::Answered
                                     ? Verdict::Ran
                                     : Verdict::MayHaveRun);
  if (Answer.Outcome == ChannelOutcome::Answered) {
    const int Status = Answer.Response.Status;
    if (Status >= 200 && Status < 300)
      this->Pool.routeLatency(this->Route).addSample(Answer.Latency, Now);
    const bool Again = this->canRepeat() && isWorthRepeating(Status);
    if (!Again && !impliesNotRun(Status)) {
      this->finish({true, std::move(Answer.Response), this->Ran, {}});
      return;
    }
    if (!impliesNotRun(Status)) {
      this->LastFailure = std::move(Answer.Response);
      this->HasFailure = true;
    }
  }
  if (this->canRepeat())
    this->retry(Now);
  else if (this->InFlight.empty())
    this->fail();
}

void ReplicaCall::retry(TimePoint Now) {
  if (this->SendCount >= SendsPerAttempt * this->Route.Attempts ||
      Now >= this->Request->deadline()) {
    if (this->InFlight.empty())
      this->fail();
    return;
  }
  ExtraSendBudget &Budget = this->Pool.extraSendBudget(this->Service);
  if (!Budget.tryTake(Now)) {
    if (this->InFlight.empty())
      this->awaitBudget(Now);
    return;
  }
  this->RetryPending = false;
  if (const LeafChannelPtr Leaf = this->chooseForRetry(Now)) {
    this->send(Leaf, true, Now);
    return;
  }
  Budget.refund();
  if (this->InFlight.empty())
    this->fail();
}

void ReplicaCall::awaitBudget(TimePoint Now) {
  if (!std::exchange(this->RetryPending, true))
    this->GiveUpAt = Now + this->Route.LatencyObjective / BudgetPatienceDivisor;
  if (Now >= this->GiveUpAt) {
    this->fail();
    return;
  }
  this->WakeAt = Now + RecheckDelay;
}

void ReplicaCall::wake(TimePoint Now) {
  if (this->Finished || Now < this->WakeAt)
    return;
  this->WakeAt = TimePoint::max();
  if (this->RetryPending)
    this->retry(Now);
  else if (!this->InFlight.empty() &&
           this->InFlight.back().Call->SentAt == TimePoint{})
    this->reroute(Now);
  else
    this->hedge(Now);
}

void ReplicaCall::reroute(TimePoint Now) {
  const Attempt Unsent = this->InFlight.back();
  const LeafChannelPtr Other = this->Pool.choose(
      this->criteria(this->TriedLeaves,
                     this->Pool.extraSendVersion(this->Service)),
      Now);
  if (!Other) {
    this->WakeAt = Now + RecheckDelay;
    return;
  }
  if (++this->UnsentCalls >= MaxUnsentCalls)
    return;
  this->InFlight.pop_back();
  Unsent.Leaf->abandon(Unsent.Call);
  std::erase(this->TriedLeaves, Unsent.Leaf);
  this->send(Other, Unsent.Extra, Now);
}

void ReplicaCall::hedge(TimePoint Now) {
  if (!this->canRepeat() || this->InFlight.size() > 1 ||
      !this->canUseAnotherLeaf())
    return;
  this->WakeAt = Now + RecheckDelay;
  const LeafChannelPtr Other = this->Pool.choose(
      this->criteria(this->TriedLeaves,
                     this->Pool.extraSendVersion(this->Service)),
      Now);
  // If the copy would have to wait as well, it would only lengthen the queues.
  if (!Other || Other->isFull(Now) || !Other->rateLimiter().canSendCopy(Now))
    return;
  if (this->Pool.extraSendBudget(this->Service).tryTake(Now, HedgeReserve))
    this->send(Other, true, Now);
}

void ReplicaCall::fail() {
  if (this->HasFailure && this->Ran != Verdict::NotRun) {
    this->finish({true, std::move(this->LastFailure), this->Ran, {}});
    return;
  }
  this->finish({false, {}, this->Ran, this->Reason});
}

void ReplicaCall::finish(ReplicaResult Result) {
  const auto Handler = std::exchange(this->OnResult, nullptr);
  const auto Self = this->shared_from_this();
  this->abandon();
  if (Handler)
    Handler(std::move(Result));
}

void ReplicaCall::abandon() {
  this->Finished = true;
  this->OnResult = nullptr;
  this->OnRescheduled = nullptr;
  this->WakeAt = TimePoint::max();
  const auto Outstanding = std::exchange(this->InFlight, {});
  for (const Attempt &Item : Outstanding) {
    const bool Sent = Item.Leaf->abandon(Item.Call);
    if (!Sent && Item.Extra)
      this->Pool.extraSendBudget(this->Service).refund();
    if (Sent)
      this->Ran = combine(this->Ran, Verdict::MayHaveRun);
  }
}

} // namespace citronlever
