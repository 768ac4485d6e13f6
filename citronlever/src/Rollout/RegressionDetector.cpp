#include "citronlever/src/Rollout/RegressionDetector.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace citronlever {

namespace {

/// Number of calls of the old version that a comparison needs.
constexpr std::uint64_t MinBaselineCalls = 50;
/// Tolerated increase of the failure share over the old version's.
constexpr double FailureMargin = 0.01;
/// Smallest increase of the failure share that the test looks for.
constexpr double MinFailureRise = 0.06;
/// Failures per leaf and interval that count, so that a single faulty leaf is
/// not taken for a bad version.
constexpr std::uint32_t MaxFailuresPerLeaf = 2;
/// From this number of leaves on, a single faulty leaf cannot make the whole
/// version look bad. With fewer leaves, the share of one leaf is tolerated.
constexpr std::uint32_t MinLeavesToDilute = 12;
/// Offset from the bucket of the old version's quantile above which a call
/// counts as slow: 1.19 to 1.41 times the quantile.
constexpr std::size_t SlowBucketOffset = 1;
/// Tolerated increase of the share of slow calls over the old version's, and
/// smallest increase that the test looks for.
constexpr double SlowMargin = 0.08;
constexpr double MinSlowRise = 0.12;
/// Number of calls of the old version that completes a batch.
constexpr std::uint32_t MinBatchCalls = 30;
/// Largest number of calls of the new version that can be compared with one
/// call of the old version in the same batch.
constexpr double MaxNewPerOldCall = 2;
/// Largest share for which a higher one is distinguishable. While both versions
/// are above it, for example during a slowdown, a batch is ignored.
constexpr double MaxTestableShare = 0.95;
/// Level from which a version is suspected. One query that fails on all leaves
/// of a broker reaches it.
constexpr double SuspicionLevel = SequentialTest::Threshold / 4;

double ratio(std::uint64_t Hits, std::uint64_t Calls) {
  return static_cast<double>(Hits) / static_cast<double>(Calls);
}

/// \returns the weight of a batch, 0 to 1. A disturbance of both versions shows
/// in the old version's calls of the same time, if there are enough of them.
double batchTrust(const RouteEvidence &New, const RouteEvidence &Old) {
  const auto Calls = static_cast<double>(Old.Calls);
  return std::min(
      {1.0, Calls / MinBatchCalls, MaxNewPerOldCall * Calls / New.Calls});
}

/// Adds an interval to one version's part of a batch.
void addInterval(RouteEvidence &To, const RouteEvidence &Interval) {
  To.Calls += Interval.Calls;
  To.Failures += Interval.Failures;
  To.LeavesFailing += Interval.LeavesFailing;
  To.LeavesSeen = std::max(To.LeavesSeen, Interval.LeavesSeen);
  To.Latency.merge(Interval.Latency);
}

void pushBounded(std::deque<RouteEvidence> &Into, const RouteEvidence &Evidence,
                 std::size_t MaxSize) {
  Into.push_back(Evidence);
  if (Into.size() > MaxSize)
    Into.pop_front();
}

RouteEvidence sum(const std::deque<RouteEvidence> &Intervals) {
  RouteEvidence Result;
  for (const RouteEvidence &Evidence : Intervals)
    addInterval(Result, Evidence);
  return Result;
}

void printCounts(std::ostream &Text, const RouteEvidence &Counts) {
  Text << Counts.Failures << " of " << Counts.Calls << " calls failed";
  if (Counts.Latency.total() > 0)
    Text << ", median " << Counts.Latency.quantileMs(0.5) << " ms, tail "
         << Counts.Latency.quantileMs(0.9) << " ms";
}

/// \returns the share of all calls that one faulty leaf may spoil; 0 if there
/// are many leaves.
double singleLeafShare(const RouteEvidence &New) {
  if (New.LeavesSeen == 0 || New.LeavesSeen >= MinLeavesToDilute)
    return 0;
  return 1.0 / New.LeavesSeen;
}

} // namespace

std::optional<RegressionFinding>
RegressionDetector::add(std::span<const RouteEvidence> Interval) {
  for (const RouteEvidence &Evidence : Interval)
    this->Routes.try_emplace(Evidence.Route);
  std::optional<RegressionFinding> Result;
  for (auto &[Route, State] : this->Routes) {
    addToBatch(State, Interval, Route);
    if (!isBatchComplete(State.Pending))
      continue;
    evaluateBatch(State);
    const char *Reason = regressionReason(State);
    if (Reason && !Result)
      Result = RegressionFinding{Route, Reason, describeEvidence(State)};
  }
  return Result;
}

void RegressionDetector::addToBatch(RouteState &State,
                                    std::span<const RouteEvidence> Interval,
                                    std::string_view Route) {
  ++State.Pending.Intervals;
  for (const RouteEvidence &Evidence : Interval) {
    if (Evidence.Route != Route)
      continue;
    if (Evidence.Side == VersionSide::Old) {
      addInterval(State.Pending.Old, Evidence);
      State.OldCalls += Evidence.Calls;
      continue;
    }
    addInterval(State.Pending.New, Evidence);
    State.NewCalls += Evidence.Calls;
    State.NewFailures += Evidence.Failures;
  }
}

bool RegressionDetector::isBatchComplete(const Batch &Current) {
  return Current.Old.Calls >= MinBatchCalls ||
         Current.Intervals >= BaselineIntervals;
}

void RegressionDetector::evaluateBatch(RouteState &State) {
  const Batch Done = std::exchange(State.Pending, {});
  pushBounded(State.RecentOld, Done.Old, BaselineIntervals);
  pushBounded(State.RecentNew, Done.New, BaselineIntervals);
  const RouteEvidence Baseline = sum(State.RecentOld);
  if (Baseline.Calls < MinBaselineCalls || Done.New.Calls == 0)
    return;
  addFailures(State.FailureTest, Done, Baseline);
  addLatency(State.MedianTest, Done, Baseline, 0.5);
  addLatency(State.TailTest, Done, Baseline, 0.9);
}

const char *RegressionDetector::regressionReason(const RouteState &State) {
  if (State.FailureTest.isThresholdReached())
    return "fails more often than the old version";
  if (State.MedianTest.isThresholdReached())
    return "its median latency is above the old version's";
  if (State.TailTest.isThresholdReached())
    return "its tail latency is above the old version's";
  return nullptr;
}

std::string RegressionDetector::describeEvidence(const RouteState &State) {
  std::ostringstream Text;
  Text << std::setprecision(3) << "new: ";
  printCounts(Text, sum(State.RecentNew));
  Text << "; old: ";
  printCounts(Text, sum(State.RecentOld));
  return Text.str();
}

void RegressionDetector::addFailures(SequentialTest &Test, const Batch &Current,
                                     const RouteEvidence &Baseline) {
  double NullShare = ratio(Baseline.Failures, Baseline.Calls);
  if (Current.Old.Calls > 0)
    NullShare =
        std::max(NullShare, ratio(Current.Old.Failures, Current.Old.Calls));
  NullShare += FailureMargin + singleLeafShare(Current.New);
  if (NullShare > MaxTestableShare - MinFailureRise)
    return;
  const double AlternativeShare = std::min(
      std::max(3 * NullShare, NullShare + MinFailureRise), MaxTestableShare);
  const std::uint32_t CountedFailures = std::min(
      Current.New.Failures, MaxFailuresPerLeaf * Current.New.LeavesFailing);
  // Failures that do not count are no successes either.
  const std::uint32_t Calls =
      Current.New.Calls - (Current.New.Failures - CountedFailures);
  Test.add(CountedFailures, Calls, NullShare, AlternativeShare,
           batchTrust(Current.New, Current.Old));
}

void RegressionDetector::addLatency(SequentialTest &Test, const Batch &Current,
                                    const RouteEvidence &Baseline,
                                    double Quantile) {
  const std::uint64_t Calls = Current.New.Latency.total();
  const std::uint64_t OldCalls = Current.Old.Latency.total();
  const std::uint64_t BaseCalls = Baseline.Latency.total();
  if (Calls == 0 || BaseCalls < MinBaselineCalls)
    return;
  const std::size_t Bucket =
      Baseline.Latency.quantileBucket(Quantile) + SlowBucketOffset;
  double NullShare = ratio(Baseline.Latency.countAbove(Bucket), BaseCalls);
  if (OldCalls > 0)
    NullShare = std::max(
        NullShare, ratio(Current.Old.Latency.countAbove(Bucket), OldCalls));
  NullShare += SlowMargin + singleLeafShare(Current.New);
  if (NullShare > MaxTestableShare - MinSlowRise)
    return;
  Test.add(Current.New.Latency.countAbove(Bucket), Calls, NullShare,
           NullShare + MinSlowRise, batchTrust(Current.New, Current.Old));
}

void RegressionDetector::startStep() {
  for (auto &Item : this->Routes) {
    Item.second.OldCalls = 0;
    Item.second.NewCalls = 0;
    Item.second.NewFailures = 0;
  }
}

double RegressionDetector::highestLevel(const RouteState &State) {
  return std::max({State.FailureTest.level(), State.MedianTest.level(),
                   State.TailTest.level()});
}

bool RegressionDetector::isSuspicious() const {
  return std::ranges::any_of(this->Routes, [](const auto &Item) {
    return highestLevel(Item.second) >= SuspicionLevel;
  });
}

bool RegressionDetector::isProvedGood() const {
  bool HasRoute = false;
  for (const auto &Item : this->Routes) {
    const RouteState &State = Item.second;
    if (State.OldCalls == 0 && State.NewCalls == 0)
      continue;
    HasRoute = true;
    if (State.NewCalls < MinCallsPerRoute ||
        highestLevel(State) > SequentialTest::Threshold / 2)
      return false;
  }
  return HasRoute;
}

std::string RegressionDetector::summary() const {
  std::ostringstream Text;
  const char *Separator = "";
  for (const auto &[Route, State] : this->Routes) {
    Text << Separator << Route << ": " << State.NewFailures << " of "
         << State.NewCalls << " failed";
    Separator = "; ";
  }
  return Text.str();
}

} // namespace citronlever
