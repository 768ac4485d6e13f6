#include "citronlever/src/Upstream/LeafTracker.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever {

namespace {

/// Expected latency of a leaf that has not answered yet.
constexpr double UnknownLatencyMs = 1;
/// A leaf below its slots that had no request for so long counts as this much
/// quicker: its share grows with its answers alone.
constexpr Duration StarvedAfter = Milliseconds(100);
constexpr double StarvedDiscount = 1.5;
/// A ramping leaf whose answers take this many times the baseline is cold yet.
constexpr double SlowRatio = 2;
/// Replies that lay unread together are read in any order: a reported load is
/// compared with what was in work during this time at least.
constexpr Duration PeakWindow = Milliseconds(20);
/// A leaf that was given less than so many times its latency is not to blame
/// for the deadline.
constexpr double HurriedRatio = 4;
constexpr double ErrorsToTurnCold = 1.5;
/// One error is forgotten after twenty answers.
constexpr double ErrorsForgottenByAnswer = 0.05;

/// Time after its last answer for which a leaf counts as it was then, and time
/// for which a sign of a cold start is told to the next owner.
constexpr Duration KnownFor = Seconds(3);

LeafLifecycleSettings stateSettings(const LeafLimits &Limits) {
  LeafLifecycleSettings Result;
  Result.Slots = Limits.Slots;
  Result.ColdSlots = std::min(Limits.ColdSlots, Limits.Slots);
  return Result;
}

} // namespace

LeafTracker::LeafTracker(Leaf Info, const LeafLimits &Limits,
                         std::shared_ptr<LatencyBaseline> Typical,
                         TimePoint Now)
    : Info(std::move(Info)), State(stateSettings(Limits), Now),
      Limit(Limits.Slots), Slots(Limits.Slots), Typical(std::move(Typical)) {}

int LeafTracker::limit(TimePoint Now) const {
  return std::min(this->State.allowed(Now), this->Limit.limit(Now));
}

int LeafTracker::freeSlots(TimePoint Now) const {
  return this->limit(Now) - this->InWork - this->held();
}

bool LeafTracker::serves() const {
  const LeafPhase Phase = this->State.phase();
  return Phase != LeafPhase::Out && Phase != LeafPhase::Draining;
}

double LeafTracker::cost(TimePoint Now) const {
  const double Latency = std::max(UnknownLatencyMs, this->Limit.latencyMs());
  const double Width = std::max(1, this->limit(Now));
  const double Cost = Latency * (1 + (this->InWork + this->held()) / Width);
  return this->starved(Now) ? Cost / StarvedDiscount : Cost;
}

bool LeafTracker::starved(TimePoint Now) const {
  return this->limit(Now) < this->Slots && Now - this->LastSent >= StarvedAfter;
}

double LeafTracker::waitingMs(TimePoint Now) const {
  // The request in work that ends next is half done on average.
  const double Ahead = static_cast<double>(this->Queue.size()) + 0.5;
  const double Width = std::max(1, this->limit(Now));
  return this->expectedMs() * (1 + Ahead / Width);
}

double LeafTracker::expectedMs() const {
  const double Ms = this->Limit.latencyMs();
  return Ms > 0 ? Ms : this->Typical->ms();
}

void LeafTracker::sent(TimePoint Now) {
  ++this->InWork;
  this->LastSent = Now;
  this->PeakInWork = std::max(this->PeakInWork, this->InWork + this->held());
  if (this->State.phase() == LeafPhase::Failed)
    this->State.probed(Now);
}

void LeafTracker::ended() { --this->InWork; }

void LeafTracker::endedUnknown(TimePoint Until) {
  --this->InWork;
  this->Holds.insert(Until);
}

void LeafTracker::releaseHolds(TimePoint Now) {
  this->Holds.erase(this->Holds.begin(), this->Holds.upper_bound(Now));
}

TimePoint LeafTracker::nextWake(TimePoint Now) const {
  const TimePoint Change = this->State.nextChange();
  // A hold that began late may have ended already: it is due at once.
  const TimePoint Hold =
      this->Holds.empty() ? TimePoint::max() : *this->Holds.begin();
  return std::min(Change > Now ? Change : TimePoint::max(), Hold);
}

void LeafTracker::startPeak(Duration OwnDelay, TimePoint Now) {
  if (Now - this->PeakSince < PeakWindow + OwnDelay)
    return;
  this->LastPeak = this->PeakInWork;
  this->PeakInWork = this->InWork + this->held();
  this->PeakSince = Now;
}

bool LeafTracker::knownWarm(TimePoint Now) const {
  return this->State.phase() == LeafPhase::Warm &&
         Now - this->LastAnswer <= KnownFor;
}

bool LeafTracker::turnedColdLately(TimePoint Now) const {
  return this->LastSign != TimePoint{} && Now - this->LastSign <= KnownFor;
}

void LeafTracker::turnCold(TimePoint Now) {
  this->LastSign = Now;
  this->State.turnedCold(Now);
}

void LeafTracker::fail(TimePoint Now) {
  this->LastSign = Now;
  this->State.failed(Now);
}

void LeafTracker::blame(const LeafReply &Reply, TimePoint Now) {
  // A pooled connection may have gone silent or been closed by itself; only a
  // new one that fails as well is the leaf's doing.
  if (Reply.Pooled) {
    this->Suspect = true;
    return;
  }
  this->fail(Now);
}

void LeafTracker::closedByPeer(TimePoint Now) {
  if (!this->AnsweredSinceRefusal)
    return;
  this->AnsweredSinceRefusal = false;
  this->Limit.reset();
  this->turnCold(Now);
}

Duration LeafTracker::withoutOwnDelay(const AttemptTimes &Took) const {
  const auto Known = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(this->Limit.latencyMs()));
  return std::max(Took.Latency - Took.OwnDelay, std::min(Took.Latency, Known));
}

bool LeafTracker::hurried(const AttemptTimes &Took) const {
  const std::chrono::duration<double, std::milli> Given = Took.Given;
  return Given.count() < HurriedRatio * this->Limit.latencyMs();
}

void LeafTracker::learn(const LeafReply &Reply, const AttemptTimes &Took,
                        bool Losing, TimePoint Now) {
  this->Busy.add(Took.Latency, Now);
  if (Reply.LoadInWork >= 0) {
    this->Limit.reported(Reply.LoadInWork,
                         std::max(this->PeakInWork, this->LastPeak), Now);
    this->startPeak(Took.OwnDelay, Now);
  }
  if (!Reply.Instance.empty() && Reply.Instance != this->Instance) {
    if (!this->Instance.empty())
      this->turnCold(Now);
    this->Instance = Reply.Instance;
  }
  if (Reply.Draining)
    this->State.draining(Now);
  switch (Reply.Outcome) {
  case LeafOutcome::Ok:
    this->Suspect = false;
    this->LastAnswer = Now;
    this->AnsweredSinceRefusal = true;
    this->RecentErrors =
        std::max(0.0, this->RecentErrors - ErrorsForgottenByAnswer);
    if (!Losing)
      this->Losses = 0;
    this->answered(this->withoutOwnDelay(Took), Now);
    return;
  case LeafOutcome::Shed:
    this->Limit.shed(Now);
    return;
  case LeafOutcome::ConnectFailed:
    // Refused after it had answered: the leaf is restarting.
    this->closedByPeer(Now);
    this->fail(Now);
    return;
  case LeafOutcome::ConnectionLost:
    // Reset rather than silent: as above.
    this->closedByPeer(Now);
    this->blame(Reply, Now);
    return;
  case LeafOutcome::Mismatch:
  case LeafOutcome::Abandoned:
    this->blame(Reply, Now);
    return;
  case LeafOutcome::DeadlinePassed:
    if (this->hurried(Took))
      return;
    [[fallthrough]];
  case LeafOutcome::Failed:
    // The first errors of a new connection, or several close to each other,
    // are how a leaf shows that it cannot bear its former share.
    this->RecentErrors += 1;
    this->Limit.shed(Now);
    if (!Reply.Pooled || this->RecentErrors >= ErrorsToTurnCold) {
      this->RecentErrors = 0;
      this->turnCold(Now);
    }
    if (!Losing)
      this->fail(Now);
    return;
  case LeafOutcome::NotHeld:
  case LeafOutcome::Cancelled:
  case LeafOutcome::Draining:
  case LeafOutcome::NoConnection:
    return;
  }
}

void LeafTracker::answered(Duration Latency, TimePoint Now) {
  if (this->Limit.answered(Latency, Now)) {
    this->turnCold(Now);
    return;
  }
  const double Ms = std::chrono::duration<double, std::milli>(Latency).count();
  if (this->State.phase() == LeafPhase::Warm) {
    this->Typical->add(Ms);
    this->WarmMs = this->Limit.baselineMs();
  }
  const double Baseline = std::max(this->WarmMs, this->Typical->ms());
  this->State.succeeded(Now, Baseline > 0 && Ms > SlowRatio * Baseline);
}

void LeafTracker::lost(Duration Waited, int LossesToFail, TimePoint Now) {
  this->Limit.unanswered(Waited);
  ++this->Losses;
  if (this->Losses >= LossesToFail)
    this->fail(Now);
}

void LeafTracker::dump(boost::json::object &Into, TimePoint Now) const {
  Into["id"] = this->Info.Id;
  Into["phase"] = toString(this->State.phase());
  Into["limit"] = this->limit(Now);
  Into["in_work"] = this->InWork;
  Into["held"] = this->held();
  Into["queued"] = this->Queue.size();
  Into["latency_ms"] = this->Limit.latencyMs();
  Into["second_sender"] = this->Limit.secondSender(Now);
  Into["suspect_connections"] = this->Suspect;
}

} // namespace citronlever
