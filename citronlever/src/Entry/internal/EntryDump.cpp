#include "citronlever/src/Entry/internal/EntryDump.h"

#include <boost/json.hpp>

namespace citronlever {

namespace json = boost::json;

namespace {

json::array dumpCustomers(EntryCore &Core, TimePoint Now) {
  json::array Result;
  for (const CustomerStats &Stats : Core.AdmissionControl.customerStats(Now))
    Result.push_back(
        {{"customer", Stats.Customer},
         {"rate_share", Stats.HeldShare.InForce.Rate},
         {"burst_share", Stats.HeldShare.InForce.Burst},
         {"concurrency_share", Stats.HeldShare.InForce.Concurrency},
         {"grantor", Stats.HeldShare.Grantor},
         {"promised_to", Stats.HeldShare.PromisedTo},
         {"lease_left_ms", toMs(Stats.HeldShare.LeaseRemaining)},
         {"promise_left_ms", toMs(Stats.HeldShare.PromiseRemaining)},
         {"in_work", Stats.InFlight},
         {"admitted", Stats.Admitted},
         {"refused_rate", Stats.RefusedRate},
         {"refused_concurrency", Stats.RefusedConcurrency},
         {"refused_overload", Stats.RefusedOverload}});
  return Result;
}

json::array dumpRoutes(EntryCore &Core, TimePoint Now) {
  json::array Result;
  for (const RouteStats &Stats : Core.Metrics.routeStats(Now))
    Result.push_back({{"service", Stats.Service},
                      {"route", Stats.Route},
                      {"version", Stats.Version},
                      {"requests", Stats.Requests},
                      {"failures", Stats.Failures},
                      {"partial", Stats.Partial},
                      {"leaf_calls", Stats.LeafCalls},
                      {"p50_ms", Stats.P50Ms},
                      {"p99_ms", Stats.P99Ms}});
  return Result;
}

json::object dumpShedding(EntryCore &Core, TimePoint Now) {
  json::object Result;
  for (const auto &[Name, ServiceConfig] : Core.Config()->Services)
    Result[Name] = Core.AdmissionControl.shedFraction(Name, Now);
  return Result;
}

json::array dumpUnhealthyBrokers(EntryCore &Core, TimePoint Now) {
  json::array Result;
  for (const Member &Node : Core.Members()->Members)
    if (Node.Kind == Role::Broker && Core.Health.isUnhealthy(Node.Name, Now))
      Result.push_back(json::value(Node.Name));
  return Result;
}

} // namespace

json::value dumpEntry(EntryCore &Core, const EntryStatus &Status,
                      TimePoint Now) {
  return {{"phase", Status.Phase},
          {"discoverable", Status.Discoverable},
          {"in_flight", Status.InFlight},
          {"stray_replies", Core.StrayReplies.load()},
          {"snapshot_restarts", Core.SnapshotRestarts.load()},
          {"stand_by_calls", Core.StandByCalls.load()},
          {"brokers_avoided", dumpUnhealthyBrokers(Core, Now)},
          {"shed", dumpShedding(Core, Now)},
          {"customers", dumpCustomers(Core, Now)},
          {"routes", dumpRoutes(Core, Now)}};
}

} // namespace citronlever
