#include "citronlever/src/Config/Service.h"

#include "citronlever/src/Config/Names.h"
#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>
#include <unordered_map>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxSlots = 1000;
constexpr std::int64_t MaxConnections = 10000;
constexpr std::int64_t MaxConnectCostMs = 10000;
constexpr std::int64_t MaxGroupShards = 1000;
constexpr double MaxColdFactor = 1000;

[[noreturn]] void throwSettingsError(std::string Where, std::string_view Reason,
                                     std::string_view Subject = {}) {
  Where.append(": ").append(Reason);
  if (!Subject.empty())
    Where.append(" '").append(Subject).append("'");
  throw SettingsError(Where);
}

using LeafIndex = std::unordered_map<std::string, std::uint32_t>;

Route readRoute(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  Route Result;
  Result.Name = readName(Fields, "name");
  Result.Idempotent = Fields.boolean("idempotent", true);
  Fields.finish();
  return Result;
}

Leaf readLeaf(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  Leaf Result;
  Result.Id = readName(Fields, "id");
  Result.Address = Fields.endpoint("address");
  Result.Vm = readName(Fields, "vm");
  Result.Domain = readName(Fields, "domain");
  Result.Version = readName(Fields, "version");
  Fields.finish();
  return Result;
}

LeafLimits readLimits(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  LeafLimits Result;
  Result.Slots =
      static_cast<int>(Fields.integer("slots", 1, MaxSlots, Result.Slots));
  Result.Connections = static_cast<int>(
      Fields.integer("connections", 2, MaxConnections, Result.Connections));
  Result.ColdSlots = static_cast<int>(
      Fields.integer("cold_slots", 1, Result.Slots, Result.ColdSlots));
  Result.ConnectCost = Fields.milliseconds(
      "connect_cost_ms", 0, MaxConnectCostMs, toMs(Result.ConnectCost));
  Result.ColdFactor =
      Fields.number("cold_factor", 1, MaxColdFactor, Result.ColdFactor);
  Fields.finish();
  return Result;
}

std::vector<std::uint32_t> readShard(const json::value &Value,
                                     const std::string &Where,
                                     const LeafIndex &Leaves) {
  if (!Value.is_array() || Value.get_array().empty())
    throwSettingsError(Where, "not a list of at least one leaf");
  std::vector<std::uint32_t> Result;
  for (const json::value &Id : Value.get_array()) {
    if (!Id.is_string())
      throwSettingsError(Where, "a leaf id is not a string");
    const std::string Name(Id.get_string());
    const auto Known = Leaves.find(Name);
    if (Known == Leaves.end())
      throwSettingsError(Where, "unknown leaf", Name);
    if (std::ranges::find(Result, Known->second) != Result.end())
      throwSettingsError(Where, "duplicate leaf", Name);
    Result.push_back(Known->second);
  }
  return Result;
}

Snapshot readSnapshot(const json::value &Value, const std::string &Where,
                      const LeafIndex &Leaves) {
  JsonFields Fields(Value, Where);
  Snapshot Result;
  Result.Id = readName(Fields, "id");
  Fields.each("shards", [&](const json::value &Shard, const std::string &At) {
    Result.Shards.push_back(readShard(Shard, At, Leaves));
  });
  if (Result.Shards.empty())
    Fields.fail("shards", "missing or empty");
  Fields.finish();
  return Result;
}

/// Reads a non-empty list whose elements have distinct values of the member \p
/// Key.
template <class Element, class Read, class KeyOf>
std::vector<Element> readList(JsonFields &Fields, std::string_view Name,
                              Read &&ReadOne, KeyOf Key) {
  std::vector<Element> Result;
  std::set<std::string> Seen;
  Fields.each(Name, [&](const json::value &Value, const std::string &At) {
    Result.push_back(ReadOne(Value, At));
    if (!Seen.insert(Result.back().*Key).second)
      throwSettingsError(At, "duplicate element", Result.back().*Key);
  });
  if (Result.empty())
    Fields.fail(Name, "missing or empty");
  return Result;
}

json::array shardsToJson(const Snapshot &From,
                         const std::vector<Leaf> &Leaves) {
  json::array Result;
  for (const auto &Shard : From.Shards) {
    json::array Ids;
    for (const std::uint32_t Index : Shard)
      Ids.emplace_back(Leaves[Index].Id);
    Result.emplace_back(std::move(Ids));
  }
  return Result;
}

json::value leafToJson(const Leaf &From) {
  return {{"id", From.Id},
          {"address", toString(From.Address)},
          {"vm", From.Vm},
          {"domain", From.Domain},
          {"version", From.Version}};
}

json::value limitsToJson(const LeafLimits &From) {
  json::object Result{{"slots", From.Slots},
                      {"connections", From.Connections},
                      {"cold_slots", From.ColdSlots},
                      {"connect_cost_ms", toMs(From.ConnectCost)}};
  if (From.ColdFactor > 0)
    Result["cold_factor"] = From.ColdFactor;
  return Result;
}

} // namespace

const Snapshot *Service::findSnapshot(std::string_view Id) const {
  const auto Found = std::ranges::find(this->Snapshots, Id, &Snapshot::Id);
  return Found == this->Snapshots.end() ? nullptr : &*Found;
}

const Route *Service::findRoute(std::string_view Name) const {
  const auto Found = std::ranges::find(this->Routes, Name, &Route::Name);
  return Found == this->Routes.end() ? nullptr : &*Found;
}

Service serviceFromJson(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  Service Result;
  Result.Name = readName(Fields, "name");
  Result.Version = readName(Fields, "version");
  Result.GroupShards = static_cast<std::uint32_t>(
      Fields.integer("group_shards", 1, MaxGroupShards, Result.GroupShards));
  Result.HedgeBudget = Fields.number("hedge_budget", 0, 1, Result.HedgeBudget);
  if (const json::value *Limits = Fields.raw("limits"))
    Result.Limits = readLimits(*Limits, Where + ": limits");
  Result.Routes = readList<Route>(Fields, "routes", readRoute, &Route::Name);
  Result.Leaves = readList<Leaf>(Fields, "leaves", readLeaf, &Leaf::Id);
  LeafIndex Leaves;
  for (std::uint32_t Index = 0; Index < Result.Leaves.size(); ++Index)
    Leaves.emplace(Result.Leaves[Index].Id, Index);
  Result.Snapshots = readList<Snapshot>(
      Fields, "snapshots",
      [&](const json::value &Element, const std::string &At) {
        return readSnapshot(Element, At, Leaves);
      },
      &Snapshot::Id);
  Fields.finish();
  return Result;
}

json::value toJson(const Service &Value) {
  json::array Routes;
  for (const Route &RouteInfo : Value.Routes)
    Routes.push_back(
        {{"name", RouteInfo.Name}, {"idempotent", RouteInfo.Idempotent}});
  json::array Leaves;
  for (const Leaf &LeafInfo : Value.Leaves)
    Leaves.push_back(leafToJson(LeafInfo));
  json::array Snapshots;
  for (const Snapshot &SnapshotInfo : Value.Snapshots)
    Snapshots.push_back({{"id", SnapshotInfo.Id},
                         {"shards", shardsToJson(SnapshotInfo, Value.Leaves)}});
  return {{"name", Value.Name},
          {"version", Value.Version},
          {"group_shards", Value.GroupShards},
          {"hedge_budget", Value.HedgeBudget},
          {"limits", limitsToJson(Value.Limits)},
          {"routes", std::move(Routes)},
          {"leaves", std::move(Leaves)},
          {"snapshots", std::move(Snapshots)}};
}

} // namespace citronlever
