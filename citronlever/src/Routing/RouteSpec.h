#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Whether a request may run more than once.
enum class RequestKind : std::uint8_t { Idempotent, NonIdempotent };

/// One of the services that share a route's requests.
struct WeightedService {
  std::string Name;
  double Weight = 1;
};

/// Where requests of one host and path prefix go, and what they are promised.
/// Exactly one of \c Targets and \c Shards is filled.
struct RouteSpec {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RequestKind Kind = RequestKind::NonIdempotent;
  /// Services that take requests in proportion to their weights.
  std::vector<WeightedService> Targets;
  /// Services that are each asked for their part of one answer.
  std::vector<std::string> Shards;
  /// Most leaves that one request, or one shard of it, is sent to.
  int Attempts = 1;
  Duration Timeout = Seconds(10);
  Duration LatencyObjective = Seconds(1);
  /// 0 is the most urgent.
  int Priority = 0;
  /// Records of a merged answer.
  std::size_t MaxMergedRecords = 0;
  /// Share of the shards below which an answer is none.
  double MinCoverage = 1;

  bool isScatter() const { return !this->Shards.empty(); }
};

/// What the operators say of a service.
struct ServiceSpec {
  std::string Name;
  std::string HealthPath;
  /// Connections that one leaf accepts from all senders together.
  int ConnectionCap = 1;
  /// Requests a second that a cold leaf bears from all senders together; 0
  /// means that none is stated.
  double ColdRatePerSecond = 0;
};

/// Bounds of what a caller may send.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16 << 10;
  std::size_t MaxBodyBytes = 256 << 10;
  Duration HeaderTimeout = Seconds(3);
  Duration IdleTimeout = Seconds(15);
};

} // namespace citronlever
