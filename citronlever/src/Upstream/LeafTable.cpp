#include "citronlever/src/Upstream/LeafTable.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever {

LeafIndex LeafTable::add(const Leaf &Info, const LeafLimits &Limits,
                         TimePoint Now) {
  const LeafIndex Found = this->find(Info.Id);
  if (Found == None) {
    const auto Index = static_cast<LeafIndex>(this->Leaves.size());
    this->Leaves.emplace_back(Info, Limits, this->ServiceBaseline, Now);
    this->ById.emplace(Info.Id, Index);
    return Index;
  }
  LeafTracker &Existing = this->Leaves[Found];
  if (Existing.Info.Address != Info.Address)
    Existing.Lifecycle.onColdSign(Now);
  Existing.Info = Info;
  return Found;
}

LeafIndex LeafTable::find(std::string_view Id) const {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? None : Found->second;
}

void LeafTable::setInService(LeafIndex Index, bool InService, TimePoint Now) {
  LeafLifecycle &Lifecycle = this->Leaves[Index].Lifecycle;
  if (InService)
    Lifecycle.returnToService(Now);
  else
    Lifecycle.takeOutOfService(Now);
}

void LeafTable::onOwnershipGained(LeafIndex Index, TimePoint Now) {
  this->Leaves[Index].Lifecycle.onColdSign(Now);
}

void LeafTable::onWarmHandover(LeafIndex Index, TimePoint Now) {
  this->Leaves[Index].Lifecycle.onWarmHandover(Now);
}

void LeafTable::onClosedByPeer(LeafIndex Index, TimePoint Now) {
  this->Leaves[Index].onClosedByPeer(Now);
}

LeafIndex LeafTable::chooseReplica(std::span<const LeafIndex> Replicas,
                                   std::span<const LeafIndex> Tried, bool Hedge,
                                   TimePoint Now) const {
  LeafIndex Best = None;
  double BestCost = 0;
  bool BestFailed = false;
  for (const LeafIndex Replica : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    const bool AlreadyTried = std::ranges::find(Tried, Replica) != Tried.end();
    const bool Failed = Leaf.Lifecycle.phase() == LeafPhase::Failed;
    if (AlreadyTried || (Hedge && Failed) || Leaf.freeSlots(Now) <= 0)
      continue;
    const double Cost = Leaf.costMs(Now);
    // A failed leaf whose probe is due is preferred: the hedge, which is sent
    // at once, keeps the job from waiting for the probe.
    const bool Better = Failed != BestFailed ? Failed : Cost < BestCost;
    if (Best != None && !Better)
      continue;
    Best = Replica;
    BestCost = Cost;
    BestFailed = Failed;
  }
  return Best;
}

double LeafTable::minExpectedMs(std::span<const LeafIndex> Replicas) const {
  double Quickest = 0;
  for (const LeafIndex Replica : Replicas) {
    const double Ms = this->Leaves[Replica].expectedLatencyMs();
    Quickest = Quickest == 0 ? Ms : std::min(Quickest, Ms);
  }
  return Quickest;
}

LeafIndex LeafTable::chooseRecoveryProbe(std::span<const LeafIndex> Replicas,
                                         const SchedulerSettings &Settings,
                                         TimePoint Now) const {
  const double Quickest = this->minExpectedMs(Replicas);
  for (const LeafIndex Replica : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    const bool Slow =
        Leaf.Lifecycle.phase() != LeafPhase::Failed &&
        Leaf.Limit.latencyMs() > Settings.SlowLatencyRatio * Quickest;
    const bool Due = Now - Leaf.lastSent() >= Settings.RecoveryProbeInterval;
    if (Slow && Due && Leaf.freeSlots(Now) > 0)
      return Replica;
  }
  return None;
}

LeafIndex LeafTable::chooseQuickReplica(std::span<const LeafIndex> Replicas,
                                        double SlowLatencyRatio,
                                        TimePoint Now) const {
  const double Quickest = this->minExpectedMs(Replicas);
  for (const LeafIndex Replica : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    const bool Quick = Leaf.Lifecycle.phase() != LeafPhase::Failed &&
                       Leaf.Limit.latencyMs() <= SlowLatencyRatio * Quickest;
    if (Quick && Leaf.freeSlots(Now) > 0)
      return Replica;
  }
  return None;
}

bool LeafTable::shouldWaitForFaster(LeafIndex Chosen,
                                    std::span<const LeafIndex> Replicas,
                                    std::span<const LeafIndex> Tried,
                                    double SlowLatencyRatio,
                                    TimePoint Now) const {
  const LeafTracker &Candidate = this->Leaves[Chosen];
  const double Ms = Candidate.Limit.latencyMs();
  // The request to a failed leaf is a probe, which is hedged at once.
  if (Candidate.Lifecycle.phase() == LeafPhase::Failed ||
      Ms <= SlowLatencyRatio * this->minExpectedMs(Replicas))
    return false;
  return std::ranges::any_of(Replicas, [&](LeafIndex Replica) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    const bool AlreadyTried = std::ranges::find(Tried, Replica) != Tried.end();
    const bool Failed = Leaf.Lifecycle.phase() == LeafPhase::Failed;
    // Only a leaf with requests in flight will free a slot soon.
    const bool Busy =
        Leaf.acceptsWork() && Leaf.inFlight() > 0 && Leaf.freeSlots(Now) <= 0;
    return !AlreadyTried && !Failed && Busy && Leaf.queuedLatencyMs(Now) < Ms;
  });
}

void LeafTable::enqueue(const QueueKey &Key,
                        std::span<const LeafIndex> Replicas,
                        std::span<const LeafIndex> Tried, double OutlierRatio,
                        TimePoint Now) {
  const auto MayWait = [&](LeafIndex Replica) {
    return this->Leaves[Replica].acceptsWork() &&
           std::ranges::find(Tried, Replica) == Tried.end();
  };
  double Best = 0;
  for (const LeafIndex Replica : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    if (!MayWait(Replica) || Leaf.Lifecycle.phase() == LeafPhase::Failed)
      continue;
    // The assumed latency of a leaf that has not answered is no reference.
    if (Leaf.Limit.latencyMs() <= 0)
      continue;
    const double Ms = Leaf.costMs(Now);
    Best = Best == 0 ? Ms : std::min(Best, Ms);
  }
  for (const LeafIndex Replica : Replicas) {
    LeafTracker &Leaf = this->Leaves[Replica];
    const bool Slow = Best > 0 && Leaf.costMs(Now) > OutlierRatio * Best;
    if (MayWait(Replica) && !Slow)
      Leaf.Queue.insert(Key);
  }
}

void LeafTable::dequeue(const QueueKey &Key,
                        std::span<const LeafIndex> Replicas) {
  for (const LeafIndex Replica : Replicas)
    this->Leaves[Replica].Queue.erase(Key);
}

bool LeafTable::shouldShed(const ShardJob &Job, TimePoint Now) const {
  const std::chrono::duration<double, std::milli> TimeLeft = Job.Deadline - Now;
  const QueueKey Key{Job.Priority + 1, TimePoint::min(), 0};
  for (const LeafIndex Replica : Job.Replicas) {
    const LeafTracker &Leaf = this->Leaves[Replica];
    if (!Leaf.acceptsWork())
      continue;
    const auto Ahead =
        std::distance(Leaf.Queue.begin(), Leaf.Queue.lower_bound(Key));
    const double Width = std::max(1, Leaf.limit(Now));
    // Only half of the queue counts, since each queued job may also be sent to
    // another replica.
    const double Rounds = 1 + static_cast<double>(Ahead) / (2 * Width);
    if (Rounds * Leaf.expectedLatencyMs() <= TimeLeft.count())
      return false;
  }
  return true;
}

void LeafTable::dump(boost::json::object &Into, TimePoint Now) const {
  boost::json::array List;
  for (const LeafTracker &Leaf : this->Leaves) {
    boost::json::object Entry;
    Leaf.dump(Entry, Now);
    List.emplace_back(std::move(Entry));
  }
  Into["leaves"] = std::move(List);
}

} // namespace citronlever
