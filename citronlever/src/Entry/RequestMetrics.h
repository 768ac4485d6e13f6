#pragma once

#include "citronlever/src/Core/QuantileWindow.h"
#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/Answer.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// What has been seen of one version on one route; the counts only rise.
struct RouteStats {
  std::string Service;
  std::string Route;
  std::string Version;
  std::uint64_t Requests = 0;
  /// Requests that leaves failed or left unanswered; refusals do not count.
  std::uint64_t Failures = 0;
  std::uint64_t Partial = 0;
  std::uint64_t LeafCalls = 0;
  /// Recent latencies, in milliseconds.
  double P50Ms = 0;
  double P99Ms = 0;
};

/// Stats requests by route and version and by how they ended. Safe to call
/// from several threads.
class RequestMetrics {
public:
  /// Notes a request that was planned.
  void recordAnswer(std::string_view Service, std::string_view Route,
                    const Answer &Result, Duration Latency, TimePoint Now);

  /// Notes a request that a filter refused.
  void recordOutcome(EntryError Error);

  /// \returns what has been seen, one element a route and version.
  std::vector<RouteStats> routeStats(TimePoint Now);

  /// \returns how many requests ended with \p Error.
  std::uint64_t count(EntryError Error) const;

private:
  struct RouteRecord {
    RouteRecord();
    RouteStats Stats;
    QuantileWindow P50;
    QuantileWindow P99;
  };

  static constexpr std::size_t ErrorCount = 16;

  ShardedMap<std::string, RouteRecord> Routes;
  std::array<std::atomic<std::uint64_t>, ErrorCount> Errors{};
};

} // namespace citronlever
