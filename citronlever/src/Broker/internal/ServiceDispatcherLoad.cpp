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
    return LeafStage::Settled;
  }
}

} // namespace

void ServiceDispatcher::setReturnShares(
    std::shared_ptr<const ReturnShares> Shares) {
  const std::lock_guard Lock(this->Mutex);
  this->Returning = std::move(Shares);
}

/// \returns whether the leaf's domain or VM is returning and the leaf is not
/// due for work yet: it gets every n-th request of those it might get.
bool ServiceDispatcher::passedOver(const Leaf &Which) {
  if (!this->Returning || this->Returning->empty())
    return false;
  const double Share = this->Returning->of(Which.Domain, Which.Vm);
  if (Share >= 1)
    return false;
  double &Part = this->Earned[Which.Id];
  Part += Share;
  if (Part < 1)
    return true;
  Part -= 1;
  return false;
}

void ServiceDispatcher::report(const AttemptInfo &Attempt,
                               const LeafReply &Reply, LeafPhase Before,
                               TimePoint Now) {
  if (!this->Sender->OnCall)
    return;
  const auto Failed = failedAsEvidence(Reply.Outcome);
  if (!Failed)
    return;
  const LeafStartSign Sign = this->Starts.note(Attempt.Leaf, Before, Now);
  const LeafTracker &Of = this->Scheduler.leaf(Attempt.Leaf);
  const std::string &Version =
      Reply.Version.empty() ? Attempt.Version : Reply.Version;
  this->Sender->OnCall({this->Of->Name, Attempt.Route, Version, Of.Info.Id,
                        *Failed, stageOf(Before), Sign, Now - Attempt.SentAt},
                       Now);
}

void ServiceDispatcher::loads(std::uint32_t Group, bool Owner, TimePoint Now,
                              std::vector<ShardLoad> &Into) {
  const std::lock_guard Lock(this->Mutex);
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->Of->GroupShards;
  for (const Snapshot &In : this->Of->Snapshots) {
    const std::size_t End =
        std::min(In.Shards.size(), First + this->Of->GroupShards);
    for (std::size_t Shard = First; Shard < End; ++Shard) {
      ShardLoad One;
      One.Service = this->Of->Name;
      One.Shard = static_cast<std::uint32_t>(Shard);
      for (const std::uint32_t Number : In.Shards[Shard]) {
        const LeafTracker &Leaf =
            this->Scheduler.leaf(this->indexOf(Number, Now));
        const bool Fit =
            Leaf.acceptsWork() && Leaf.Lifecycle.phase() != LeafPhase::Failed;
        LeafLoad Load;
        Load.Leaf = Leaf.Info.Id;
        Load.Vm = Leaf.Info.Vm;
        Load.Domain = Leaf.Info.Domain;
        Load.InFlight = static_cast<std::uint64_t>(Leaf.inFlight());
        // A stand-by's own view of a leaf is not the owner's.
        Load.InWork = Owner ? Leaf.MeanInFlight.value(Now) : 0;
        if (!Owner)
          Load.Bears = this->Of->Limits.Slots;
        else if (Fit)
          Load.Bears = Leaf.limit(Now);
        One.Replicas.push_back(std::move(Load));
      }
      Into.push_back(std::move(One));
    }
  }
}

/// \returns the latency of the quickest other replica of a leaf's shards; 0 if
/// there is none that has answered.
double ServiceDispatcher::quickestOther(LeafIndex Which) const {
  double Quickest = 0;
  const std::string &Id = this->Scheduler.leaf(Which).Info.Id;
  for (const Snapshot &In : this->Of->Snapshots)
    for (const auto &Replicas : In.Shards) {
      const auto Is = [&](std::uint32_t Number) {
        return this->Of->Leaves[Number].Id == Id;
      };
      if (std::ranges::none_of(Replicas, Is))
        continue;
      for (const std::uint32_t Number : Replicas) {
        const LeafIndex Other = this->Indices[Number];
        if (Other == LeafTable::None || Other == Which)
          continue;
        const double Ms = this->Scheduler.leaf(Other).Limit.latencyMs();
        if (Ms > 0 && (Quickest == 0 || Ms < Quickest))
          Quickest = Ms;
      }
    }
  return Quickest;
}

LeafNotes ServiceDispatcher::notesOf(LeafIndex Which) const {
  const Leaf &Info = this->Scheduler.leaf(Which).Info;
  LeafNotes Result;
  Result.OperatorsOut = !this->Config->inService(Info);
  Result.VmLeaving = this->LeavingVms.contains(Info.Vm);
  if (this->Returning)
    Result.ReturnShare = this->Returning->of(Info.Domain, Info.Vm);
  Result.QuickestMs = this->quickestOther(Which);
  Result.AvoidRatio = this->Settings.Scheduler.SlowLatencyRatio;
  if (const auto Found = this->PhaseChanges.find(Which);
      Found != this->PhaseChanges.end()) {
    Result.PhaseSince = Found->second.At;
    Result.PhaseAfter = toString(Found->second.After);
  }
  return Result;
}

void ServiceDispatcher::why(std::string_view Leaf, TimePoint Now,
                            boost::json::object &Into) {
  const std::lock_guard Lock(this->Mutex);
  const LeafIndex Index = this->Scheduler.leaves().find(Leaf);
  if (Index == LeafTable::None)
    return;
  const LeafTracker &Found = this->Scheduler.leaf(Index);
  boost::json::array Words;
  for (const std::string &Each : leafWords(Found, this->notesOf(Index), Now))
    Words.emplace_back(Each);
  Into["words"] = std::move(Words);
  Found.dump(Into, Now);
  Into["busy_mean"] = Found.MeanInFlight.value(Now);
  Into["vm_told_leaving"] = this->LeavingVms.contains(Found.Info.Vm);
  if (this->Returning)
    Into["return_share"] =
        this->Returning->of(Found.Info.Domain, Found.Info.Vm);
}

} // namespace citronlever::internal
