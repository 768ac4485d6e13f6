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

/// Decides from the reports of several processes whether a new version is bad
/// or proved good. Load pattern: little traffic, of which the new version may
/// get a tenth, while leaves of either version are slow or down for reasons of
/// their own.
///
/// Each leaf of the new version is compared with the old versions on the same
/// route over the same seconds. The evidence that one leaf can contribute is
/// bounded, so that a single faulty leaf does not condemn a version with
/// several leaves: at least two must show the fault.
class CanaryAnalysis {
public:
  /// Level of evidence, summed over the leaves, that proves a version bad.
  static constexpr double BadThreshold = 5;
  /// Maximum contribution of one leaf if several leaves have been called.
  static constexpr double MaxLevelPerLeaf = 2.6;
  /// Calls to the new version on a route, since the step began, that are enough
  /// to prove it good there.
  static constexpr std::uint32_t MinCallsForProof = 6;
  /// Calls to the old versions, since the step began, from which a route counts
  /// as busy. The new version must be proved good on each busy route.
  static constexpr std::uint32_t BusyRouteCalls = 30;

  /// Adds the latest counters of a process.
  /// \param Reporter identifies one start of the process, because counters
  /// restart at zero with it.
  void add(std::string_view Reporter, std::span<const CanaryCounts> Reported);

  /// Ends an interval and updates the tests.
  /// \returns why the version is bad, or an empty string.
  std::string endInterval();

  /// Starts a rollout step: calls that prove the version good are counted from
  /// zero.
  void startStep();

  /// \returns whether the new version answered enough calls on each busy route
  /// since the step began, and no evidence against it has reached half of the
  /// threshold.
  bool isProvedGood() const;

private:
  /// Sums of call counters.
  struct Totals {
    double Calls = 0;
    double Failures = 0;
    double Slow = 0;

    void add(const Totals &Other);
  };
  /// Counters and tests of one leaf of the new version.
  struct LeafState {
    Totals Interval;
    SequentialTest Failing;
    SequentialTest Slow;
  };
  /// Counters and tests of one route.
  struct RouteState {
    Totals OldInterval;
    /// Counters of the old versions, one item for each of the last intervals.
    std::deque<Totals> Baseline;
    std::map<std::string, LeafState, std::less<>> Leaves;
    std::uint32_t OldCalls = 0;
    std::uint32_t NewCalls = 0;

    Totals baselineTotals() const;
    /// \returns the evidence of \p Test against the version, summed over its
    /// leaves.
    double totalLevel(SequentialTest LeafState::*Test) const;
    /// \returns the same without the leaf with the most evidence, whose fault
    /// may be its own.
    double levelWithoutWorst(SequentialTest LeafState::*Test) const;
  };

  /// Feeds the ended interval of one route to the tests of its leaves.
  static void updateTests(RouteState &State);

  std::map<std::string, RouteState, std::less<>> Routes;
  /// Last reported counters by reporter, route and leaf.
  std::map<std::pair<std::string, std::pair<std::string, std::string>>,
           CanaryCounts>
      LastCounts;
};

} // namespace citronlever
