#include "citronlever/src/Gateway/ReplicaCall.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Calls that ended without being sent, after which the service counts as down.
constexpr int MaxFreeSends = 6;
/// Bounds what leaves that shed, one after the other, make of a request.
constexpr int SendsPerAttempt = 2;
/// Pause before a send is tried again for which there was no extra send left.
constexpr Duration BudgetPause = Milliseconds(10);
/// Part of the extra sends that hedges and copies leave to retries.
constexpr double HedgeReserve = 0.1;
constexpr double ProbeReserve = 0.5;
/// A call beyond so many typical latencies counts as slow where versions are
/// compared.
constexpr int SlowRatio = 3;
constexpr int LeastServerError = 500;

ReplicaStats::CallId nextCallId() {
  static thread_local ReplicaStats::CallId Last = 0;
  return ++Last;
}

/// \returns whether another replica may do better than this answer.
bool worthRepeating(int Status) { return Status >= 500 || Status == 429; }

/// \returns whether callers read \p Status as "not run".
bool promisesNotRun(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

ReplicaCall::ReplicaCall(LeafPool &Fleet, const RouteSpec &Of,
                         std::string Service, LeafRequestPtr Request,
                         Handler Then)
    : Fleet(Fleet), Of(Of), Service(std::move(Service)),
      Request(std::move(Request)), Then(std::move(Then)) {}

void ReplicaCall::start(TimePoint Now) {
  this->Fleet.extraSends(this->Service).request(Now);
  if (!this->sendNext(false, Now)) {
    if (!this->Finished)
      this->fail();
    return;
  }
  if (this->Finished || !this->mayRepeat() || this->InFlight.empty())
    return;
  const LeafChannelPtr Probe =
      this->Fleet.probe(this->Service, this->InFlight.front().Leaf, Now);
  if (Probe && this->Of.Attempts > 1 &&
      this->Fleet.extraSends(this->Service).tryTake(Now, ProbeReserve))
    this->send(Probe, true, Now);
}

bool ReplicaCall::mayRepeat() const {
  return this->Of.Kind == RequestKind::Idempotent;
}

bool ReplicaCall::otherLeafAllowed() const {
  std::size_t Leaves = this->Used.size();
  for (const Send &Item : this->InFlight)
    if (std::ranges::find(this->Used, Item.Leaf) == this->Used.end())
      ++Leaves;
  return static_cast<int>(Leaves) < this->Of.Attempts;
}

LeafChannelPtr ReplicaCall::chooseAgain(TimePoint Now) {
  const VersionSide Side = this->Fleet.extraSide(this->Service);
  if (this->otherLeafAllowed())
    if (LeafChannelPtr Other =
            this->Fleet.choose(this->wish(this->Tried, Side), Now))
      return Other;
  std::vector<LeafChannelPtr> Avoid;
  for (const LeafChannelPtr &Leaf : this->Fleet.replicas(this->Service)) {
    const bool Busy = std::ranges::find(this->InFlight, Leaf, &Send::Leaf) !=
                      this->InFlight.end();
    if (Busy || std::ranges::find(this->Used, Leaf) == this->Used.end())
      Avoid.push_back(Leaf);
  }
  return this->Fleet.choose(this->wish(Avoid, Side), Now);
}

LeafCriteria ReplicaCall::wish(std::span<const LeafChannelPtr> Avoid,
                               VersionSide Side) {
  return {this->Service, Avoid, this->Fleet.figures(this->Of).typical(), Side};
}

void ReplicaCall::watchVersion(const LeafChannelPtr &Leaf, ChannelCall &Call) {
  const ServiceRollout *Trial = this->Fleet.trials().find(this->Service);
  if (!Trial || Trial->stage() != VersionTraffic::OnTrial)
    return;
  const bool New = Trial->isNew(Leaf->entry().Version);
  // A leaf that starts is slow by itself.
  const bool Starting = Leaf->cold().until() > Clock::now();
  Call.Witness = [&Fleet = this->Fleet, Service = this->Service,
                  Route = this->Of.Name, Typical = Call.Typical, Starting,
                  Leaf = New ? Leaf->entry().Id : std::string()](
                     const ChannelAnswer &Answer, Duration SinceSent,
                     bool Abandoned) {
    const bool Slow = !Starting && SinceSent > SlowRatio * Typical;
    const bool Lost = Answer.Outcome == ChannelOutcome::Lost;
    // What was no longer waited for and not slow yet says nothing.
    if (Answer.Outcome == ChannelOutcome::NotRun ||
        (Lost && Abandoned && !Slow))
      return;
    const bool Failed =
        Lost ? !Abandoned : Answer.Response.Status >= LeastServerError;
    if (ServiceRollout *Known = Fleet.trials().find(Service))
      Known->ended(Route, Leaf, Failed, Slow);
  };
}

bool ReplicaCall::sendNext(bool Extra, TimePoint Now) {
  const VersionSide Side =
      Extra || !this->Tried.empty()
          ? this->Fleet.extraSide(this->Service)
          : this->Fleet.takeSide(this->Service, this->Of.Name);
  const LeafChannelPtr Leaf =
      this->Fleet.choose(this->wish(this->Tried, Side), Now);
  if (!Leaf) {
    if (this->Reason.empty())
      this->Reason = "no leaf of " + this->Service + " can be used";
    return false;
  }
  this->send(Leaf, Extra, Now);
  return true;
}

void ReplicaCall::send(const LeafChannelPtr &Leaf, bool Extra, TimePoint Now) {
  RouteLatency &Figures = this->Fleet.figures(this->Of);
  auto Call = std::make_shared<ChannelCall>();
  Call->Id = nextCallId();
  Call->Request = this->Request;
  Call->Typical = Figures.typical();
  this->watchVersion(Leaf, *Call);
  Call->Then = [Self = this->shared_from_this(),
                Weak = std::weak_ptr(Call)](ChannelAnswer Answer) {
    if (const ChannelCallPtr Ended = Weak.lock())
      Self->ended(Ended, std::move(Answer));
  };
  Leaf->cold().take(Now);
  this->Tried.push_back(Leaf);
  this->InFlight.push_back({Leaf, Call, Extra});
  ++this->Sends;
  if (this->mayRepeat())
    this->WakeAt = Now + Figures.hedgeAfter(Now);
  Leaf->call(Call);
}

void ReplicaCall::ended(const ChannelCallPtr &Call, ChannelAnswer Answer) {
  const auto Found = std::ranges::find(this->InFlight, Call, &Send::Call);
  if (this->Finished || Found == this->InFlight.end())
    return;
  const Send From = *Found;
  this->InFlight.erase(Found);
  this->decide(From, std::move(Answer), Clock::now());
}

void ReplicaCall::decide(const Send &From, ChannelAnswer Answer,
                         TimePoint Now) {
  this->Reason = Answer.Reason;
  if (Answer.Outcome == ChannelOutcome::NotSent) {
    if (From.Extra)
      this->Fleet.extraSends(this->Service).giveBack();
    if (++this->FreeSends < MaxFreeSends && this->sendNext(From.Extra, Now))
      return;
    if (this->InFlight.empty())
      this->fail();
    return;
  }
  if (Answer.Outcome == ChannelOutcome::NotRun) {
    this->sendAgain(Now);
    return;
  }
  if (std::ranges::find(this->Used, From.Leaf) == this->Used.end())
    this->Used.push_back(From.Leaf);
  this->Ran = combine(this->Ran, Answer.Outcome == ChannelOutcome::Answered
                                     ? Verdict::Ran
                                     : Verdict::MayHaveRun);
  if (Answer.Outcome == ChannelOutcome::Answered) {
    const int Status = Answer.Response.Status;
    if (Status >= 200 && Status < 300)
      this->Fleet.figures(this->Of).answered(Answer.Latency, Now);
    const bool Again = this->mayRepeat() && worthRepeating(Status);
    if (!Again && !promisesNotRun(Status)) {
      this->finish({true, std::move(Answer.Response), this->Ran, {}});
      return;
    }
    if (!promisesNotRun(Status)) {
      this->LastFailure = std::move(Answer.Response);
      this->HasFailure = true;
    }
  }
  if (this->mayRepeat())
    this->sendAgain(Now);
  else if (this->InFlight.empty())
    this->fail();
}

void ReplicaCall::sendAgain(TimePoint Now) {
  if (this->Sends >= SendsPerAttempt * this->Of.Attempts ||
      Now >= this->Request->deadline()) {
    if (this->InFlight.empty())
      this->fail();
    return;
  }
  ExtraSendBudget &Window = this->Fleet.extraSends(this->Service);
  if (!Window.tryTake(Now)) {
    if (!this->InFlight.empty())
      return;
    this->RetryPending = true;
    this->WakeAt = Now + BudgetPause;
    return;
  }
  this->RetryPending = false;
  if (const LeafChannelPtr Leaf = this->chooseAgain(Now)) {
    this->send(Leaf, true, Now);
    return;
  }
  Window.giveBack();
  if (this->InFlight.empty())
    this->fail();
}

void ReplicaCall::wake(TimePoint Now) {
  if (this->Finished || Now < this->WakeAt)
    return;
  this->WakeAt = TimePoint::max();
  if (this->RetryPending)
    this->sendAgain(Now);
  else if (!this->InFlight.empty() &&
           this->InFlight.back().Call->SentAt == TimePoint{})
    this->reroute(Now);
  else
    this->hedge(Now);
}

void ReplicaCall::reroute(TimePoint Now) {
  const Send Stuck = this->InFlight.back();
  const LeafChannelPtr Other = this->Fleet.choose(
      this->wish(this->Tried, this->Fleet.extraSide(this->Service)), Now);
  if (!Other || ++this->FreeSends >= MaxFreeSends)
    return;
  this->InFlight.pop_back();
  Stuck.Leaf->abandon(Stuck.Call);
  std::erase(this->Tried, Stuck.Leaf);
  this->send(Other, Stuck.Extra, Now);
}

void ReplicaCall::hedge(TimePoint Now) {
  if (!this->mayRepeat() || this->InFlight.size() > 1 ||
      !this->otherLeafAllowed())
    return;
  this->WakeAt = Now + BudgetPause;
  const LeafChannelPtr Other = this->Fleet.choose(
      this->wish(this->Tried, this->Fleet.extraSide(this->Service)), Now);
  // Where both would wait, a copy only makes the queues longer.
  if (!Other || Other->full(Now))
    return;
  if (this->Fleet.extraSends(this->Service).tryTake(Now, HedgeReserve))
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
  const auto Handler = std::exchange(this->Then, nullptr);
  const auto Self = this->shared_from_this();
  this->abandon();
  if (Handler)
    Handler(std::move(Result));
}

void ReplicaCall::abandon() {
  this->Finished = true;
  this->Then = nullptr;
  this->WakeAt = TimePoint::max();
  const auto Left = std::exchange(this->InFlight, {});
  for (const Send &Item : Left) {
    const bool Sent = Item.Leaf->abandon(Item.Call);
    if (!Sent && Item.Extra)
      this->Fleet.extraSends(this->Service).giveBack();
    if (Sent)
      this->Ran = combine(this->Ran, Verdict::MayHaveRun);
  }
}

} // namespace citronlever
