#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LeafTracker.h"

#include <string>
#include <vector>

namespace citronlever::internal {

/// What a leaf's owner knows of it beside its tracker.
struct LeafDescriptionContext {
  /// Operators, or the list of leaving VMs, took it out.
  bool OutByOperators = false;
  bool VmLeaving = false;
  /// Part of its work that a returning leaf gets; 1 for any other.
  double ReturnShare = 1;
  /// Latency of the quickest other replica of its shards; 0 if unknown.
  double FastestReplicaMs = 0;
  /// A replica that is this many times slower is avoided.
  double AvoidRatio = 1;
  /// When a call last changed its phase, and how that call ended.
  TimePoint PhaseSince{};
  std::string PhaseChangeOutcome;
};

/// Says in words why a leaf gets less work than it bears when warm.
std::vector<std::string> describeLeaf(const LeafTracker &Tracker,
                                      const LeafDescriptionContext &Context,
                                      TimePoint Now);

} // namespace citronlever::internal
