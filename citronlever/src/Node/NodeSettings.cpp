#include "citronlever/src/Node/NodeSettings.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"
#include "citronlever/src/Wire/Authenticator.h"

#include <boost/json.hpp>

namespace citronlever {

namespace {

constexpr std::size_t MinTokenBytes = 16;
constexpr int MaxThreads = 64;
constexpr int MaxGroupMembers = 10000;

std::string readSecret(JsonFields &Fields, std::string_view Name,
                       std::size_t MinBytes) {
  std::string Value = Fields.text(Name);
  if (Value.size() < MinBytes)
    Fields.fail(Name, "shorter than " + std::to_string(MinBytes) + " bytes");
  return Value;
}

std::string readNonEmpty(JsonFields &Fields, std::string_view Name) {
  std::string Value = Fields.text(Name);
  if (Value.empty())
    Fields.fail(Name, "empty");
  return Value;
}

std::vector<Endpoint> readEndpoints(JsonFields &Fields, std::string_view Name) {
  std::vector<Endpoint> Result;
  Fields.each(
      Name, [&](const boost::json::value &Element, const std::string &) {
        if (!Element.is_string())
          Fields.fail(Name, "has an element that is not a string");
        try {
          Result.push_back(
              endpointFromString(std::string_view(Element.get_string())));
        } catch (const SettingsError &Failure) {
          Fields.fail(Name, Failure.what());
        }
      });
  return Result;
}

void readExperiments(JsonFields &Fields, NodeSettings &Result) {
  const boost::json::value *Value = Fields.raw("experiments");
  if (!Value)
    return;
  JsonFields Switches(*Value, Fields.where() + ": experiments");
  Result.Hedging = Switches.boolean("hedging", true);
  Result.UseStandBys = Switches.boolean("stand_bys", true);
  Result.ClaimGroups = Switches.boolean("claim_groups", true);
  Result.UseRequestKeys = Switches.boolean("request_keys", true);
  Result.EnableSuspicion = Switches.boolean("suspicion", true);
  Result.EnableHeartbeats = Switches.boolean("heartbeats", true);
  Result.DetectPause = Switches.boolean("notice_pause", true);
  Result.ConfigRepair = Switches.boolean("config_repair", true);
  Result.RequireRisingRevision = Switches.boolean("config_only_rise", true);
  Result.MinConfigGroupMembers = static_cast<std::size_t>(
      Switches.integer("config_group_members", 1, MaxGroupMembers, 32));
  Switches.finish();
}

} // namespace

NodeSettings nodeSettingsFromJson(const boost::json::value &Value,
                                  const std::string &Where, Role Kind) {
  JsonFields Fields(Value, Where);
  NodeSettings Result;
  Result.Deployment = readNonEmpty(Fields, "deployment");
  Result.Vm = readNonEmpty(Fields, "vm");
  Result.Domain = readNonEmpty(Fields, "domain");
  Result.Key = readSecret(Fields, "key", Authenticator::MinKeyBytes);
  Result.PreviousKey = Fields.text("old_key", "");
  if (!Result.PreviousKey.empty() &&
      Result.PreviousKey.size() < Authenticator::MinKeyBytes)
    Fields.fail("old_key", "shorter than 16 bytes");
  Result.OperatorToken = readSecret(Fields, "operator_token", MinTokenBytes);
  Result.Peer = Fields.endpoint("peer");
  Result.AdvertisedPeer =
      Fields.optionalEndpoint("announce").value_or(Result.Peer);
  if (Kind == Role::Entry)
    Result.Callers = Fields.endpoint("callers");
  Result.Operators = Fields.endpoint("operators");
  Result.Platform = Fields.endpoint("platform");
  Result.Peers = readEndpoints(Fields, "peers");
  Result.Threads =
      static_cast<int>(Fields.integer("threads", 1, MaxThreads, 2));
  Result.DiscoveryTtl =
      Fields.milliseconds("discovery_ttl_ms", 100, 3600000, 5000);
  Result.ProbePeriod = Fields.milliseconds("probe_period_ms", 50, 60000, 500);
  Result.FailureTimeout =
      Fields.milliseconds("failure_timeout_ms", 200, 60000, 2000);
  Result.ProposalTimeout =
      Fields.milliseconds("proposal_timeout_ms", 500, 600000, 10000);
  readExperiments(Fields, Result);
  Fields.finish();
  return Result;
}

NodeSettings readNodeSettings(const std::string &Path, Role Kind) {
  return nodeSettingsFromJson(readJsonFile(Path), Path, Kind);
}

Member memberFromSettings(const NodeSettings &Settings, Role Kind,
                          std::uint64_t Incarnation) {
  Member Self;
  Self.Name = Settings.Vm + (Kind == Role::Entry ? "/entry" : "/broker");
  Self.Vm = Settings.Vm;
  Self.Domain = Settings.Domain;
  Self.Kind = Kind;
  Self.Incarnation = Incarnation;
  Self.Peer = Settings.AdvertisedPeer;
  Self.Callers = Settings.Callers;
  Self.Operators = Settings.Operators;
  return Self;
}

} // namespace citronlever
