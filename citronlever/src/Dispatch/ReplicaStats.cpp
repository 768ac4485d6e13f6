#include "citronlever/src/Dispatch/ReplicaStats.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

namespace {

/// Part of a new sample in the mean.
constexpr double SampleWeight = 0.3;
/// A single pause must not count like a slow leaf.
constexpr double SampleClip = 4;
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
constexpr Duration ExcludeMin = Milliseconds(100);
constexpr int ExcludeMaxDoublings = 4;
/// Pause after a refusal, in which the queue that caused it shrinks.
constexpr double ShedSample = 3;
/// Share of slowness above which a leaf counts as not chosen.
constexpr double ProbeAbove = 1.6;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double halved(double Value, Duration Age, Duration HalfLife) {
  return Value * std::exp2(-seconds(Age) / seconds(HalfLife));
}

} // namespace

void ReplicaStats::sent(CallId Call, TimePoint Now) {
  this->Calls.push_back({Call, Now});
  this->LastUse = Now;
}

bool ReplicaStats::take(CallId Call, TimePoint &Sent) {
  const auto Found =
      std::find_if(this->Calls.begin(), this->Calls.end(),
                   [&](const Outstanding &Item) { return Item.Call == Call; });
  if (Found == this->Calls.end())
    return false;
  Sent = Found->Sent;
  this->Calls.erase(Found);
  return true;
}

void ReplicaStats::sample(double Ratio, TimePoint Now) {
  const double Old = this->slowness(Now);
  this->Slowness = Old + SampleWeight * (std::min(Ratio, SampleClip) - Old);
  this->SampledAt = Now;
}

void ReplicaStats::answered(CallId Call, Duration Typical, TimePoint Now) {
  TimePoint Sent;
  if (!this->take(Call, Sent))
    return;
  this->sample(seconds(Now - Sent) / seconds(Typical), Now);
  this->FailureShare *= 1 - FailureWeight;
  this->FailuresInRow = 0;
  this->ExcludedUntil = {};
}

void ReplicaStats::shed(CallId Call, TimePoint Now) {
  TimePoint Sent;
  if (this->take(Call, Sent))
    this->sample(ShedSample, Now);
}

void ReplicaStats::failed(CallId Call) {
  TimePoint Sent;
  if (!this->take(Call, Sent))
    return;
  this->FailureShare += FailureWeight * (1 - this->FailureShare);
}

void ReplicaStats::abandoned(CallId Call, Duration Typical, TimePoint Now) {
  TimePoint Sent;
  if (!this->take(Call, Sent))
    return;
  const double Ratio = seconds(Now - Sent) / seconds(Typical);
  if (Ratio > this->slowness(Now))
    this->sample(Ratio, Now);
  if (Ratio > SilenceRatio && ++this->FailuresInRow >= FailuresToExclude)
    this->exclude(Now);
}

void ReplicaStats::unreachable(TimePoint Now) {
  ++this->FailuresInRow;
  this->exclude(Now);
}

void ReplicaStats::exclude(TimePoint Now) {
  const int Doublings = std::min(this->FailuresInRow - 1, ExcludeMaxDoublings);
  this->ExcludedUntil = Now + ExcludeMin * (1 << std::max(0, Doublings));
}

void ReplicaStats::reported(ReportedLoad NewLoad, TimePoint Now) {
  this->Load = NewLoad;
  this->LoadAt = Now;
}

double ReplicaStats::slowness(TimePoint Now) const {
  return 1 +
         halved(this->Slowness - 1, Now - this->SampledAt, SlownessHalfLife);
}

bool ReplicaStats::suspect() const {
  return this->FailuresInRow >= FailuresToExclude;
}

bool ReplicaStats::available(TimePoint Now) const {
  if (this->excluded(Now))
    return false;
  return !this->suspect() || this->Calls.empty();
}

double ReplicaStats::load(TimePoint Now) const {
  const double Own = static_cast<double>(this->Calls.size());
  const double Reported = halved(this->Load.Running + this->Load.Waiting,
                                 Now - this->LoadAt, LoadHalfLife);
  return std::max(Own, Reported);
}

std::optional<double> ReplicaStats::reportedQueue(TimePoint Now) const {
  if (this->LoadAt == TimePoint{} || Now - this->LoadAt > QueueFresh)
    return std::nullopt;
  return static_cast<double>(this->Load.Waiting) /
         std::max(1, this->Load.Slots);
}

bool ReplicaStats::full(std::size_t Unsent, TimePoint Now) const {
  return this->load(Now) + static_cast<double>(Unsent) >=
         std::max(1, this->Load.Slots);
}

double ReplicaStats::cost(Duration Typical, TimePoint Now) const {
  const double Slots = std::max(1, this->Load.Slots);
  const double Queued = std::max(0.0, this->load(Now) + 1 - Slots);
  double Speed = std::max(0.1, this->slowness(Now));
  for (const Outstanding &Item : this->Calls) {
    const double Age = seconds(Now - Item.Sent) / seconds(Typical);
    if (Age > StallRatio * Speed)
      Speed = Age;
  }
  // A busy leaf is slower even before its slots are full.
  const double Busy = 0.25 * this->load(Now) / Slots;
  // What is not known to be back is tried by copies while a sibling is sound.
  const double Doubt = this->suspect() ? SuspectCost : 0;
  return Speed * (1 + Busy + Queued / Slots) +
         FailureCost * this->FailureShare + Doubt;
}

bool ReplicaStats::takeProbe(TimePoint Now) {
  if (this->excluded(Now) || !this->Calls.empty())
    return false;
  if (this->slowness(Now) < ProbeAbove && this->FailuresInRow == 0)
    return false;
  if (Now - this->LastUse < ProbePeriod)
    return false;
  this->LastUse = Now;
  return true;
}

} // namespace citronlever
