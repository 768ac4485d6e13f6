#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

LeafStage stageOf(LeafPhase Phase) {
  switch (Phase) {
  case LeafPhase::Cold:
    return LeafStage::Cold;
  case LeafPhase::Ramping:
    return LeafStage::Ramping;
  default:
    return LeafStage::Warm;
  }
}

} // namespace

void ServiceDispatcher::setReturnShares(
    std::shared_ptr<const ReturnShares> Shares) {
  const std::lock_guard Lock(this->Mutex);
  this->ActiveReturnShares = std::move(Shares);
}

/// Accumulates the share of a returning leaf per request, so that it gets every
/// n-th request that it is eligible for at a share of 1/n. \returns whether to
/// skip the leaf for this request.
bool ServiceDispatcher::skipReturningLeaf(const Leaf &LeafInfo) {
  if (!this->ActiveReturnShares || this->ActiveReturnShares->empty())
    return false;
  const double Share =
      this->ActiveReturnShares->shareOf(LeafInfo.Domain, LeafInfo.Vm);
  if (Share >= 1)
    return false;
  double &Credit = this->ReturnCredit[LeafInfo.Id];
  Credit += Share;
  if (Credit < 1)
    return true;
  Credit -= 1;
  return false;
}

void ServiceDispatcher::reportCall(const AttemptInfo &Attempt,
                                   const LeafReply &Reply, LeafPhase Before,
                                   TimePoint Now) {
  if (!this->Sender->OnLeafCall)
    return;
  const auto Failed = isVersionFailure(Reply.Outcome);
  if (!Failed)
    return;
  const LeafStartEvent Sign =
      this->StartDetector.observe(Attempt.Leaf, Before, Now);
  const LeafTracker &Tracker = this->Scheduler.leaf(Attempt.Leaf);
  const std::string &Version =
      Reply.Version.empty() ? Attempt.Version : Reply.Version;
  this->Sender->OnLeafCall({this->ServiceConfig->Name, Attempt.Route, Version,
                            Tracker.Info.Id, *Failed, stageOf(Before), Sign,
                            Now - Attempt.SentAt},
                           Now);
}

void ServiceDispatcher::appendLoads(std::uint32_t Group, bool IsOwner,
                                    TimePoint Now,
                                    std::vector<ShardLoad> &Into) {
  const std::lock_guard Lock(this->Mutex);
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->ServiceConfig->GroupShards;
  for (const Snapshot &SnapshotInfo : this->ServiceConfig->Snapshots) {
    const std::size_t End = std::min(SnapshotInfo.Shards.size(),
                                     First + this->ServiceConfig->GroupShards);
    for (std::size_t Shard = First; Shard < End; ++Shard) {
      ShardLoad NewShardLoad;
      NewShardLoad.Service = this->ServiceConfig->Name;
      NewShardLoad.Shard = static_cast<std::uint32_t>(Shard);
      for (const std::uint32_t Number : SnapshotInfo.Shards[Shard]) {
        const LeafTracker &Leaf =
            this->Scheduler.leaf(this->ensureLeaf(Number, Now));
        const bool IsUsable =
            Leaf.acceptsWork() && Leaf.Lifecycle.phase() != LeafPhase::Failed;
        LeafLoad Load;
        Load.Leaf = Leaf.Info.Id;
        Load.Vm = Leaf.Info.Vm;
        Load.Domain = Leaf.Info.Domain;
        Load.InFlight = static_cast<std::uint64_t>(Leaf.inFlight());
        // A stand-by does not measure the load that the owner puts on a leaf.
        Load.MeanInFlight = IsOwner ? Leaf.MeanInFlight.value(Now) : 0;
        if (!IsOwner)
          Load.Capacity = this->ServiceConfig->Limits.Slots;
        else if (IsUsable)
          Load.Capacity = Leaf.limit(Now);
        NewShardLoad.Replicas.push_back(std::move(Load));
      }
      Into.push_back(std::move(NewShardLoad));
    }
  }
}

/// \returns the latency of the fastest other replica of a leaf's shards; 0 if
/// no other replica has answered.
double ServiceDispatcher::fastestOtherReplicaMs(LeafIndex Index) const {
  double FastestMs = 0;
  const std::string &Id = this->Scheduler.leaf(Index).Info.Id;
  for (const Snapshot &SnapshotInfo : this->ServiceConfig->Snapshots)
    for (const auto &Replicas : SnapshotInfo.Shards) {
      const auto IsLeaf = [&](std::uint32_t Number) {
        return this->ServiceConfig->Leaves[Number].Id == Id;
      };
      if (std::ranges::none_of(Replicas, IsLeaf))
        continue;
      for (const std::uint32_t Number : Replicas) {
        const LeafIndex Other = this->LeafIndices[Number];
        if (Other == LeafTable::None || Other == Index)
          continue;
        const double Ms = this->Scheduler.leaf(Other).Limit.latencyMs();
        if (Ms > 0 && (FastestMs == 0 || Ms < FastestMs))
          FastestMs = Ms;
      }
    }
  return FastestMs;
}

LeafDescriptionContext
ServiceDispatcher::descriptionContextOf(LeafIndex Index) const {
  const Leaf &Info = this->Scheduler.leaf(Index).Info;
  LeafDescriptionContext Result;
  Result.OutByOperators = !this->Config->isInService(Info);
  Result.VmLeaving = this->LeavingVms.contains(Info.Vm);
  if (this->ActiveReturnShares)
    Result.ReturnShare =
        this->ActiveReturnShares->shareOf(Info.Domain, Info.Vm);
  Result.FastestReplicaMs = this->fastestOtherReplicaMs(Index);
  Result.AvoidRatio = this->Settings.Scheduler.SlowLatencyRatio;
  if (const auto Found = this->PhaseChanges.find(Index);
      Found != this->PhaseChanges.end()) {
    Result.PhaseSince = Found->second.At;
    Result.PhaseChangeOutcome = toString(Found->second.Outcome);
  }
  return Result;
}

void ServiceDispatcher::explainLeaf(std::string_view Leaf, TimePoint Now,
                                    boost::json::object &Into) {
  const std::lock_guard Lock(this->Mutex);
  const LeafIndex Index = this->Scheduler.leaves().find(Leaf);
  if (Index == LeafTable::None)
    return;
  const LeafTracker &Tracker = this->Scheduler.leaf(Index);
  boost::json::array Sentences;
  for (const std::string &Sentence :
       describeLeaf(Tracker, this->descriptionContextOf(Index), Now))
    Sentences.emplace_back(Sentence);
  Into["words"] = std::move(Sentences);
  Tracker.dump(Into, Now);
  Into["busy_mean"] = Tracker.MeanInFlight.value(Now);
  Into["vm_told_leaving"] = this->LeavingVms.contains(Tracker.Info.Vm);
  if (this->ActiveReturnShares)
    Into["return_share"] =
        this->ActiveReturnShares->shareOf(Tracker.Info.Domain, Tracker.Info.Vm);
}

} // namespace citronlever::internal
