#include "citronlever/src/Upstream/LeafTracker.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever {

namespace {

/// Assumed latency of a leaf that has not answered yet.
constexpr double UnknownLatencyMs = 1;
/// A leaf limited to fewer than its slots that had no request for StarvedAfter
/// is treated as faster by StarvedDiscount, because its limit grows only with
/// its answers.
constexpr Duration StarvedAfter = Milliseconds(100);
constexpr double StarvedDiscount = 1.5;
/// Answers that take more than this multiple of the baseline do not advance a
/// ramping leaf.
constexpr double SlowRampRatio = 2;
/// Replies that waited unread together are read in any order, so a reported
/// load is compared with the peak of requests in flight over at least this
/// period.
constexpr Duration PeakWindow = Milliseconds(20);
/// A missed deadline does not count against a leaf that had less than this
/// multiple of its latency to answer.
constexpr double MinTimeBudgetRatio = 4;
/// Errors at which a leaf counts as cold, after the decay by answers.
constexpr double ErrorsToTurnCold = 1.5;
/// One error is forgotten after 20 answers.
constexpr double ErrorDecayPerAnswer = 0.05;

/// A leaf is assumed to be warm for this long after its last answer, and a sign
/// of a cold start is reported to the next owner for as long.
constexpr Duration PhaseMemory = Seconds(3);

LeafLifecycleSettings lifecycleSettings(const LeafLimits &Limits) {
  LeafLifecycleSettings Result;
  Result.Slots = Limits.Slots;
  Result.ColdSlots = std::min(Limits.ColdSlots, Limits.Slots);
  return Result;
}

} // namespace

LeafTracker::LeafTracker(Leaf Info, const LeafLimits &Limits,
                         std::shared_ptr<LatencyBaseline> ServiceBaseline,
                         TimePoint Now)
    : Info(std::move(Info)), Lifecycle(lifecycleSettings(Limits), Now),
      Limit(Limits.Slots), Slots(Limits.Slots),
      ServiceBaseline(std::move(ServiceBaseline)) {}

int LeafTracker::limit(TimePoint Now) const {
  return std::min(this->Lifecycle.maxInFlight(Now), this->Limit.limit(Now));
}

int LeafTracker::freeSlots(TimePoint Now) const {
  return this->limit(Now) - this->InFlight - this->heldSlots();
}

bool LeafTracker::acceptsWork() const {
  const LeafPhase Phase = this->Lifecycle.phase();
  return Phase != LeafPhase::OutOfService && Phase != LeafPhase::Draining;
}

double LeafTracker::costMs(TimePoint Now) const {
  const double Latency = std::max(UnknownLatencyMs, this->Limit.latencyMs());
  const double Width = std::max(1, this->limit(Now));
  const double Cost =
      Latency * (1 + (this->InFlight + this->heldSlots()) / Width);
  return this->isStarved(Now) ? Cost / StarvedDiscount : Cost;
}

bool LeafTracker::isStarved(TimePoint Now) const {
  return this->limit(Now) < this->Slots && Now - this->LastSent >= StarvedAfter;
}

double LeafTracker::queuedLatencyMs(TimePoint Now) const {
  // The request in flight that ends next is half done on average.
  const double Ahead = static_cast<double>(this->Queue.size()) + 0.5;
  const double Width = std::max(1, this->limit(Now));
  return this->expectedLatencyMs() * (1 + Ahead / Width);
}

double LeafTracker::expectedLatencyMs() const {
  const double Ms = this->Limit.latencyMs();
  return Ms > 0 ? Ms : this->ServiceBaseline->ms();
}

void LeafTracker::onSent(TimePoint Now) {
  ++this->InFlight;
  this->LastSent = Now;
  this->PeakInFlight =
      std::max(this->PeakInFlight, this->InFlight + this->heldSlots());
  if (this->Lifecycle.phase() == LeafPhase::Failed)
    this->Lifecycle.onProbeSent(Now);
}

void LeafTracker::onEnded() { --this->InFlight; }

void LeafTracker::onEndedUnknown(TimePoint Until) {
  --this->InFlight;
  this->HeldUntil.insert(Until);
}

void LeafTracker::releaseExpiredHolds(TimePoint Now) {
  this->HeldUntil.erase(this->HeldUntil.begin(),
                        this->HeldUntil.upper_bound(Now));
}

TimePoint LeafTracker::nextWake(TimePoint Now) const {
  const TimePoint Change = this->Lifecycle.nextChange();
  // A hold that started late may have expired already; it is due at once.
  const TimePoint Hold =
      this->HeldUntil.empty() ? TimePoint::max() : *this->HeldUntil.begin();
  return std::min(Change > Now ? Change : TimePoint::max(), Hold);
}

void LeafTracker::rollPeak(Duration ReplyReadDelay, TimePoint Now) {
  if (Now - this->PeakStart < PeakWindow + ReplyReadDelay)
    return;
  this->PreviousPeak = this->PeakInFlight;
  this->PeakInFlight = this->InFlight + this->heldSlots();
  this->PeakStart = Now;
}

bool LeafTracker::isKnownWarm(TimePoint Now) const {
  return this->Lifecycle.phase() == LeafPhase::Warm &&
         Now - this->LastAnswer <= PhaseMemory;
}

bool LeafTracker::hasRecentColdSign(TimePoint Now) const {
  return this->LastColdSign != TimePoint{} &&
         Now - this->LastColdSign <= PhaseMemory;
}

void LeafTracker::markCold(TimePoint Now) {
  this->LastColdSign = Now;
  this->Lifecycle.onColdSign(Now);
}

void LeafTracker::markFailed(TimePoint Now) {
  this->LastColdSign = Now;
  this->Lifecycle.onFailure(Now);
}

void LeafTracker::handleConnectionFailure(const LeafReply &Reply,
                                          TimePoint Now) {
  // A pooled connection may go silent or be closed without a fault of the leaf;
  // the failure of a new connection is attributed to the leaf.
  if (Reply.Pooled) {
    this->SuspectConnections = true;
    return;
  }
  this->markFailed(Now);
}

void LeafTracker::onClosedByPeer(TimePoint Now) {
  if (!this->AnsweredSinceRefusal)
    return;
  this->AnsweredSinceRefusal = false;
  this->Limit.reset();
  this->markCold(Now);
}

Duration LeafTracker::attributableLatency(const AttemptTimes &Times) const {
  const auto KnownLatency = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->Limit.latencyMs()));
  return std::max(Times.Latency - Times.ReplyReadDelay,
                  std::min(Times.Latency, KnownLatency));
}

bool LeafTracker::hadTooLittleTime(const AttemptTimes &Times) const {
  const std::chrono::duration<double, std::milli> TimeBudget = Times.TimeBudget;
  return TimeBudget.count() < MinTimeBudgetRatio * this->Limit.latencyMs();
}

void LeafTracker::onReply(const LeafReply &Reply, const AttemptTimes &Times,
                          bool CountsAsLoss, TimePoint Now) {
  this->MeanInFlight.add(Times.Latency, Now);
  if (Reply.LoadInFlight >= 0) {
    this->Limit.onReportedLoad(Reply.LoadInFlight,
                               std::max(this->PeakInFlight, this->PreviousPeak),
                               Now);
    this->rollPeak(Times.ReplyReadDelay, Now);
  }
  if (!Reply.Instance.empty() && Reply.Instance != this->Instance) {
    if (!this->Instance.empty())
      this->markCold(Now);
    this->Instance = Reply.Instance;
  }
  if (Reply.Draining)
    this->Lifecycle.onDraining(Now);
  switch (Reply.Outcome) {
  case LeafOutcome::Ok:
    this->SuspectConnections = false;
    this->LastAnswer = Now;
    this->AnsweredSinceRefusal = true;
    this->RecentErrors =
        std::max(0.0, this->RecentErrors - ErrorDecayPerAnswer);
    if (!CountsAsLoss)
      this->HedgeLosses = 0;
    this->onAnswer(this->attributableLatency(Times), Now);
    return;
  case LeafOutcome::Shed:
    this->Limit.onShed(Now);
    return;
  case LeafOutcome::ConnectFailed:
    // A refusal after an answer means that the leaf is restarting.
    this->onClosedByPeer(Now);
    this->markFailed(Now);
    return;
  case LeafOutcome::ConnectionLost:
    // A reset, in contrast to silence, is a sign of a restart as well.
    this->onClosedByPeer(Now);
    this->handleConnectionFailure(Reply, Now);
    return;
  case LeafOutcome::Mismatch:
  case LeafOutcome::Abandoned:
    this->handleConnectionFailure(Reply, Now);
    return;
  case LeafOutcome::DeadlinePassed:
    if (this->hadTooLittleTime(Times))
      return;
    [[fallthrough]];
  case LeafOutcome::Failed:
    // A leaf that turned cold without another sign shows by errors that it
    // can't take its former load: by the first one on a new connection, or by
    // several close together.
    this->RecentErrors += 1;
    this->Limit.onShed(Now);
    if (!Reply.Pooled || this->RecentErrors >= ErrorsToTurnCold) {
      this->RecentErrors = 0;
      this->markCold(Now);
    }
    if (!CountsAsLoss)
      this->markFailed(Now);
    return;
  case LeafOutcome::NotHeld:
  case LeafOutcome::Cancelled:
  case LeafOutcome::Draining:
  case LeafOutcome::NoConnection:
    return;
  }
}

void LeafTracker::onAnswer(Duration Latency, TimePoint Now) {
  if (this->Limit.onAnswer(Latency, Now)) {
    this->markCold(Now);
    return;
  }
  const double Ms = std::chrono::duration<double, std::milli>(Latency).count();
  if (this->Lifecycle.phase() == LeafPhase::Warm) {
    this->ServiceBaseline->add(Ms);
    this->WarmBaselineMs = this->Limit.baselineMs();
  }
  const double Baseline =
      std::max(this->WarmBaselineMs, this->ServiceBaseline->ms());
  this->Lifecycle.onSuccess(Now, Baseline > 0 && Ms > SlowRampRatio * Baseline);
}

void LeafTracker::onHedgeLost(Duration Waited, int HedgeLossesToFail,
                              TimePoint Now) {
  this->Limit.onUnanswered(Waited);
  ++this->HedgeLosses;
  if (this->HedgeLosses >= HedgeLossesToFail)
    this->markFailed(Now);
}

void LeafTracker::dump(boost::json::object &Into, TimePoint Now) const {
  Into["id"] = this->Info.Id;
  Into["phase"] = toString(this->Lifecycle.phase());
  Into["limit"] = this->limit(Now);
  Into["in_work"] = this->InFlight;
  Into["held"] = this->heldSlots();
  Into["queued"] = this->Queue.size();
  Into["latency_ms"] = this->Limit.latencyMs();
  Into["second_sender"] = this->Limit.hasSecondSender(Now);
  Into["suspect_connections"] = this->SuspectConnections;
}

} // namespace citronlever
