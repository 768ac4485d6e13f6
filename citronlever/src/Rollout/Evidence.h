#pragma once

#include "citronlever/src/Rollout/LatencyHistogram.h"
#include "citronlever/src/Rollout/VersionSide.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Call statistics of one version on one route over one interval. Latencies of
/// leaves that are warming up are normalized (see EvidenceRecorder).
struct RouteEvidence {
  std::string Route;
  VersionSide Side = VersionSide::Old;
  std::uint32_t Calls = 0;
  std::uint32_t Failures = 0;
  /// Number of leaves that were called within the last second.
  std::uint32_t LeavesSeen = 0;
  /// Number of leaves with a failed call within the interval.
  std::uint32_t LeavesFailing = 0;
  LatencyHistogram Latency;

  bool operator==(const RouteEvidence &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Route, this->Side, this->Calls, this->Failures, this->LeavesSeen,
       this->LeavesFailing, this->Latency);
  }
};

/// Evidence of one interval (MessageType::EvidenceReport), sent by a broker to
/// the collector of its failure domain, and by the collector to the controller.
struct EvidenceReport {
  std::string Service;
  std::string RolloutId;
  std::string Reporter;
  /// Whether this is the sum over a failure domain, sent by its collector.
  bool OfDomain = false;
  std::vector<RouteEvidence> Routes;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->RolloutId, this->Reporter, this->OfDomain,
       this->Routes);
  }
};

/// Marks the version of a rollout as bad (MessageType::BadVersionMark). A mark
/// is never revoked; a new attempt is a new rollout with another id.
struct BadVersionMark {
  std::string Service;
  std::string RolloutId;
  std::string Reason;
  std::string MarkedBy;

  bool operator==(const BadVersionMark &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->RolloutId, this->Reason, this->MarkedBy);
  }
};

/// Adds \p From to \p Into by route and side. Each leaf has exactly one owner,
/// so the numbers of leaves add up without double counting.
void mergeEvidence(std::vector<RouteEvidence> &Into,
                   const std::vector<RouteEvidence> &From);

} // namespace citronlever
