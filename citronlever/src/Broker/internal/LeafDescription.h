#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LeafTracker.h"

#include <string>
#include <vector>

namespace citronlever::internal {

/// What the owner of a leaf knows about it besides its tracker.
struct LeafDescriptionContext {
  /// Operators took its failure domain or VM out of service.
  bool OutByOperators = false;
  /// The platform reports that its VM is leaving.
  bool VmLeaving = false;
  /// Part of its full load that a leaf returning to service gets; 1 for others.
  double ReturnShare = 1;
  /// Latency of the fastest other replica of its shards; 0 if unknown.
  double FastestReplicaMs = 0;
  /// A replica that is slower than the fastest by more than this factor is
  /// avoided.
  double AvoidRatio = 1;
  /// When a call last changed the phase, and the outcome of that call.
  TimePoint PhaseSince{};
  std::string PhaseChangeOutcome;
};

/// \returns sentences for operators that say why the leaf gets less load than
/// it handles when warm.
std::vector<std::string> describeLeaf(const LeafTracker &Tracker,
                                      const LeafDescriptionContext &Context,
                                      TimePoint Now);

} // namespace citronlever::internal
