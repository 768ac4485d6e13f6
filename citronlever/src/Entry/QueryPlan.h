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

/// Names the brokers of a group, the owner first; Ownership is the real one.
template <class T>
concept OwnerLookup = requires(const T &Owners, const Service &ServiceConfig) {
  {
    Owners.candidates(ServiceConfig, std::uint32_t{}, std::size_t{})
    } -> std::same_as<std::vector<const Member *>>;
};

/// A broker that may be asked for a group.
struct BrokerTarget {
  std::string Name;
  Endpoint Peer;
  /// Not the owner of the group, as this entry sees it.
  bool StandBy = false;

  bool operator==(const BrokerTarget &) const = default;
};

/// One group's part of a request.
struct GroupPlan {
  std::uint32_t Group = 0;
  /// Shards of the pinned snapshot to ask.
  std::vector<std::uint32_t> Shards;
  /// The owner, then its stand-bys.
  std::vector<BrokerTarget> Candidates;
};

/// What one request asks of whom: one snapshot, one version, fixed shards.
struct QueryPlan {
  std::shared_ptr<const Service> ServiceConfig;
  std::string Snapshot;
  std::string Version;
  /// Shards that the coverage is counted over; never changes afterwards.
  std::uint32_t TotalShards = 0;
  std::vector<GroupPlan> Groups;
};

/// Brokers listed for each group: the owner and two stand-bys.
inline constexpr std::size_t CandidatesPerGroup = 3;

/// Plans an idempotent request: every shard of \p PinnedSnapshot.
template <OwnerLookup Owners>
QueryPlan planAllShards(std::shared_ptr<const Service> ServiceConfig,
                        const Snapshot &PinnedSnapshot, std::string Version,
                        const Owners &Lookup);

/// Plans a non-idempotent request: the one shard that \p Key belongs to.
template <OwnerLookup Owners>
QueryPlan planSingleShard(std::shared_ptr<const Service> ServiceConfig,
                          const Snapshot &PinnedSnapshot, std::string Version,
                          std::string_view Key, const Owners &Lookup);

/// \returns the shard of \p ShardCount that a request key belongs to. The same
/// through every entry; a repartition moves only the keys of shards that went
/// or came.
std::uint32_t shardOfKey(std::string_view Key, std::size_t ShardCount);

/// Collects the targets of \p Group in the order of their rank.
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
