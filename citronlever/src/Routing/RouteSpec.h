#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Whether a request may be executed more than once.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent };

/// A service that receives part of a route's requests. Weights are relative to
/// each other.
struct WeightedService {
  std::string Name;
  double Weight = 1;
};

/// Destination and service objectives of the requests for one host and path
/// prefix. Exactly one of \c Targets and \c Shards is non-empty.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Starts and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Services among which requests are split in proportion to their weights.
  std::vector<WeightedService> Targets;
  /// Services that are all queried for one request; their partial answers are
  /// merged.
  std::vector<std::string> Shards;
  /// Maximum number of leaves to which one request, or one shard of it, is
  /// sent.
  int Attempts = 1;
  Duration Timeout = Seconds(10);
  Duration LatencyObjective = Seconds(1);
  /// 0 is the highest priority.
  int Priority = 0;
  /// Maximum number of records in a merged answer.
  std::size_t MaxMergedRecords = 0;
  /// Minimum fraction of the shards, in [0, 1], that an answer must cover;
  /// answers below it are failures.
  double MinCoverage = 1;

  /// \returns whether each request is sent to all of \c Shards.
  bool isScatter() const { return !this->Shards.empty(); }
};

/// Configuration of a service, as set by the operators.
struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Maximum number of connections that one leaf accepts from all senders
  /// together.
  int ConnectionCap = 1;
  /// Maximum requests per second that a cold leaf handles from all senders
  /// together; 0 if not configured.
  double ColdRatePerSecond = 0;
};

/// Size and time limits for requests and connections of callers.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 256 << 10;
  Duration HeaderTimeout = Seconds(3);
  Duration IdleTimeout = Seconds(15);
};

} // namespace citronlever
