#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/Evidence.h"
#include "citronlever/src/Rollout/SequentialTest.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace citronlever {

/// Why a version counts as bad.
struct RegressionFinding {
  std::string Route;
  std::string Reason;
  /// Counts of both versions that led to the finding, as text for operators.
  std::string Evidence;
};

/// Compares a new version with the old one on the same routes at the same time,
/// interval by interval. Runs on every broker over its own calls, on the
/// collector over its failure domain, and on the controller over the whole
/// service.
class RegressionDetector {
public:
  /// Number of calls that the new version must have answered on each route
  /// before it can count as good.
  static constexpr std::uint64_t MinCallsPerRoute = 200;

  /// Adds one interval.
  /// \returns a finding once a test shows that the new version is worse.
  std::optional<RegressionFinding> add(std::span<const RouteEvidence> Interval);

  /// Resets the call counts for the next step; the tests keep their levels.
  void startStep();

  /// \returns whether the new version has answered MinCallsPerRoute calls since
  /// the step began on every route with calls, and no test is above half of its
  /// threshold.
  bool isProvedGood() const;

  /// \returns whether a test is close enough to its threshold that more calls
  /// to the new version should soon decide it.
  bool isSuspicious() const;

  /// \returns for each route the counts since the step began, as text for
  /// operators.
  std::string summary() const;

private:
  /// Number of batches that form the baseline. Also the number of intervals
  /// after which a batch is evaluated even if it is small.
  static constexpr std::size_t BaselineIntervals = 10;

  /// Consecutive intervals that are evaluated together, so that there are
  /// enough calls of the old version at the same time to compare with.
  struct Batch {
    RouteEvidence Old;
    RouteEvidence New;
    std::size_t Intervals = 0;
  };
  struct RouteState {
    std::deque<RouteEvidence> RecentOld;
    /// Statistics of the new version in the same batches.
    std::deque<RouteEvidence> RecentNew;
    Batch Pending;
    SequentialTest FailureTest;
    SequentialTest MedianTest;
    SequentialTest TailTest;
    std::uint64_t OldCalls = 0;
    std::uint64_t NewCalls = 0;
    std::uint64_t NewFailures = 0;
  };

  static void addToBatch(RouteState &State,
                         std::span<const RouteEvidence> Interval,
                         std::string_view Route);
  static bool isBatchComplete(const Batch &Current);
  static void evaluateBatch(RouteState &State);
  static void addFailures(SequentialTest &Test, const Batch &Current,
                          const RouteEvidence &Baseline);
  static void addLatency(SequentialTest &Test, const Batch &Current,
                         const RouteEvidence &Baseline, double Quantile);
  static const char *regressionReason(const RouteState &State);
  static double highestLevel(const RouteState &State);
  static std::string describeEvidence(const RouteState &State);

  std::map<std::string, RouteState, std::less<>> Routes;
};

} // namespace citronlever
