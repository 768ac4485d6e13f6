#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include <algorithm>

namespace citronlever::internal {

std::set<LeafIndex> ServiceDispatcher::leavesOf(std::uint32_t Group,
                                                TimePoint Now) {
  std::set<LeafIndex> Result;
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->Of->GroupShards;
  for (const Snapshot &In : this->Of->Snapshots) {
    const std::size_t Last =
        std::min(In.Shards.size(), First + this->Of->GroupShards);
    for (std::size_t Shard = First; Shard < Last; ++Shard)
      for (const std::uint32_t Leaf : In.Shards[Shard])
        Result.insert(this->indexOf(Leaf, Now));
  }
  return Result;
}

void ServiceDispatcher::gained(std::uint32_t Group, bool Vouched) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  for (const LeafIndex Each : this->leavesOf(Group, Now)) {
    this->Scheduler.leaves().onOwnershipGained(Each, Now);
    if (Vouched)
      this->Scheduler.leaves().onWarmHandover(Each, Now);
  }
}

void ServiceDispatcher::vouched(std::uint32_t Group) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  for (const LeafIndex Each : this->leavesOf(Group, Now))
    this->Scheduler.leaves().onWarmHandover(Each, Now);
}

/// \returns the group's leaves that this process has served.
std::set<LeafIndex>
ServiceDispatcher::knownLeavesOf(std::uint32_t Group) const {
  std::set<LeafIndex> Result;
  if (!this->Of)
    return Result;
  const std::size_t First =
      static_cast<std::size_t>(Group) * this->Of->GroupShards;
  for (const Snapshot &In : this->Of->Snapshots) {
    const std::size_t Last =
        std::min(In.Shards.size(), First + this->Of->GroupShards);
    for (std::size_t Shard = First; Shard < Last; ++Shard)
      for (const std::uint32_t Number : In.Shards[Shard])
        if (this->Indices[Number] != LeafTable::None)
          Result.insert(this->Indices[Number]);
  }
  return Result;
}

void ServiceDispatcher::taken(std::uint32_t Group, bool Vouched,
                              const GroupClaims::Outcome &Said) {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  LeafTable &Table = this->Scheduler.leaves();
  for (const LeafIndex Each : this->leavesOf(Group, Now)) {
    const std::string &Id = Table[Each].Info.Id;
    const bool TurnedCold = std::ranges::count(Said.Cold, Id) > 0;
    if (Said.Complete && !TurnedCold && Table[Each].isKnownWarm(Now))
      continue;
    Table.onOwnershipGained(Each, Now);
    if (Vouched || std::ranges::count(Said.Warm, Id) > 0)
      Table.onWarmHandover(Each, Now);
  }
}

void ServiceDispatcher::release(std::uint32_t Group, const std::string &To,
                                GroupRelease &Into) {
  Effects Todo;
  {
    const std::lock_guard Lock(this->Mutex);
    const TimePoint Now = Clock::now();
    std::map<std::uint64_t, std::vector<JobId>> Ours;
    for (const auto &[Job, Info] : this->Jobs)
      if (this->Calls.at(Info.Call).Call.Group == Group)
        Ours[Info.Call].push_back(Job);
    for (const auto &[Call, Jobs] : Ours) {
      PendingCall &For = this->Calls.at(Call);
      const bool Untouched = Jobs.size() == For.Call.Shards.size() &&
                             std::ranges::all_of(Jobs, [this](JobId Job) {
                               return !this->Scheduler.wasSent(Job);
                             });
      if (!Untouched)
        continue;
      For.MovedTo = To;
      for (const JobId Job : Jobs) {
        ActionList Actions;
        this->Scheduler.cancel(Job, Now, Actions);
        this->collect(Actions, Now, 0, nullptr, nullptr, Todo);
      }
    }
    for (const LeafIndex Each : this->knownLeavesOf(Group)) {
      const LeafTracker &Leaf = this->Scheduler.leaf(Each);
      if (Leaf.Lifecycle.phase() == LeafPhase::Warm)
        Into.Warm.push_back(Leaf.Info.Id);
      else if (Leaf.hasRecentColdSign(Now))
        Into.Cold.push_back(Leaf.Info.Id);
    }
    this->arm(Now);
  }
  this->perform(std::move(Todo));
}

bool ServiceDispatcher::quiet(std::uint32_t Group) {
  std::vector<Endpoint> Addresses;
  {
    const std::lock_guard Lock(this->Mutex);
    for (const LeafIndex Each : this->knownLeavesOf(Group)) {
      const LeafTracker &Leaf = this->Scheduler.leaf(Each);
      if (Leaf.inFlight() + Leaf.heldSlots() > 0 || !Leaf.Queue.empty())
        return false;
      Addresses.push_back(Leaf.Info.Address);
    }
  }
  for (const Endpoint &Each : Addresses)
    this->Sender->Client.closeIdle(Each);
  return true;
}

} // namespace citronlever::internal
