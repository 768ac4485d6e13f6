#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include <algorithm>

namespace citronlever::internal {

std::set<LeafIndex> ServiceDispatcher::ensureGroupLeaves(std::uint32_t Group,
                                                         TimePoint Now) {
  std::set<LeafIndex> Result;
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->ServiceConfig->GroupShards;
  for (const Snapshot &SnapshotInfo : this->ServiceConfig->Snapshots) {
    const std::size_t Last = std::min(SnapshotInfo.Shards.size(),
                                      First + this->ServiceConfig->GroupShards);
    for (std::size_t Shard = First; Shard < Last; ++Shard)
      for (const std::uint32_t Leaf : SnapshotInfo.Shards[Shard])
        Result.insert(this->ensureLeaf(Leaf, Now));
  }
  return Result;
}

void ServiceDispatcher::onGroupGained(std::uint32_t Group, bool HandedOver) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  for (const LeafIndex Index : this->ensureGroupLeaves(Group, Now)) {
    this->Scheduler.leaves().onOwnershipGained(Index, Now);
    if (HandedOver)
      this->Scheduler.leaves().onWarmHandover(Index, Now);
  }
}

void ServiceDispatcher::onHandover(std::uint32_t Group) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  for (const LeafIndex Index : this->ensureGroupLeaves(Group, Now))
    this->Scheduler.leaves().onWarmHandover(Index, Now);
}

/// \returns the group's leaves that are in the scheduler already.
std::set<LeafIndex>
ServiceDispatcher::knownGroupLeaves(std::uint32_t Group) const {
  std::set<LeafIndex> Result;
  if (!this->ServiceConfig)
    return Result;
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->ServiceConfig->GroupShards;
  for (const Snapshot &SnapshotInfo : this->ServiceConfig->Snapshots) {
    const std::size_t Last = std::min(SnapshotInfo.Shards.size(),
                                      First + this->ServiceConfig->GroupShards);
    for (std::size_t Shard = First; Shard < Last; ++Shard)
      for (const std::uint32_t Number : SnapshotInfo.Shards[Shard])
        if (this->LeafIndices[Number] != LeafTable::None)
          Result.insert(this->LeafIndices[Number]);
  }
  return Result;
}

void ServiceDispatcher::onGroupClaimed(std::uint32_t Group, bool HandedOver,
                                       const GroupClaims::Outcome &Outcome) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  LeafTable &Table = this->Scheduler.leaves();
  for (const LeafIndex Index : this->ensureGroupLeaves(Group, Now)) {
    const std::string &Id = Table[Index].Info.Id;
    const bool TurnedCold = std::ranges::count(Outcome.ColdLeaves, Id) > 0;
    if (Outcome.Complete && !TurnedCold && Table[Index].isKnownWarm(Now))
      continue;
    Table.onOwnershipGained(Index, Now);
    if (HandedOver || std::ranges::count(Outcome.WarmLeaves, Id) > 0)
      Table.onWarmHandover(Index, Now);
  }
}

void ServiceDispatcher::releaseGroup(std::uint32_t Group,
                                     const std::string &NewOwner,
                                     GroupRelease &Release) {
  DeferredActions Deferred;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    std::map<std::uint64_t, std::vector<JobId>> JobsByCall;
    for (const auto &[Job, Info] : this->Jobs)
      if (this->PendingCalls.at(Info.CallNumber).Call.Group == Group)
        JobsByCall[Info.CallNumber].push_back(Job);
    for (const auto &[CallNumber, Jobs] : JobsByCall) {
      PendingCall &Pending = this->PendingCalls.at(CallNumber);
      const bool NothingSent = Jobs.size() == Pending.Call.Shards.size() &&
                               std::ranges::all_of(Jobs, [this](JobId Job) {
                                 return !this->Scheduler.wasSent(Job);
                               });
      if (!NothingSent)
        continue;
      Pending.NewOwner = NewOwner;
      for (const JobId Job : Jobs) {
        ActionList Actions;
        this->Scheduler.cancel(Job, Now, Actions);
        this->collectActions(Actions, Now, 0, nullptr, nullptr, Deferred);
      }
    }
    for (const LeafIndex Index : this->knownGroupLeaves(Group)) {
      const LeafTracker &Leaf = this->Scheduler.leaf(Index);
      if (Leaf.Lifecycle.phase() == LeafPhase::Warm)
        Release.WarmLeaves.push_back(Leaf.Info.Id);
      else if (Leaf.hasRecentColdSign(Now))
        Release.ColdLeaves.push_back(Leaf.Info.Id);
    }
    this->armTimer(Now);
  }
  this->performDeferred(std::move(Deferred));
}

bool ServiceDispatcher::closeIfIdle(std::uint32_t Group) {
  std::vector<Endpoint> Addresses;
  {
    const std::lock_guard Lock(this->Mutex);
    for (const LeafIndex Index : this->knownGroupLeaves(Group)) {
      const LeafTracker &Leaf = this->Scheduler.leaf(Index);
      if (Leaf.inFlight() + Leaf.heldSlots() > 0 || !Leaf.Queue.empty())
        return false;
      Addresses.push_back(Leaf.Info.Address);
    }
  }
  for (const Endpoint &Address : Addresses)
    this->Sender->Client.closeIdle(Address);
  return true;
}

} // namespace citronlever::internal
