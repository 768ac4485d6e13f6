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
  /// The counts of both versions that led to it; for people.
  std::string Evidence;
};

/// Compares a new version with the old one on the same routes at the same
/// time, interval by interval. Runs on every broker over its own calls, and at
/// the controller over the whole service.
class RegressionDetector {
public:
  /// Calls of the new version that each route must have answered.
  static constexpr std::uint64_t MinCallsPerRoute = 200;

  /// Adds one interval. \returns a finding once the new version is proved bad.
  std::optional<RegressionFinding> add(std::span<const RouteEvidence> Interval);

  /// Starts to count calls for the next step anew.
  void startStep();

  /// \returns whether every route that the old version answers has been
  /// answered often enough by the new one since the step began, and nothing
  /// is under suspicion.
  bool isProvedGood() const;

  /// \returns whether a route shows so much against the new version that more
  /// of its calls should soon decide.
  bool isSuspicious() const;

  /// \returns for each route its counts since the step began; for people.
  std::string summary() const;

private:
  /// Intervals over which the old version's figures are taken, and after which
  /// a batch is looked at however small it is.
  static constexpr std::size_t BaselineIntervals = 10;

  /// Intervals of both versions that are looked at together, so that the old
  /// version's calls of the same moments are enough to compare with.
  struct Batch {
    RouteEvidence Old;
    RouteEvidence New;
    std::size_t Intervals = 0;
  };
  struct RouteState {
    std::deque<RouteEvidence> RecentOld;
    /// The new version's part of the same batches.
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
