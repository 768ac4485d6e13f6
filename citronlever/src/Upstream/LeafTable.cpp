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
    this->Leaves.emplace_back(Info, Limits, this->Typical, Now);
    this->ById.emplace(Info.Id, Index);
    return Index;
  }
  LeafTracker &Known = this->Leaves[Found];
  if (Known.Info.Address != Info.Address)
    Known.State.turnedCold(Now);
  Known.Info = Info;
  return Found;
}

LeafIndex LeafTable::find(std::string_view Id) const {
  const auto Found = this->ById.find(Id);
  return Found == this->ById.end() ? None : Found->second;
}

void LeafTable::setInService(LeafIndex Which, bool InService, TimePoint Now) {
  LeafLifecycle &State = this->Leaves[Which].State;
  if (InService)
    State.putIn(Now);
  else
    State.takenOut(Now);
}

void LeafTable::ownershipGained(LeafIndex Which, TimePoint Now) {
  this->Leaves[Which].State.turnedCold(Now);
}

void LeafTable::vouched(LeafIndex Which, TimePoint Now) {
  this->Leaves[Which].State.vouched(Now);
}

void LeafTable::closedByPeer(LeafIndex Which, TimePoint Now) {
  this->Leaves[Which].closedByPeer(Now);
}

LeafIndex LeafTable::choose(std::span<const LeafIndex> Replicas,
                            std::span<const LeafIndex> Tried, bool Hedge,
                            TimePoint Now) const {
  LeafIndex Best = None;
  double BestCost = 0;
  bool BestFailed = false;
  for (const LeafIndex Each : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Each];
    const bool Again = std::ranges::find(Tried, Each) != Tried.end();
    const bool Failed = Leaf.State.phase() == LeafPhase::Failed;
    if (Again || (Hedge && Failed) || Leaf.freeSlots(Now) <= 0)
      continue;
    const double Cost = Leaf.cost(Now);
    // A failed leaf whose probe is due goes first: the hedge covers the job.
    const bool Better = Failed != BestFailed ? Failed : Cost < BestCost;
    if (Best != None && !Better)
      continue;
    Best = Each;
    BestCost = Cost;
    BestFailed = Failed;
  }
  return Best;
}

double LeafTable::quickestMs(std::span<const LeafIndex> Replicas) const {
  double Quickest = 0;
  for (const LeafIndex Each : Replicas) {
    const double Ms = this->Leaves[Each].expectedMs();
    Quickest = Quickest == 0 ? Ms : std::min(Quickest, Ms);
  }
  return Quickest;
}

LeafIndex LeafTable::chooseAvoided(std::span<const LeafIndex> Replicas,
                                   const SchedulerSettings &Settings,
                                   TimePoint Now) const {
  const double Quickest = this->quickestMs(Replicas);
  for (const LeafIndex Each : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Each];
    const bool Avoided =
        Leaf.State.phase() != LeafPhase::Failed &&
        Leaf.Limit.latencyMs() > Settings.AgainRatio * Quickest;
    const bool Due = Now - Leaf.lastSent() >= Settings.RecoveryPause;
    if (Avoided && Due && Leaf.freeSlots(Now) > 0)
      return Each;
  }
  return None;
}

LeafIndex LeafTable::chooseAgain(std::span<const LeafIndex> Replicas,
                                 double Ratio, TimePoint Now) const {
  const double Quickest = this->quickestMs(Replicas);
  for (const LeafIndex Each : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Each];
    const bool Quick = Leaf.State.phase() != LeafPhase::Failed &&
                       Leaf.Limit.latencyMs() <= Ratio * Quickest;
    if (Quick && Leaf.freeSlots(Now) > 0)
      return Each;
  }
  return None;
}

bool LeafTable::betterToWait(LeafIndex Chosen,
                             std::span<const LeafIndex> Replicas,
                             std::span<const LeafIndex> Tried, double Ratio,
                             TimePoint Now) const {
  const LeafTracker &Free = this->Leaves[Chosen];
  const double Ms = Free.Limit.latencyMs();
  // A failed leaf is sent a probe, which a hedge covers.
  if (Free.State.phase() == LeafPhase::Failed ||
      Ms <= Ratio * this->quickestMs(Replicas))
    return false;
  return std::ranges::any_of(Replicas, [&](LeafIndex Each) {
    const LeafTracker &Leaf = this->Leaves[Each];
    const bool Again = std::ranges::find(Tried, Each) != Tried.end();
    const bool Failed = Leaf.State.phase() == LeafPhase::Failed;
    // Only a leaf at work wakes those that wait for it soon.
    const bool Busy =
        Leaf.serves() && Leaf.inWork() > 0 && Leaf.freeSlots(Now) <= 0;
    return !Again && !Failed && Busy && Leaf.waitingMs(Now) < Ms;
  });
}

void LeafTable::enqueue(const QueueKey &Place,
                        std::span<const LeafIndex> Replicas,
                        std::span<const LeafIndex> Tried, double OutlierRatio,
                        TimePoint Now) {
  const auto MayWait = [&](LeafIndex Each) {
    return this->Leaves[Each].serves() &&
           std::ranges::find(Tried, Each) == Tried.end();
  };
  double Best = 0;
  for (const LeafIndex Each : Replicas) {
    const LeafTracker &Leaf = this->Leaves[Each];
    if (!MayWait(Each) || Leaf.State.phase() == LeafPhase::Failed)
      continue;
    // What a leaf that has not answered would take says nothing of the rest.
    if (Leaf.Limit.latencyMs() <= 0)
      continue;
    const double Ms = Leaf.cost(Now);
    Best = Best == 0 ? Ms : std::min(Best, Ms);
  }
  for (const LeafIndex Each : Replicas) {
    LeafTracker &Leaf = this->Leaves[Each];
    const bool Slow = Best > 0 && Leaf.cost(Now) > OutlierRatio * Best;
    if (MayWait(Each) && !Slow)
      Leaf.Queue.insert(Place);
  }
}

void LeafTable::unqueue(const QueueKey &Place,
                        std::span<const LeafIndex> Replicas) {
  for (const LeafIndex Each : Replicas)
    this->Leaves[Each].Queue.erase(Place);
}

bool LeafTable::mustShed(const ShardJob &Job, TimePoint Now) const {
  const std::chrono::duration<double, std::milli> Left = Job.Deadline - Now;
  const QueueKey Place{Job.Priority + 1, TimePoint::min(), 0};
  for (const LeafIndex Each : Job.Replicas) {
    const LeafTracker &Leaf = this->Leaves[Each];
    if (!Leaf.serves())
      continue;
    const auto Ahead =
        std::distance(Leaf.Queue.begin(), Leaf.Queue.lower_bound(Place));
    const double Width = std::max(1, Leaf.limit(Now));
    // Half of the queue, since each waiting job can go to another replica.
    const double Rounds = 1 + static_cast<double>(Ahead) / (2 * Width);
    if (Rounds * Leaf.expectedMs() <= Left.count())
      return false;
  }
  return true;
}

void LeafTable::dump(boost::json::object &Into, TimePoint Now) const {
  boost::json::array List;
  for (const LeafTracker &Each : this->Leaves) {
    boost::json::object One;
    Each.dump(One, Now);
    List.emplace_back(std::move(One));
  }
  Into["leaves"] = std::move(List);
}

} // namespace citronlever
