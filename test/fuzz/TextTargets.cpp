#include "test/fuzz/Target.h"

#include "citronlever/Config"
#include "citronlever/Core"
#include "citronlever/Entry"
#include "citronlever/Node"
#include "citronlever/Rollout"
#include "citronlever/src/Broker/internal/RowReader.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <stdexcept>

namespace citronlever::fuzz {

namespace {

constexpr std::string_view ServiceText = R"({"name":"bench","version":"v1",
"group_shards":4,"hedge_budget":0.05,"limits":{"slots":2,"connections":25,
"cold_slots":1,"connect_cost_ms":5},"routes":[{"name":"lookup",
"idempotent":true}],"leaves":[{"id":"a","address":"127.0.0.1:9000","vm":"up1",
"domain":"fd1","version":"v1"}],"snapshots":[{"id":"s1","shards":[["a"]]}]})";

constexpr std::string_view ContractText = R"({"customer":"a","rate":500,
"burst":100,"concurrency":64,"priority":1,"deadline_ms":150,
"lowest_coverage":0.9,"first":"time","hedge_budget":0.05})";

constexpr std::string_view SettingsText = R"({"deployment":"d","vm":"vm1",
"domain":"fd1","key":"sixteen bytes or more","old_key":"",
"operator_token":"sixteen bytes or more","peer":"127.0.0.1:7001",
"callers":"127.0.0.1:8001","operators":"127.0.0.1:8101",
"platform":"127.0.0.1:6000","peers":["127.0.0.1:7002"],"threads":2})";

constexpr std::string_view RowsText = R"({"rows":[{"key":"k","score":0.5,
"snapshot":"s1","text":"t"},{"key":"l","score":0.25,"snapshot":"s1"}]})";

void addJson(std::vector<Target> &Into, std::string Name, std::string_view Good,
             const std::function<void(const boost::json::value &)> &Use) {
  Into.push_back({std::move(Name), {bytesOf(Good)}, [Use](ByteView From) {
                    Use(parseJson(textOf(From), "fuzz"));
                  }});
}

void addDocuments(std::vector<Target> &Into) {
  addJson(Into, "service", ServiceText,
          [](const auto &Value) { serviceFromJson(Value, "fuzz"); });
  addJson(Into, "contract", ContractText,
          [](const auto &Value) { contractFromJson(Value, "fuzz"); });
  addJson(Into, "settings", SettingsText, [](const auto &Value) {
    nodeSettingsFromJson(Value, "fuzz", Role::Entry);
  });
  addJson(Into, "move", boost::json::serialize(toJson(DrainDocument{})),
          [](const auto &Value) { drainFromJson(Value, "fuzz"); });
  RolloutDocument Rollout;
  Rollout.Id = "r-1";
  Rollout.Service = "bench";
  Rollout.FromVersion = "v1";
  Rollout.ToVersion = "v2";
  Rollout.Deadline = Seconds(600);
  addJson(Into, "rollout", boost::json::serialize(toJson(Rollout)),
          [](const auto &Value) { rolloutFromJson(Value, "fuzz"); });
}

void addStore(std::vector<Target> &Into) {
  ConfigLog Log;
  Log.Lineage = "l-1";
  append(Log, {1, "contracts/a", "p-1", false, "vm1/entry", 1});
  append(Log, {2, "contracts/b", "p-2", false, "vm1/entry", 2});
  const auto Read = [](ByteView From) {
    const std::string Again = toText(configLogFromText(textOf(From)));
    if (toText(configLogFromText(Again)) != Again)
      throw std::logic_error("written again, the log reads otherwise");
  };
  Into.push_back({"store log", {bytesOf(toText(Log))}, Read});
  Into.push_back({"checkpoint",
                  {bytesOf(checkpointToText(ConfigState{}))},
                  [](ByteView From) { checkpointFromText(textOf(From)); }});
}

void addRows(std::vector<Target> &Into) {
  Into.push_back({"rows", {bytesOf(RowsText)}, [](ByteView From) {
                    const auto Rows = internal::readRows(textOf(From), "s1");
                    if (Rows && !std::ranges::is_sorted(*Rows, ranksBefore))
                      throw std::logic_error("rows out of order were taken");
                  }});
}

/// A caller's request: the first line is its target, the rest its body.
void addRequests(std::vector<Target> &Into) {
  auto Config = std::make_shared<ConfigView>();
  auto Bench = std::make_shared<Service>(
      serviceFromJson(parseJson(ServiceText, "fuzz"), "fuzz"));
  Config->Services[Bench->Name] = Bench;
  const auto Run = [Config](ByteView From) {
    const std::string_view Text = textOf(From);
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    auto Request = std::make_shared<HttpRequest>();
    Request->Method = "POST";
    Request->Target = std::string(Text.substr(0, End));
    Request->Headers.set("X-Deadline-Ms", Text.substr(End));
    Request->Headers.set("X-Customer", "a");
    Request->Body = std::string(Text.substr(std::min(End + 1, Text.size())));
    static_cast<void>(Request->query("customer"));
    RequestContext Context;
    Context.Received = Clock::now();
    Context.Request = Request;
    Context.Config = Config;
    if (!ParseFilter().apply(Context, Context.Received))
      static_cast<void>(DeadlineFilter().apply(Context, Context.Received));
  };
  Into.push_back({"caller's request",
                  {bytesOf("/v1/bench/lookup?customer=a%20b\n{\"limit\":10}"),
                   bytesOf("/v1/bench/lookup\n{}")},
                  Run});
}

} // namespace

void addTextTargets(std::vector<Target> &Into) {
  addDocuments(Into);
  addStore(Into);
  addRows(Into);
  addRequests(Into);
}

} // namespace citronlever::fuzz
