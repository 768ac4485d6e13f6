#include "citronlever/src/Edge/EdgeNode.h"

#include <boost/json.hpp>

namespace citronlever {

std::vector<std::pair<std::string, double>> EdgeNode::metrics() const {
  const GatewayCounters &Requests = this->Runs.Counters;
  const LeafChannelCounters &Calls = this->Fleet.counters();
  const StoreCallCounts Store = this->Store.calls();
  const auto Version = this->Routes.get() ? this->Routes.get()->version() : 0;
  const auto Number = [](auto Value) { return static_cast<double>(Value); };
  return {{"requests_total", Number(Requests.Requests)},
          {"answered_total", Number(Requests.Answered)},
          {"partial_total", Number(Requests.Partial)},
          {"not_run_total", Number(Requests.NotRun)},
          {"failed_total", Number(Requests.Failed)},
          {"refused_total", Number(Requests.Refused)},
          {"callers_gone_total", Number(Requests.CallersGone)},
          {"turned_away_total", Number(Requests.TurnedAway)},
          {"leaf_calls_total", Number(Calls.Calls)},
          {"leaf_limited_calls_total", Number(Calls.LimitedCalls)},
          {"leaf_limit_denied_total", Number(this->Fleet.limitDenied())},
          {"leaf_connects_total", Number(Calls.Connects)},
          {"leaf_connect_failures_total", Number(Calls.ConnectFailures)},
          {"leaf_stray_bytes_total", Number(Calls.StrayBytes)},
          {"extra_sends_denied_total", Number(this->Fleet.extraSendsDenied())},
          {"leaf_connections", Number(this->Fleet.connections())},
          {"leaves_limited", Number(this->Fleet.limitedLeaves())},
          {"leaves", Number(this->Leaves.size())},
          {"store_reads_total", Number(Store.Reads)},
          {"store_watches_total", Number(Store.Watches)},
          {"store_writes_total", Number(Store.Writes)},
          {"store_renewals_total", Number(Store.Renewals)},
          {"store_failures_total", Number(Store.Failed)},
          {"callers_in_flight", Number(this->Callers.inFlight())},
          {"callers_connections", Number(this->Callers.connections())},
          {"route_version", Number(Version)},
          {"members", Number(this->Members.servingMembers().size())},
          {"moves_under_way", Number(this->Coordinator.activeRollouts())},
          {"loop_delay_seconds",
           std::chrono::duration<double>(this->LoopLag.mean()).count()}};
}

std::string EdgeNode::dump() const {
  boost::json::object Metrics;
  for (const auto &[Name, Value] : this->metrics())
    Metrics[Name] = Value;
  boost::json::array EntryStates;
  for (const FleetMember &Member : this->Entries)
    EntryStates.push_back(
        {{"name", Member.Name},
         {"domain", Member.Domain},
         {"silent", this->Probe->isUnresponsive(Member.PeerAddress)}});
  boost::json::array Rollouts;
  for (const auto &[Service, Trial] : this->Fleet.rollouts().all())
    Rollouts.push_back(
        {{"id", Trial.order().id()},
         {"version", Trial.order().Version},
         {"phase", Trial.state() ? phaseName(Trial.state()->Phase) : "ordered"},
         {"share", Trial.state() ? Trial.state()->Share : 0},
         {"found_bad", Trial.badReason()}});
  boost::json::array LeafStates;
  const TimePoint Now = Clock::now();
  this->Fleet.forEach([&](LeafChannel &Channel) {
    const LeafEntry &Entry = Channel.entry();
    const StatedRate &Stated = Channel.rateLimiter().stated();
    LeafStates.push_back({{"id", Entry.Id},
                          {"service", Entry.Service},
                          {"domain", Entry.Domain},
                          {"version", Entry.Version},
                          {"connections", Channel.connections()},
                          {"outstanding", Channel.stats().outstanding()},
                          {"slowness", Channel.stats().slowness(Now)},
                          {"stated_per_second", Stated.PerSecond.value_or(-1)},
                          {"stated_age_ms", toMs(Now - Stated.At)},
                          {"own_per_second", Channel.rateLimiter().ownRate()},
                          {"limited_calls", Channel.limitedCalls()},
                          {"suspect", Channel.stats().isSuspect()},
                          {"misdirected", Channel.isMisdirected()}});
  });
  return boost::json::serialize(
      boost::json::object{{"name", this->Settings.Name},
                          {"ready", this->isReady()},
                          {"store_away", this->Feed->isStoreUnavailable()},
                          {"figures", std::move(Metrics)},
                          {"entries", std::move(EntryStates)},
                          {"moves", std::move(Rollouts)},
                          {"leaves", std::move(LeafStates)}});
}

} // namespace citronlever
