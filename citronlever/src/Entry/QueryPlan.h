#pragma once

#include "citronlever/src/Config/Service.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Membership/Member.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Returns the brokers of a group, the owner first. Ownership models it; tests
/// use their own.
template <class T>
concept OwnerLookup = requires(const T &Owners, const Service &ServiceConfig) {
  {
    Owners.candidates(ServiceConfig, std::uint32_t{}, std::size_t{})
    } -> std::same_as<std::vector<const Member *>>;
};

/// A broker that can be called for a group.
struct BrokerTarget {
  std::string Name;
  Endpoint Peer;
  /// Whether the broker is a stand-by of the group in the view of this entry.
  bool StandBy = false;

  bool operator==(const BrokerTarget &) const = default;
};

/// Part of a request that concerns one shard group.
struct GroupPlan {
  std::uint32_t Group = 0;
  /// Shards of the pinned snapshot to query.
  std::vector<std::uint32_t> Shards;
  /// The owner, then its stand-bys.
  std::vector<BrokerTarget> Candidates;
};

/// Snapshot, version, shards and brokers of one request.
struct QueryPlan {
  std::shared_ptr<const Service> ServiceConfig;
  std::string Snapshot;
  std::string Version;
  /// Number of shards that coverage is computed over; fixed for the plan.
  std::uint32_t TotalShards = 0;
  std::vector<GroupPlan> Groups;
};

/// Brokers listed for each group: the owner and two stand-bys.
inline constexpr std::size_t CandidatesPerGroup = 3;

/// Plans an idempotent request, which goes to every shard of \p PinnedSnapshot.
template <OwnerLookup Owners>
QueryPlan planAllShards(std::shared_ptr<const Service> ServiceConfig,
                        const Snapshot &PinnedSnapshot, std::string Version,
                        const Owners &Lookup);

/// Plans a non-idempotent request, which goes to the single shard of \p Key.
template <OwnerLookup Owners>
QueryPlan planSingleShard(std::shared_ptr<const Service> ServiceConfig,
                          const Snapshot &PinnedSnapshot, std::string Version,
                          std::string_view Key, const Owners &Lookup);

/// \returns the shard, below \p ShardCount, of a request key, by rendezvous
/// hashing. All entries compute the same shard. A change of the shard count
/// moves only the keys of added or removed shards.
std::uint32_t shardOfKey(std::string_view Key, std::size_t ShardCount);

/// \returns the brokers of \p Group, the owner first.
template <OwnerLookup Owners>
std::vector<BrokerTarget> brokerTargets(const Service &ServiceConfig,
                                        std::uint32_t Group,
                                        const Owners &Lookup) {
  std::vector<BrokerTarget> Result;
  for (const Member *Broker :
       Lookup.candidates(ServiceConfig, Group, CandidatesPerGroup))
    Result.push_back({Broker->Name, Broker->Peer, !Result.empty()});
  return Result;
}

template <OwnerLookup Owners>
QueryPlan planAllShards(std::shared_ptr<const Service> ServiceConfig,
                        const Snapshot &PinnedSnapshot, std::string Version,
                        const Owners &Lookup) {
  QueryPlan Plan;
  Plan.Snapshot = PinnedSnapshot.Id;
  Plan.Version = std::move(Version);
  Plan.TotalShards = static_cast<std::uint32_t>(PinnedSnapshot.Shards.size());
  const std::uint32_t GroupCount = ServiceConfig->groupCount(Plan.TotalShards);
  for (std::uint32_t Group = 0; Group < GroupCount; ++Group) {
    GroupPlan Planned;
    Planned.Group = Group;
    const std::uint32_t First = Group * ServiceConfig->GroupShards;
    const std::uint32_t Last =
        std::min(Plan.TotalShards, First + ServiceConfig->GroupShards);
    for (std::uint32_t Shard = First; Shard < Last; ++Shard)
      Planned.Shards.push_back(Shard);
    Planned.Candidates = brokerTargets(*ServiceConfig, Group, Lookup);
    Plan.Groups.push_back(std::move(Planned));
  }
  Plan.ServiceConfig = std::move(ServiceConfig);
  return Plan;
}

template <OwnerLookup Owners>
QueryPlan planSingleShard(std::shared_ptr<const Service> ServiceConfig,
                          const Snapshot &PinnedSnapshot, std::string Version,
                          std::string_view Key, const Owners &Lookup) {
  QueryPlan Plan;
  Plan.Snapshot = PinnedSnapshot.Id;
  Plan.Version = std::move(Version);
  Plan.TotalShards = 1;
  GroupPlan Planned;
  const std::uint32_t Shard = shardOfKey(Key, PinnedSnapshot.Shards.size());
  Planned.Group = Shard / ServiceConfig->GroupShards;
  Planned.Shards.push_back(Shard);
  Planned.Candidates = brokerTargets(*ServiceConfig, Planned.Group, Lookup);
  Plan.Groups.push_back(std::move(Planned));
  Plan.ServiceConfig = std::move(ServiceConfig);
  return Plan;
}

} // namespace citronlever
