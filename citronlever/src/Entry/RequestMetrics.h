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

/// Statistics of one version on one route; the counters never decrease.
struct RouteStats {
  std::string Service;
  std::string Route;
  std::string Version;
  std::uint64_t Requests = 0;
  /// Requests that leaves failed or did not answer in time; refusals excluded.
  std::uint64_t Failures = 0;
  std::uint64_t Partial = 0;
  std::uint64_t LeafCalls = 0;
  /// Quantiles of recent latencies, in milliseconds.
  double P50Ms = 0;
  double P99Ms = 0;
};

/// Counts requests by route and version, and by error. Thread-safe.
class RequestMetrics {
public:
  /// Records the answer to a request that was planned, and counts its error.
  void recordAnswer(std::string_view Service, std::string_view Route,
                    const Answer &Result, Duration Latency, TimePoint Now);

  /// Counts a request that ended with \p Error, or None on success.
  void recordOutcome(EntryError Error);

  /// \returns the statistics, one element for each route and version.
  std::vector<RouteStats> routeStats(TimePoint Now);

  /// \returns the number of requests that ended with \p Error.
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
