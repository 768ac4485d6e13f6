#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/Evidence.h"
#include "citronlever/src/Rollout/LeafStage.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace citronlever {

/// One call to a leaf, as measured by the broker.
struct LeafCallSample {
  std::string_view Route;
  std::string_view Leaf;
  VersionSide Side = VersionSide::Old;
  bool Failed = false;
  double LatencyMs = 0;
  /// Failures count at any stage; latency is normalized unless the leaf is
  /// warm.
  LeafStage Stage = LeafStage::Warm;
  LeafStartEvent StartEvent = LeafStartEvent::None;
  /// Expected latency of a leaf of the old version at this stage; 0 if unknown.
  double ExpectedStartMs = 0;
  /// Slowdown that the service document allows during a cold start, as a factor
  /// on the baseline latency; 0 if not specified.
  double ColdFactor = 0;
};

/// Records the calls of one service under rollout between two intervals. The
/// latency of a leaf that is warming up is divided by the slowdown that leaves
/// of the old version show at the same stage, relative to their baseline; it is
/// omitted while that slowdown is unknown. Safe to call from several threads.
class EvidenceRecorder {
public:
  /// A leaf counts as seen for this long after a call.
  static constexpr Duration RecentCallWindow = Seconds(1);
  /// A leaf of the new version counts as starting for at least this long after
  /// its first call.
  static constexpr Duration MinStartTime = Seconds(3);
  /// Number of calls to warm leaves from which a baseline latency is computed.
  static constexpr std::uint64_t CallsPerBaseline = 30;

  /// Adds a call.
  void add(const LeafCallSample &Sample, TimePoint Now);

  /// \returns the evidence recorded since the previous call.
  std::vector<RouteEvidence> takeInterval(TimePoint Now);

private:
  using RouteKey = std::pair<std::string, VersionSide>;
  struct LeafActivity {
    TimePoint FirstCall{};
    TimePoint LastCall{};
    /// Had a failed call within the interval.
    bool Failing = false;
  };
  struct RouteState {
    RouteEvidence Interval;
    std::map<std::string, LeafActivity, std::less<>> Leaves;
    /// Calls to warm leaves since the baseline was last computed.
    LatencyHistogram WarmLatency;
    /// Median latency of warm leaves; 0 if unknown.
    double BaselineMs = 0;
  };

  static bool isStarting(const LeafCallSample &Sample, const LeafActivity &Leaf,
                         TimePoint Now);
  double startSlowdown(const LeafCallSample &Sample) const;

  std::mutex Mutex;
  std::map<RouteKey, RouteState> Routes;
};

} // namespace citronlever
