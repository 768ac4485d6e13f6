#pragma once

#include "citronlever/src/Dispatch/CanaryReport.h"
#include "citronlever/src/Rollout/SequentialTest.h"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace citronlever {

/// Decides from the reports of several processes whether a version is bad, or
/// has shown itself good. Load pattern: little traffic, of which the new
/// version may get a tenth, while leaves of both versions are slow or gone by
/// themselves.
///
/// Each leaf of the new version is held against the old versions on the same
/// route in the same seconds. One leaf in trouble does not convict a version
/// that has several: what counts against a leaf is bounded, so that two at
/// least must show it.
class CanaryAnalysis {
public:
  /// Level of suspicion, summed over the leaves, that proves a version bad.
  static constexpr double BadThreshold = 5;
  /// Most that one leaf adds where several have been called.
  static constexpr double MaxLevelPerLeaf = 2.6;
  /// Calls on a route since the step began after which a verdict on it counts.
  static constexpr std::uint32_t MinCallsForProof = 6;
  /// Calls of the old versions that make a route one that must be proved.
  static constexpr std::uint32_t BusyRouteCalls = 30;

  /// Takes the counts of a process; \p Reporter differs between two starts.
  void add(std::string_view Reporter, std::span<const CanaryCounts> Reported);

  /// Ends an interval. \returns why the version is bad, or an empty text.
  std::string endInterval();

  /// Begins to count calls for proof anew.
  void startStep();

  /// \returns whether each busy route has been answered often enough by the new
  /// version since the step began, and nothing is half proved against it.
  bool isProvedGood() const;

private:
  struct Totals {
    double Calls = 0;
    double Failures = 0;
    double Slow = 0;

    void add(const Totals &Other);
  };
  struct LeafState {
    Totals Interval;
    SequentialTest Failing;
    SequentialTest Slow;
  };
  struct RouteState {
    Totals OldInterval;
    /// The old versions' last intervals.
    std::deque<Totals> Baseline;
    std::map<std::string, LeafState, std::less<>> Leaves;
    std::uint32_t OldCalls = 0;
    std::uint32_t NewCalls = 0;

    Totals baselineTotals() const;
    /// \returns what stands against the version by \p Test.
    double totalLevel(SequentialTest LeafState::*Test) const;
    /// \returns the same without the leaf that looks worst, which may be in
    /// trouble by itself.
    double levelWithoutWorst(SequentialTest LeafState::*Test) const;
  };

  static void updateTests(RouteState &State);

  std::map<std::string, RouteState, std::less<>> Routes;
  /// Last counts by reporter, route and leaf.
  std::map<std::pair<std::string, std::pair<std::string, std::string>>,
           CanaryCounts>
      LastCounts;
};

} // namespace citronlever
