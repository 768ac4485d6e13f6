#include "citronlever/src/Node/RoutingExplanation.h"

#include "citronlever/src/Membership/Ownership.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace citronlever {

namespace json = boost::json;

namespace {

/// The owner of a group and its two stand-bys.
constexpr std::size_t ReportedBrokers = 3;

json::object groupReport(const Service &ServiceConfig, std::uint32_t Group,
                         const Ownership &Owners) {
  json::array StandBys;
  const auto Brokers = Owners.candidates(ServiceConfig, Group, ReportedBrokers);
  for (std::size_t Index = 1; Index < Brokers.size(); ++Index)
    StandBys.emplace_back(Brokers[Index]->Name);
  json::object Result{{"group", Group}, {"stand_bys", std::move(StandBys)}};
  Result["owner"] = Brokers.empty() ? "" : Brokers.front()->Name;
  if (!Brokers.empty())
    Result["owner_operators"] = toString(Brokers.front()->Operators);
  return Result;
}

std::string percent(double Share) {
  return std::to_string(std::lround(Share * 100)) + " %";
}

/// \returns a sentence that explains which share of the calls a version gets.
std::string versionText(const ConfigView &Config, const Service &ServiceConfig,
                        std::string_view Version,
                        const BadVersionMarks &Marks) {
  const std::string Name = "version " + std::string(Version);
  const auto Share = Config.RolloutShares.find(ServiceConfig.Name);
  const bool UnderRollout =
      Share != Config.RolloutShares.end() && Share->second.Version == Version;
  if (UnderRollout)
    if (const auto Mark = Marks.find(Share->second.RolloutId))
      return Name + " is out: marked bad by " + Mark->MarkedBy + ": " +
             Mark->Reason;
  if (ServiceConfig.Version == Version)
    return Name + " is in service";
  if (UnderRollout && Share->second.Share > 0)
    return Name + " is under rollout " + Share->second.RolloutId +
           " and gets at most " + percent(Share->second.Share) +
           " of the calls";
  if (UnderRollout)
    return Name + " is out: rollout " + Share->second.RolloutId +
           " was taken back; citronctl version status " + ServiceConfig.Name +
           " has the reason";
  return Name + " is out: " + ServiceConfig.Version +
         " is in service and no rollout is under way";
}

json::array leafTexts(const ConfigView &Config, const Service &ServiceConfig,
                      const Leaf &LeafConfig, const BadVersionMarks &Marks) {
  json::array Result;
  if (Config.DomainsOutOfService.contains(LeafConfig.Domain))
    Result.emplace_back("out: operators took failure domain " +
                        LeafConfig.Domain + " out");
  if (Config.VmsOutOfService.contains(LeafConfig.Vm))
    Result.emplace_back("out: operators took VM " + LeafConfig.Vm + " out");
  Result.emplace_back(
      versionText(Config, ServiceConfig, LeafConfig.Version, Marks));
  return Result;
}

/// Explains the version in service, and the one under rollout if there is one.
json::array serviceTexts(const ConfigView &Config, const Service &ServiceConfig,
                         const BadVersionMarks &Marks) {
  json::array Result;
  Result.emplace_back(
      versionText(Config, ServiceConfig, ServiceConfig.Version, Marks));
  const auto Share = Config.RolloutShares.find(ServiceConfig.Name);
  if (Share != Config.RolloutShares.end() &&
      Share->second.Version != ServiceConfig.Version)
    Result.emplace_back(
        versionText(Config, ServiceConfig, Share->second.Version, Marks));
  return Result;
}

json::object shareReport(const ConfigView &Config, const Service &ServiceConfig,
                         const BadVersionMarks &Marks) {
  json::object Result{{"words", serviceTexts(Config, ServiceConfig, Marks)},
                      {"version", ServiceConfig.Version}};
  const auto Share = Config.RolloutShares.find(ServiceConfig.Name);
  if (Share == Config.RolloutShares.end())
    return Result;
  Result["rollout"] = Share->second.RolloutId;
  Result["new_version"] = Share->second.Version;
  Result["share"] = Share->second.Share;
  Result["marked_bad"] = Marks.reason(Share->second.RolloutId);
  return Result;
}

json::object serviceReport(const ConfigView &Config,
                           const Service &ServiceConfig,
                           const Ownership &Owners,
                           const BadVersionMarks &Marks) {
  json::object Result = shareReport(Config, ServiceConfig, Marks);
  std::uint32_t Count = 0;
  json::array Snapshots;
  for (const Snapshot &ShardMap : ServiceConfig.Snapshots) {
    Count = std::max(Count, ServiceConfig.groupCount(ShardMap.Shards.size()));
    Snapshots.emplace_back(ShardMap.Id);
  }
  json::array Groups;
  for (std::uint32_t Group = 0; Group < Count; ++Group)
    Groups.emplace_back(groupReport(ServiceConfig, Group, Owners));
  Result["snapshots"] = std::move(Snapshots);
  Result["groups"] = std::move(Groups);
  return Result;
}

json::object leafReport(const ConfigView &Config, const Service &ServiceConfig,
                        std::uint32_t Index, const Ownership &Owners,
                        const BadVersionMarks &Marks) {
  const Leaf &LeafConfig = ServiceConfig.Leaves[Index];
  std::set<std::uint32_t> Groups;
  for (const Snapshot &ShardMap : ServiceConfig.Snapshots)
    for (std::size_t Shard = 0; Shard < ShardMap.Shards.size(); ++Shard)
      if (std::ranges::find(ShardMap.Shards[Shard], Index) !=
          ShardMap.Shards[Shard].end())
        Groups.insert(
            static_cast<std::uint32_t>(Shard / ServiceConfig.GroupShards));
  json::array GroupReports;
  for (const std::uint32_t Group : Groups)
    GroupReports.emplace_back(groupReport(ServiceConfig, Group, Owners));
  return {
      {"words", leafTexts(Config, ServiceConfig, LeafConfig, Marks)},
      {"service", ServiceConfig.Name},
      {"address", toString(LeafConfig.Address)},
      {"vm", LeafConfig.Vm},
      {"domain", LeafConfig.Domain},
      {"version", LeafConfig.Version},
      {"domain_out", Config.DomainsOutOfService.contains(LeafConfig.Domain)},
      {"vm_out", Config.VmsOutOfService.contains(LeafConfig.Vm)},
      {"groups", std::move(GroupReports)}};
}

} // namespace

json::value explainRouting(std::string_view Kind, std::string_view Name,
                           const ConfigViewPtr &Config,
                           const MemberViewPtr &Members,
                           const BadVersionMarks &Marks) {
  const Ownership Owners(Members, Config);
  if (Kind == "service") {
    const auto Found = Config->Services.find(Name);
    if (Found == Config->Services.end())
      return "unknown service";
    return serviceReport(*Config, *Found->second, Owners, Marks);
  }
  for (const auto &[Service, ServiceConfig] : Config->Services)
    for (std::uint32_t Index = 0; Index < ServiceConfig->Leaves.size(); ++Index)
      if (ServiceConfig->Leaves[Index].Id == Name)
        return leafReport(*Config, *ServiceConfig, Index, Owners, Marks);
  return "unknown leaf";
}

} // namespace citronlever
