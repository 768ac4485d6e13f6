#include "citronlever/src/Dispatch/ReplicaStats.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

namespace {

/// Weight of a new sample in the moving average.
constexpr double SampleWeight = 0.3;
/// Upper bound of one sample, so that a single pause does not make a leaf look
/// slow.
constexpr double MaxSampleRatio = 4;
/// Half-life of the difference between a leaf's slowness and 1.
constexpr Duration SlownessHalfLife = Seconds(4);
/// Half-life of a reported load.
constexpr Duration LoadHalfLife = Milliseconds(30);
/// An outstanding call whose age exceeds the leaf's expected latency by this
/// factor indicates a pause.
constexpr double StallRatio = 2.5;
/// A call abandoned after this many typical latencies counts as a failure.
constexpr double SilenceRatio = 8;
/// Weight of a new outcome in the failure rate.
constexpr double FailureWeight = 0.2;
/// Added cost of a leaf that fails every call.
constexpr double FailureCost = 6;
/// Failures in a row after which a leaf is excluded and suspect.
constexpr int FailuresToExclude = 2;
/// Added cost of a suspect leaf.
constexpr double SuspectCost = 5;
/// Duration of the first exclusion.
constexpr Duration MinExclusion = Milliseconds(100);
constexpr int MaxExclusionDoublings = 4;
/// Latency sample recorded for a refused call, so that the leaf gets fewer
/// calls while the queue that caused the refusal shrinks.
constexpr double ShedRatio = 3;
/// Slowness from which a leaf is probed.
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
  // While another replica is healthy, a suspect leaf is only probed.
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
