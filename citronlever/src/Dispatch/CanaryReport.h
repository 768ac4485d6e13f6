#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// What one process has seen of calls on one route since a move to another
/// version was ordered; counts only grow while the process lives.
struct CanaryCounts {
  std::string Route;
  /// Leaf of the new version; empty for all leaves of other versions together.
  std::string Leaf;
  std::uint32_t Calls = 0;
  std::uint32_t Failures = 0;
  /// Calls without failure that took several times the route's typical latency.
  std::uint32_t Slow = 0;

  bool isNewVersion() const { return !this->Leaf.empty(); }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Route, this->Leaf, this->Calls, this->Failures, this->Slow);
  }
};

/// What one process says of one move.
struct CanaryReport {
  /// Names the order, as RolloutDocument::Id does.
  std::string Id;
  /// Why this process has found the version bad; empty if it has not.
  std::string BadReason;
  std::vector<CanaryCounts> Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->BadReason, this->Counts);
  }
};

} // namespace citronlever
