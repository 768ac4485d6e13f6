#include "citronlever/src/Entry/RequestMetrics.h"

namespace citronlever {

namespace {

constexpr Duration QuantilePeriod = Seconds(10);

std::string keyOf(std::string_view Service, std::string_view Route,
                  std::string_view Version) {
  std::string Key(Service);
  Key += '\n';
  Key += Route;
  Key += '\n';
  Key += Version;
  return Key;
}

/// \returns whether the error counts as a failure of the version used.
bool isFailure(EntryError Error) {
  return Error == EntryError::UpstreamFailed ||
         Error == EntryError::DeadlinePassed ||
         Error == EntryError::CoverageBelowContract;
}

} // namespace

RequestMetrics::RouteRecord::RouteRecord()
    : P50(0.5, QuantilePeriod), P99(0.99, QuantilePeriod) {}

void RequestMetrics::recordAnswer(std::string_view Service,
                                  std::string_view Route, const Answer &Result,
                                  Duration Latency, TimePoint Now) {
  this->recordOutcome(Result.Error);
  const std::string Key = keyOf(Service, Route, Result.Version);
  const double LatencyMs =
      std::chrono::duration<double, std::milli>(Latency).count();
  this->Routes.with(Key, [&](auto &Map) {
    RouteRecord &Record = Map[Key];
    RouteStats &Stats = Record.Stats;
    if (Stats.Requests == 0) {
      Stats.Service = Service;
      Stats.Route = Route;
      Stats.Version = Result.Version;
    }
    ++Stats.Requests;
    Stats.Failures += isFailure(Result.Error) ? 1 : 0;
    Stats.Partial += Result.isPartial() ? 1 : 0;
    Stats.LeafCalls += Result.LeafCalls;
    Record.P50.add(LatencyMs, Now);
    Record.P99.add(LatencyMs, Now);
  });
}

void RequestMetrics::recordOutcome(EntryError Error) {
  this->Errors[static_cast<std::size_t>(Error)].fetch_add(
      1, std::memory_order_relaxed);
}

std::vector<RouteStats> RequestMetrics::routeStats(TimePoint Now) {
  std::vector<RouteStats> Result;
  this->Routes.forEach([&](const std::string &, RouteRecord &Record) {
    RouteStats Stats = Record.Stats;
    Stats.P50Ms = Record.P50.value(Now);
    Stats.P99Ms = Record.P99.value(Now);
    Result.push_back(std::move(Stats));
  });
  return Result;
}

std::uint64_t RequestMetrics::count(EntryError Error) const {
  return this->Errors[static_cast<std::size_t>(Error)].load(
      std::memory_order_relaxed);
}

} // namespace citronlever
