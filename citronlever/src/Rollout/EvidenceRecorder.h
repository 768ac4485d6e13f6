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

/// One leaf call as the broker saw it.
struct LeafCallSample {
  std::string_view Route;
  std::string_view Leaf;
  VersionSide Side = VersionSide::Old;
  bool Failed = false;
  double LatencyMs = 0;
  /// A leaf that starts fails like any other but may be slow by itself.
  LeafStage Stage = LeafStage::Warm;
  LeafStartEvent StartEvent = LeafStartEvent::None;
  /// What a leaf of the old version takes at this stage; 0 if unknown.
  double ExpectedStartMs = 0;
  /// How many times slower than usual the service document allows a leaf to be
  /// while it starts; 0 if it does not say.
  double ColdFactor = 0;
};

/// Collects the calls of one service under rollout between two intervals. The
/// latency of a leaf that starts is divided by how much slower a start of the
/// old version's leaves is than their usual latency; while that is unknown it
/// is left out. Safe to call from several threads.
class EvidenceRecorder {
public:
  /// Time for which a called leaf counts as seen.
  static constexpr Duration RecentCallWindow = Seconds(1);
  /// Shortest time for which a leaf of the new version counts as starting.
  static constexpr Duration MinStartTime = Seconds(3);
  /// Calls of settled leaves for the old version's usual latency.
  static constexpr std::uint64_t CallsPerBaseline = 30;

  /// Adds a call.
  void add(const LeafCallSample &Sample, TimePoint Now);

  /// \returns the evidence since the last call of this function.
  std::vector<RouteEvidence> takeInterval(TimePoint Now);

private:
  using RouteKey = std::pair<std::string, VersionSide>;
  struct LeafActivity {
    TimePoint FirstCall{};
    TimePoint LastCall{};
    /// Failed within the interval.
    bool Failing = false;
  };
  struct RouteState {
    RouteEvidence Interval;
    std::map<std::string, LeafActivity, std::less<>> Leaves;
    /// Of settled leaves since the usual latency was last worked out.
    LatencyHistogram WarmLatency;
    /// Median latency of settled leaves; 0 if unknown.
    double BaselineMs = 0;
  };

  static bool isStarting(const LeafCallSample &Sample, const LeafActivity &Leaf,
                         TimePoint Now);
  double startSlowdown(const LeafCallSample &Sample) const;

  std::mutex Mutex;
  std::map<RouteKey, RouteState> Routes;
};

} // namespace citronlever
