#include "test/standins/LeafBehaviour.h"

#include <boost/json/array.hpp>
#include <boost/json/value_to.hpp>

#include <functional>
#include <stdexcept>

namespace citronlever::standin {

namespace json = boost::json;

namespace {

using Setter = std::function<void(LeafBehaviour &, const json::value &)>;

Setter intSetter(int LeafBehaviour::*Field) {
  return [Field](LeafBehaviour &Behaviour, const json::value &Value) {
    Behaviour.*Field = Value.to_number<int>();
  };
}

Setter doubleSetter(double LeafBehaviour::*Field) {
  return [Field](LeafBehaviour &Behaviour, const json::value &Value) {
    Behaviour.*Field = Value.to_number<double>();
  };
}

Setter durationSetter(Duration LeafBehaviour::*Field) {
  return [Field](LeafBehaviour &Behaviour, const json::value &Value) {
    Behaviour.*Field = Milliseconds(Value.to_number<std::int64_t>());
  };
}

Setter boolSetter(bool LeafBehaviour::*Field) {
  return [Field](LeafBehaviour &Behaviour, const json::value &Value) {
    Behaviour.*Field = Value.as_bool();
  };
}

Setter stringSetter(std::string LeafBehaviour::*Field) {
  return [Field](LeafBehaviour &Behaviour, const json::value &Value) {
    Behaviour.*Field = json::value_to<std::string>(Value);
  };
}

void setReplyFault(LeafBehaviour &Behaviour, const json::value &Value) {
  static const std::map<std::string, ReplyFault> Names = {
      {"none", ReplyFault::None},
      {"wrong_id", ReplyFault::WrongId},
      {"wrong_snapshot", ReplyFault::WrongSnapshot},
      {"truncated", ReplyFault::Truncated},
      {"doubled", ReplyFault::Doubled},
      {"late", ReplyFault::Late}};
  Behaviour.Fault = Names.at(json::value_to<std::string>(Value));
}

VersionBehaviour versionFromJson(const json::object &Fields) {
  VersionBehaviour Result;
  for (const auto &[Name, Value] : Fields) {
    if (Name == "fail_share")
      Result.FailShare = Value.to_number<double>();
    else if (Name == "slow_factor")
      Result.SlowFactor = Value.to_number<double>();
    else if (Name == "after_ms")
      Result.After = Milliseconds(Value.to_number<std::int64_t>());
    else if (Name == "under_load")
      Result.UnderLoad = Value.as_bool();
    else if (Name == "route")
      Result.Route = json::value_to<std::string>(Value);
    else
      throw std::invalid_argument("unknown field " + std::string(Name));
  }
  return Result;
}

void setVersions(LeafBehaviour &Behaviour, const json::value &Value) {
  Behaviour.Versions.clear();
  for (const auto &[Name, Fields] : Value.as_object())
    Behaviour.Versions.emplace(Name, versionFromJson(Fields.as_object()));
}

void setSnapshots(LeafBehaviour &Behaviour, const json::value &Value) {
  Behaviour.Snapshots.clear();
  for (const auto &[Name, Shards] : Value.as_object()) {
    auto &HeldShards = Behaviour.Snapshots[std::string(Name)];
    for (const json::value &Shard : Shards.as_array())
      HeldShards.insert(Shard.to_number<std::uint32_t>());
  }
}

const std::map<std::string, Setter, std::less<>> &setters() {
  using LB = LeafBehaviour;
  static const std::map<std::string, Setter, std::less<>> Table = {
      {"slots", intSetter(&LB::Slots)},
      {"connections", intSetter(&LB::Connections)},
      {"queue_limit", intSetter(&LB::QueueLimit)},
      {"connect_cost_ms", durationSetter(&LB::ConnectCost)},
      {"service_ms", doubleSetter(&LB::ServiceMs)},
      {"exponential", boolSetter(&LB::Exponential)},
      {"straggle_share", doubleSetter(&LB::StragglerShare)},
      {"straggle_factor", doubleSetter(&LB::StragglerFactor)},
      {"slow_factor", doubleSetter(&LB::SlowFactor)},
      {"fail_share", doubleSetter(&LB::FailShare)},
      {"stall_share", doubleSetter(&LB::StallShare)},
      {"cold_slots", intSetter(&LB::ColdSlots)},
      {"cold_ms", durationSetter(&LB::MinColdTime)},
      {"cold_requests", intSetter(&LB::MinColdRequests)},
      {"cold_factor", doubleSetter(&LB::ColdSlowFactor)},
      {"fall_ms", durationSetter(&LB::OverloadFailureTime)},
      {"draining", boolSetter(&LB::Draining)},
      {"ignore_cancel", boolSetter(&LB::IgnoreCancel)},
      {"ignore_deadline", boolSetter(&LB::IgnoreDeadline)},
      {"health_lag_ms", durationSetter(&LB::HealthLag)},
      {"health_lie", stringSetter(&LB::ReportedHealth)},
      {"reply_fault", setReplyFault},
      {"reply_fault_share", doubleSetter(&LB::ReplyFaultShare)},
      {"reply_fault_ms", durationSetter(&LB::ReplyFaultDelay)},
      {"version", stringSetter(&LB::Version)},
      {"versions", setVersions},
      {"snapshots", setSnapshots},
      {"journal_requests", boolSetter(&LB::JournalRequests)}};
  return Table;
}

} // namespace

void LeafBehaviour::apply(const json::object &Fields) {
  for (const auto &[Name, Value] : Fields) {
    const auto Found = setters().find(std::string_view(Name));
    if (Found == setters().end())
      throw std::invalid_argument("unknown field " + std::string(Name));
    Found->second(*this, Value);
  }
}

} // namespace citronlever::standin
