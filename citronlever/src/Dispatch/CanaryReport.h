#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Call counters of one route in one process since a rollout was ordered. They
/// only grow while the process runs.
struct CanaryCounts {
  std::string Route;
  /// Leaf of the new version; empty for the sum over all leaves of other
  /// versions.
  std::string Leaf;
  std::uint32_t Calls = 0;
  std::uint32_t Failures = 0;
  /// Successful calls that took several times the route's typical latency.
  std::uint32_t Slow = 0;

  bool isNewVersion() const { return !this->Leaf.empty(); }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Route, this->Leaf, this->Calls, this->Failures, this->Slow);
  }
};

/// What one process reports about one rollout.
struct CanaryReport {
  /// Identifies the rollout; equals RolloutDocument::Id.
  std::string Id;
  /// Why this process considers the version bad; empty if it does not.
  std::string BadReason;
  std::vector<CanaryCounts> Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->BadReason, this->Counts);
  }
};

} // namespace citronlever
