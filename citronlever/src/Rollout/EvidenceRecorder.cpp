#include "citronlever/src/Rollout/EvidenceRecorder.h"

#include <algorithm>

namespace citronlever {

bool EvidenceRecorder::isStarting(const LeafCallSample &Sample,
                                  const LeafActivity &Leaf, TimePoint Now) {
  // A leaf of the new version may be cold for longer than its owner assumes.
  const bool IsYoung =
      Sample.Side == VersionSide::New && Now - Leaf.FirstCall < MinStartTime;
  return IsYoung || Sample.Stage != LeafStage::Warm;
}

/// \returns the expected slowdown of a starting leaf relative to the baseline;
/// 0 if unknown.
double EvidenceRecorder::startSlowdown(const LeafCallSample &Sample) const {
  double Result = Sample.ColdFactor;
  const auto Old =
      this->Routes.find({std::string(Sample.Route), VersionSide::Old});
  const double BaselineMs =
      Old == this->Routes.end() ? 0 : Old->second.BaselineMs;
  if (Sample.ExpectedStartMs > 0 && BaselineMs > 0)
    Result = std::max({1.0, Result, Sample.ExpectedStartMs / BaselineMs});
  return Result;
}

void EvidenceRecorder::add(const LeafCallSample &Sample, TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  RouteState &State = this->Routes[{std::string(Sample.Route), Sample.Side}];
  const auto [Found, IsFirstCall] =
      State.Leaves.try_emplace(std::string(Sample.Leaf));
  LeafActivity &Leaf = Found->second;
  if (IsFirstCall)
    Leaf.FirstCall = Now;
  Leaf.LastCall = Now;
  ++State.Interval.Calls;
  if (Sample.Failed) {
    ++State.Interval.Failures;
    Leaf.Failing = true;
    return;
  }
  if (!isStarting(Sample, Leaf, Now)) {
    State.Interval.Latency.add(Sample.LatencyMs);
    State.WarmLatency.add(Sample.LatencyMs);
    return;
  }
  const double Slowdown = this->startSlowdown(Sample);
  if (Slowdown > 0)
    State.Interval.Latency.add(Sample.LatencyMs / Slowdown);
}

std::vector<RouteEvidence> EvidenceRecorder::takeInterval(TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  std::vector<RouteEvidence> Result;
  for (auto &[Key, State] : this->Routes) {
    if (State.WarmLatency.total() >= CallsPerBaseline) {
      State.BaselineMs = State.WarmLatency.quantileMs(0.5);
      State.WarmLatency = {};
    }
    RouteEvidence Interval = std::move(State.Interval);
    State.Interval = {};
    Interval.Route = Key.first;
    Interval.Side = Key.second;
    for (auto &Item : State.Leaves) {
      LeafActivity &Leaf = Item.second;
      Interval.LeavesSeen += Now - Leaf.LastCall <= RecentCallWindow ? 1 : 0;
      Interval.LeavesFailing += Leaf.Failing ? 1 : 0;
      Leaf.Failing = false;
    }
    if (Interval.Calls > 0)
      Result.push_back(std::move(Interval));
  }
  return Result;
}

} // namespace citronlever
