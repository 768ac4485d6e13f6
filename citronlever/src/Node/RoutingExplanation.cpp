#include "citronlever/src/Node/RoutingExplanation.h"

#include "citronlever/src/Membership/Ownership.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cmath>
#include <set>

namespace citronlever {

namespace json = boost::json;

namespace {

/// The owner of a group and its stand-bys.
constexpr std::size_t ToldBrokers = 3;

json::object groupReport(const Service &Of, std::uint32_t Group,
                         const Ownership &Owners) {
  json::array StandBys;
  const auto All = Owners.candidates(Of, Group, ToldBrokers);
  for (std::size_t Index = 1; Index < All.size(); ++Index)
    StandBys.emplace_back(All[Index]->Name);
  json::object Result{{"group", Group}, {"stand_bys", std::move(StandBys)}};
  Result["owner"] = All.empty() ? "" : All.front()->Name;
  if (!All.empty())
    Result["owner_operators"] = toString(All.front()->Operators);
  return Result;
}

std::string percent(double Share) {
  return std::to_string(std::lround(Share * 100)) + " %";
}

/// Says in words why a version gets the work that it gets.
std::string versionWords(const ConfigView &Config, const Service &Of,
                         std::string_view Version,
                         const BadVersionMarks &Marks) {
  const std::string Name = "version " + std::string(Version);
  const auto Share = Config.RolloutShares.find(Of.Name);
  const bool UnderRollout =
      Share != Config.RolloutShares.end() && Share->second.Version == Version;
  if (UnderRollout)
    if (const auto Mark = Marks.find(Share->second.RolloutId))
      return Name + " is out: marked bad by " + Mark->MarkedBy + ": " +
             Mark->Reason;
  if (Of.Version == Version)
    return Name + " is in service";
  if (UnderRollout && Share->second.Share > 0)
    return Name + " is under rollout " + Share->second.RolloutId +
           " and gets at most " + percent(Share->second.Share) +
           " of the calls";
  if (UnderRollout)
    return Name + " is out: rollout " + Share->second.RolloutId +
           " was taken back; citronctl version status " + Of.Name +
           " has the reason";
  return Name + " is out: " + Of.Version +
         " is in service and no rollout is under way";
}

json::array leafWords(const ConfigView &Config, const Service &Of,
                      const Leaf &Which, const BadVersionMarks &Marks) {
  json::array Result;
  if (Config.DomainsOutOfService.contains(Which.Domain))
    Result.emplace_back("out: operators took failure domain " + Which.Domain +
                        " out");
  if (Config.VmsOutOfService.contains(Which.Vm))
    Result.emplace_back("out: operators took VM " + Which.Vm + " out");
  Result.emplace_back(versionWords(Config, Of, Which.Version, Marks));
  return Result;
}

/// The version in service, and the one under rollout if there is one.
json::array serviceWords(const ConfigView &Config, const Service &Of,
                         const BadVersionMarks &Marks) {
  json::array Result;
  Result.emplace_back(versionWords(Config, Of, Of.Version, Marks));
  const auto Share = Config.RolloutShares.find(Of.Name);
  if (Share != Config.RolloutShares.end() &&
      Share->second.Version != Of.Version)
    Result.emplace_back(versionWords(Config, Of, Share->second.Version, Marks));
  return Result;
}

json::object shareReport(const ConfigView &Config, const Service &Of,
                         const BadVersionMarks &Marks) {
  json::object Result{{"words", serviceWords(Config, Of, Marks)},
                      {"version", Of.Version}};
  const auto Share = Config.RolloutShares.find(Of.Name);
  if (Share == Config.RolloutShares.end())
    return Result;
  Result["rollout"] = Share->second.RolloutId;
  Result["new_version"] = Share->second.Version;
  Result["share"] = Share->second.Share;
  Result["marked_bad"] = Marks.reason(Share->second.RolloutId);
  return Result;
}

json::object serviceReport(const ConfigView &Config, const Service &Of,
                           const Ownership &Owners,
                           const BadVersionMarks &Marks) {
  json::object Result = shareReport(Config, Of, Marks);
  std::uint32_t Count = 0;
  json::array Snapshots;
  for (const Snapshot &In : Of.Snapshots) {
    Count = std::max(Count, Of.groupCount(In.Shards.size()));
    Snapshots.emplace_back(In.Id);
  }
  json::array Groups;
  for (std::uint32_t Group = 0; Group < Count; ++Group)
    Groups.emplace_back(groupReport(Of, Group, Owners));
  Result["snapshots"] = std::move(Snapshots);
  Result["groups"] = std::move(Groups);
  return Result;
}

json::object leafReport(const ConfigView &Config, const Service &Of,
                        std::uint32_t Number, const Ownership &Owners,
                        const BadVersionMarks &Marks) {
  const Leaf &Which = Of.Leaves[Number];
  std::set<std::uint32_t> Groups;
  for (const Snapshot &In : Of.Snapshots)
    for (std::size_t Shard = 0; Shard < In.Shards.size(); ++Shard)
      if (std::ranges::find(In.Shards[Shard], Number) != In.Shards[Shard].end())
        Groups.insert(static_cast<std::uint32_t>(Shard / Of.GroupShards));
  json::array Told;
  for (const std::uint32_t Group : Groups)
    Told.emplace_back(groupReport(Of, Group, Owners));
  return {{"words", leafWords(Config, Of, Which, Marks)},
          {"service", Of.Name},
          {"address", toString(Which.Address)},
          {"vm", Which.Vm},
          {"domain", Which.Domain},
          {"version", Which.Version},
          {"domain_out", Config.DomainsOutOfService.contains(Which.Domain)},
          {"vm_out", Config.VmsOutOfService.contains(Which.Vm)},
          {"groups", std::move(Told)}};
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
  for (const auto &[Service, Of] : Config->Services)
    for (std::uint32_t Number = 0; Number < Of->Leaves.size(); ++Number)
      if (Of->Leaves[Number].Id == Name)
        return leafReport(*Config, *Of, Number, Owners, Marks);
  return "unknown leaf";
}

} // namespace citronlever
