#include "citronlever/src/Node/LeavingVms.h"

#include "citronlever/src/Core/Hash.h"

namespace citronlever {

namespace {

/// The owner of a group and its first stand-by are told.
constexpr std::size_t ToldBrokers = 2;

/// \returns the leaving VMs that hold replicas of a group's shards.
LeavingVmTracker::Names leavingOf(const LeavingVmTracker::Names &Leaving,
                                  const Service &Of, const Snapshot &Map,
                                  std::uint32_t Group) {
  LeavingVmTracker::Names Result;
  const std::size_t First = std::size_t{Group} * Of.GroupShards;
  const std::size_t End =
      std::min<std::size_t>(First + Of.GroupShards, Map.Shards.size());
  for (std::size_t Shard = First; Shard < End; ++Shard)
    for (const std::uint32_t Index : Map.Shards[Shard])
      if (Leaving.contains(Of.Leaves[Index].Vm))
        Result.insert(Of.Leaves[Index].Vm);
  return Result;
}

bool anyLeafLeaves(const LeavingVmTracker::Names &Leaving, const Service &Of) {
  for (const Leaf &Each : Of.Leaves)
    if (Leaving.contains(Each.Vm))
      return true;
  return false;
}

} // namespace

bool LeavingVmTracker::add(const LeavingVms &Told, TimePoint Now) {
  bool Changed = false;
  for (const std::string &Name : Told.Names)
    Changed |= this->Until.insert_or_assign(Name, Now + Retention).second;
  return Changed;
}

bool LeavingVmTracker::expire(TimePoint Now) {
  return std::erase_if(this->Until, [Now](const auto &Entry) {
           return Entry.second <= Now;
         }) > 0;
}

LeavingVmTracker::Names LeavingVmTracker::names() const {
  Names Result;
  for (const auto &[Name, End] : this->Until)
    Result.insert(Name);
  return Result;
}

std::vector<LeavingVmsNotice>
leavingVmsNotices(const LeavingVmTracker::Names &Leaving,
                  const ConfigView &Config, const Ownership &Owners) {
  std::map<Endpoint, LeavingVmTracker::Names> ByBroker;
  if (Leaving.empty())
    return {};
  for (const auto &[Name, Of] : Config.Services) {
    if (!anyLeafLeaves(Leaving, *Of))
      continue;
    for (const Snapshot &Map : Of->Snapshots) {
      const std::uint32_t Groups = Of->groupCount(Map.Shards.size());
      for (std::uint32_t Group = 0; Group < Groups; ++Group) {
        const auto Vms = leavingOf(Leaving, *Of, Map, Group);
        if (Vms.empty())
          continue;
        for (const Member *Broker : Owners.candidates(*Of, Group, ToldBrokers))
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
  const std::uint64_t Own = rendezvousScore(Key, hashOf(Self.Name));
  for (const Member &Other : View.Members) {
    if (Other.Domain != Self.Domain || Other.Name == Self.Name ||
        Other.State != MemberState::Alive)
      continue;
    if (rendezvousScore(Key, hashOf(Other.Name)) > Own)
      return false;
  }
  return true;
}

} // namespace citronlever
