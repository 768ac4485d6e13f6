#include "citronlever/src/Rollout/Evidence.h"

#include <algorithm>

namespace citronlever {

void mergeEvidence(std::vector<RouteEvidence> &Into,
                   const std::vector<RouteEvidence> &From) {
  for (const RouteEvidence &Evidence : From) {
    const auto Found = std::find_if(Into.begin(), Into.end(),
                                    [&](const RouteEvidence &Existing) {
                                      return Existing.Route == Evidence.Route &&
                                             Existing.Side == Evidence.Side;
                                    });
    if (Found == Into.end()) {
      Into.push_back(Evidence);
      Into.back().Latency.limitBuckets();
      continue;
    }
    Found->Calls += Evidence.Calls;
    Found->Failures += Evidence.Failures;
    Found->LeavesSeen += Evidence.LeavesSeen;
    Found->LeavesFailing += Evidence.LeavesFailing;
    LatencyHistogram Bounded = Evidence.Latency;
    Bounded.limitBuckets();
    Found->Latency.merge(Bounded);
  }
}

} // namespace citronlever
