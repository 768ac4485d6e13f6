#include "citronlever/src/Dispatch/ReplicaStats.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

namespace {

/// Part of a new sample in the mean.
constexpr double SampleWeight = 0.3;
/// A single pause must not count like a slow leaf.
constexpr double MaxSampleRatio = 4;
/// Time in which half of what was learned of a leaf's speed fades.
constexpr Duration SlownessHalfLife = Seconds(4);
/// Time in which half of a reported load has gone.
constexpr Duration LoadHalfLife = Milliseconds(30);
/// An outstanding call older than so many typical latencies shows a pause.
constexpr double StallRatio = 2.5;
/// A call given up at so many typical latencies counts as a failure.
constexpr double SilenceRatio = 8;
constexpr double FailureWeight = 0.2;
/// Cost of a leaf that fails every call, beside its latency.
constexpr double FailureCost = 6;
constexpr int FailuresToExclude = 2;
/// Cost of a leaf that was silent or unreachable and has not answered since.
constexpr double SuspectCost = 5;
constexpr Duration MinExclusion = Milliseconds(100);
constexpr int MaxExclusionDoublings = 4;
/// Pause after a refusal, in which the queue that caused it shrinks.
constexpr double ShedRatio = 3;
/// Share of slowness above which a leaf counts as not chosen.
constexpr double ProbeSlowness = 1.6;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double decayed(double Value, Duration Age, Duration HalfLife) {
  return Value * std::exp2(-seconds(Age) / seconds(HalfLife));
}

} // namespace

void ReplicaStats::onSent(CallId Call, TimePoint Now) {
  this->Calls.push_back({Call, Now});
  this->LastSendAt = Now;
}

bool ReplicaStats::removeCall(CallId Call, TimePoint &Sent) {
  const auto Found = std::find_if(
      this->Calls.begin(), this->Calls.end(),
      [&](const OutstandingCall &Item) { return Item.Call == Call; });
  if (Found == this->Calls.end())
    return false;
  Sent = Found->Sent;
  this->Calls.erase(Found);
  return true;
}

void ReplicaStats::addSample(double Ratio, TimePoint Now) {
  const double Previous = this->slowness(Now);
  this->Slowness =
      Previous + SampleWeight * (std::min(Ratio, MaxSampleRatio) - Previous);
  this->SampledAt = Now;
}

void ReplicaStats::onAnswer(CallId Call, Duration TypicalLatency,
                            TimePoint Now) {
  TimePoint Sent;
  if (!this->removeCall(Call, Sent))
    return;
  this->addSample(seconds(Now - Sent) / seconds(TypicalLatency), Now);
  this->FailureRate *= 1 - FailureWeight;
  this->ConsecutiveFailures = 0;
  this->ExcludedUntil = {};
}

void ReplicaStats::onShed(CallId Call, TimePoint Now) {
  TimePoint Sent;
  if (this->removeCall(Call, Sent))
    this->addSample(ShedRatio, Now);
}

void ReplicaStats::onFailure(CallId Call) {
  TimePoint Sent;
  if (!this->removeCall(Call, Sent))
    return;
  this->FailureRate += FailureWeight * (1 - this->FailureRate);
}

void ReplicaStats::onAbandon(CallId Call, Duration TypicalLatency,
                             TimePoint Now) {
  TimePoint Sent;
  if (!this->removeCall(Call, Sent))
    return;
  const double Ratio = seconds(Now - Sent) / seconds(TypicalLatency);
  if (Ratio > this->slowness(Now))
    this->addSample(Ratio, Now);
  if (Ratio > SilenceRatio && ++this->ConsecutiveFailures >= FailuresToExclude)
    this->exclude(Now);
}

void ReplicaStats::onUnreachable(TimePoint Now) {
  ++this->ConsecutiveFailures;
  this->exclude(Now);
}

void ReplicaStats::exclude(TimePoint Now) {
  const int Doublings =
      std::min(this->ConsecutiveFailures - 1, MaxExclusionDoublings);
  this->ExcludedUntil = Now + MinExclusion * (1 << std::max(0, Doublings));
}

void ReplicaStats::onLoadReport(ReportedLoad NewLoad, TimePoint Now) {
  this->Load = NewLoad;
  this->LoadReportedAt = Now;
}

double ReplicaStats::slowness(TimePoint Now) const {
  return 1 +
         decayed(this->Slowness - 1, Now - this->SampledAt, SlownessHalfLife);
}

bool ReplicaStats::isSuspect() const {
  return this->ConsecutiveFailures >= FailuresToExclude;
}

bool ReplicaStats::isAvailable(TimePoint Now) const {
  if (this->isExcluded(Now))
    return false;
  return !this->isSuspect() || this->Calls.empty();
}

double ReplicaStats::estimatedLoad(TimePoint Now) const {
  const double Own = static_cast<double>(this->Calls.size());
  const double Reported = decayed(this->Load.Running + this->Load.Waiting,
                                  Now - this->LoadReportedAt, LoadHalfLife);
  return std::max(Own, Reported);
}

std::optional<double> ReplicaStats::reportedQueue(TimePoint Now) const {
  if (this->LoadReportedAt == TimePoint{} ||
      Now - this->LoadReportedAt > QueueReportMaxAge)
    return std::nullopt;
  return static_cast<double>(this->Load.Waiting) /
         std::max(1, this->Load.Slots);
}

bool ReplicaStats::isFull(std::size_t Unsent, TimePoint Now) const {
  return this->estimatedLoad(Now) + static_cast<double>(Unsent) >=
         std::max(1, this->Load.Slots);
}

double ReplicaStats::cost(Duration TypicalLatency, TimePoint Now) const {
  const double Slots = std::max(1, this->Load.Slots);
  const double Queued = std::max(0.0, this->estimatedLoad(Now) + 1 - Slots);
  double EffectiveSlowness = std::max(0.1, this->slowness(Now));
  for (const OutstandingCall &Item : this->Calls) {
    const double Age = seconds(Now - Item.Sent) / seconds(TypicalLatency);
    if (Age > StallRatio * EffectiveSlowness)
      EffectiveSlowness = Age;
  }
  // A busy leaf is slower even before its slots are full.
  const double BusyTerm = 0.25 * this->estimatedLoad(Now) / Slots;
  // What is not known to be back is tried by copies while a sibling is sound.
  const double SuspectTerm = this->isSuspect() ? SuspectCost : 0;
  return EffectiveSlowness * (1 + BusyTerm + Queued / Slots) +
         FailureCost * this->FailureRate + SuspectTerm;
}

bool ReplicaStats::tryTakeProbe(TimePoint Now) {
  if (this->isExcluded(Now) || !this->Calls.empty())
    return false;
  if (this->slowness(Now) < ProbeSlowness && this->ConsecutiveFailures == 0)
    return false;
  if (Now - this->LastSendAt < ProbePeriod)
    return false;
  this->LastSendAt = Now;
  return true;
}

} // namespace citronlever
