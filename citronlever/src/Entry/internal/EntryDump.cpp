#include "citronlever/src/Entry/internal/EntryDump.h"

#include <boost/json.hpp>

namespace citronlever {

namespace json = boost::json;

namespace {

json::array dumpCustomers(EntryCore &Core, TimePoint Now) {
  json::array Result;
  for (const CustomerStats &Each : Core.AdmissionControl.customerStats(Now))
    Result.push_back(
        {{"customer", Each.Customer},
         {"rate_share", Each.HeldShare.InForce.Rate},
         {"burst_share", Each.HeldShare.InForce.Burst},
         {"concurrency_share", Each.HeldShare.InForce.Concurrency},
         {"grantor", Each.HeldShare.Grantor},
         {"promised_to", Each.HeldShare.PromisedTo},
         {"lease_left_ms", toMs(Each.HeldShare.LeaseRemaining)},
         {"promise_left_ms", toMs(Each.HeldShare.PromiseRemaining)},
         {"in_work", Each.InFlight},
         {"admitted", Each.Admitted},
         {"refused_rate", Each.RefusedRate},
         {"refused_concurrency", Each.RefusedConcurrency},
         {"refused_overload", Each.RefusedOverload}});
  return Result;
}

json::array dumpRoutes(EntryCore &Core, TimePoint Now) {
  json::array Result;
  for (const RouteStats &Each : Core.Metrics.routeStats(Now))
    Result.push_back({{"service", Each.Service},
                      {"route", Each.Route},
                      {"version", Each.Version},
                      {"requests", Each.Requests},
                      {"failures", Each.Failures},
                      {"partial", Each.Partial},
                      {"leaf_calls", Each.LeafCalls},
                      {"p50_ms", Each.P50Ms},
                      {"p99_ms", Each.P99Ms}});
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
  for (const Member &Each : Core.Members()->Members)
    if (Each.Kind == Role::Broker && Core.Health.isUnhealthy(Each.Name, Now))
      Result.push_back(json::value(Each.Name));
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
