#include "citronlever/src/Node/LeavingVms.h"

#include "citronlever/src/Core/Hash.h"

namespace citronlever {

namespace {

/// The owner of a group and its first stand-by.
constexpr std::size_t NotifiedBrokers = 2;

/// \returns the leaving VMs that run replicas of the group's shards.
LeavingVmTracker::Names
leavingReplicaVms(const LeavingVmTracker::Names &Leaving,
                  const Service &ServiceConfig, const Snapshot &ShardMap,
                  std::uint32_t Group) {
  LeavingVmTracker::Names Result;
  const std::size_t First = std::size_t{Group} * ServiceConfig.GroupShards;
  const std::size_t End = std::min<std::size_t>(
      First + ServiceConfig.GroupShards, ShardMap.Shards.size());
  for (std::size_t Shard = First; Shard < End; ++Shard)
    for (const std::uint32_t Index : ShardMap.Shards[Shard])
      if (Leaving.contains(ServiceConfig.Leaves[Index].Vm))
        Result.insert(ServiceConfig.Leaves[Index].Vm);
  return Result;
}

bool hasLeavingLeaf(const LeavingVmTracker::Names &Leaving,
                    const Service &ServiceConfig) {
  for (const Leaf &Replica : ServiceConfig.Leaves)
    if (Leaving.contains(Replica.Vm))
      return true;
  return false;
}

} // namespace

bool LeavingVmTracker::add(const LeavingVms &Message, TimePoint Now) {
  bool Changed = false;
  for (const std::string &Name : Message.Names)
    Changed |= this->ExpiryTimes.insert_or_assign(Name, Now + Retention).second;
  return Changed;
}

bool LeavingVmTracker::expire(TimePoint Now) {
  return std::erase_if(this->ExpiryTimes, [Now](const auto &Entry) {
           return Entry.second <= Now;
         }) > 0;
}

LeavingVmTracker::Names LeavingVmTracker::names() const {
  Names Result;
  for (const auto &[Name, Expiry] : this->ExpiryTimes)
    Result.insert(Name);
  return Result;
}

std::vector<LeavingVmsNotice>
leavingVmsNotices(const LeavingVmTracker::Names &Leaving,
                  const ConfigView &Config, const Ownership &Owners) {
  std::map<Endpoint, LeavingVmTracker::Names> ByBroker;
  if (Leaving.empty())
    return {};
  for (const auto &[Name, ServiceConfig] : Config.Services) {
    if (!hasLeavingLeaf(Leaving, *ServiceConfig))
      continue;
    for (const Snapshot &ShardMap : ServiceConfig->Snapshots) {
      const std::uint32_t Groups =
          ServiceConfig->groupCount(ShardMap.Shards.size());
      for (std::uint32_t Group = 0; Group < Groups; ++Group) {
        const auto Vms =
            leavingReplicaVms(Leaving, *ServiceConfig, ShardMap, Group);
        if (Vms.empty())
          continue;
        for (const Member *Broker :
             Owners.candidates(*ServiceConfig, Group, NotifiedBrokers))
          ByBroker[Broker->Peer].insert(Vms.begin(), Vms.end());
      }
    }
  }
  std::vector<LeavingVmsNotice> Result;
  Result.reserve(ByBroker.size());
  for (const auto &[To, Vms] : ByBroker)
    Result.push_back({To, {{Vms.begin(), Vms.end()}}});
  return Result;
}

bool readsVmList(const MemberView &View, const Member &Self) {
  const std::uint64_t Key = hashOf("vm list " + Self.Domain);
  const std::uint64_t OwnScore = rendezvousScore(Key, hashOf(Self.Name));
  for (const Member &Other : View.Members) {
    if (Other.Domain != Self.Domain || Other.Name == Self.Name ||
        Other.State != MemberState::Alive)
      continue;
    if (rendezvousScore(Key, hashOf(Other.Name)) > OwnScore)
      return false;
  }
  return true;
}

} // namespace citronlever
