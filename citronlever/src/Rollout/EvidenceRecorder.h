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
  LeafStage Stage = LeafStage::Settled;
  LeafStartEvent Sign = LeafStartEvent::None;
  /// What a leaf of the old version takes at this stage; 0 if unknown.
  double StartMs = 0;
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
  static constexpr Duration RecentTime = Seconds(1);
  /// Shortest time for which a leaf of the new version counts as starting.
  static constexpr Duration StartTime = Seconds(3);
  /// Calls of settled leaves for the old version's usual latency.
  static constexpr std::uint64_t UsualCalls = 30;

  /// Adds a call.
  void add(const LeafCallSample &Sample, TimePoint Now);

  /// \returns the evidence since the last call of this function.
  std::vector<RouteEvidence> drain(TimePoint Now);

private:
  using RouteKey = std::pair<std::string, VersionSide>;
  struct LeafTimes {
    TimePoint FirstCall{};
    TimePoint LastCall{};
    /// Failed within the interval.
    bool Failing = false;
  };
  struct RouteState {
    RouteEvidence Interval;
    std::map<std::string, LeafTimes, std::less<>> Leaves;
    /// Of settled leaves since the usual latency was last worked out.
    LatencyHistogram Settled;
    /// Median latency of settled leaves; 0 if unknown.
    double UsualMs = 0;
  };

  static bool starts(const LeafCallSample &Sample, const LeafTimes &Leaf,
                     TimePoint Now);
  double startFactor(const LeafCallSample &Sample) const;

  std::mutex Mutex;
  std::map<RouteKey, RouteState> Routes;
};

} // namespace citronlever
