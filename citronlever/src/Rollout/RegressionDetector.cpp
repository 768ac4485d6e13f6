#include "citronlever/src/Rollout/RegressionDetector.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace citronlever {

namespace {

/// Fewest calls of the old version for a comparison.
constexpr std::uint64_t MinBaselineCalls = 50;
/// Failure share above the old version's that is put up with.
constexpr double FailureMargin = 0.01;
/// Smallest rise of the failure share that the test looks for.
constexpr double FailureRise = 0.06;
/// Most failures of one interval that one leaf is heard with, so that a leaf
/// in trouble is not taken for the version.
constexpr std::uint32_t FailuresPerLeaf = 2;
/// With fewer leaves than this, one of them may be in trouble by itself
/// without the version being blamed.
constexpr std::uint32_t FewLeaves = 12;
/// Buckets above the old quantile from which a call counts as slow: 1.19 to
/// 1.41 times the quantile.
constexpr std::size_t SlowBuckets = 1;
/// Share of slow calls above the old version's that is put up with, and the
/// smallest rise that the test looks for.
constexpr double SlowMargin = 0.08;
constexpr double SlowRise = 0.12;
/// Calls of the old version that make a batch.
constexpr std::uint32_t BatchCalls = 30;
/// Calls of the new version that one of the old in the same batch can be held
/// against.
constexpr double NewPerOldCall = 2;
/// Largest share that can be told from a larger one. While both versions are
/// above it, as in a spell of slowness, a batch says nothing.
constexpr double MaxShare = 0.95;
/// Level from which a version is suspected: one query that fails on all leaves
/// of a broker reaches it.
constexpr double SuspicionLevel = SequentialTest::Threshold / 4;

double share(std::uint64_t Hits, std::uint64_t Calls) {
  return static_cast<double>(Hits) / static_cast<double>(Calls);
}

/// Trust in a batch. What slows or fails both versions for a moment shows in
/// the old one's calls of that moment, if there are enough of them.
double weight(const RouteEvidence &New, const RouteEvidence &Old) {
  const auto Calls = static_cast<double>(Old.Calls);
  return std::min({1.0, Calls / BatchCalls, NewPerOldCall * Calls / New.Calls});
}

/// Adds an interval to a batch's side.
void addInterval(RouteEvidence &To, const RouteEvidence &Interval) {
  To.Calls += Interval.Calls;
  To.Failures += Interval.Failures;
  To.LeavesFailing += Interval.LeavesFailing;
  To.LeavesSeen = std::max(To.LeavesSeen, Interval.LeavesSeen);
  To.Latency.merge(Interval.Latency);
}

void keep(std::deque<RouteEvidence> &Into, const RouteEvidence &Part,
          std::size_t Most) {
  Into.push_back(Part);
  if (Into.size() > Most)
    Into.pop_front();
}

RouteEvidence sumOf(const std::deque<RouteEvidence> &Parts) {
  RouteEvidence Result;
  for (const RouteEvidence &Part : Parts)
    addInterval(Result, Part);
  return Result;
}

void print(std::ostream &To, const RouteEvidence &Of) {
  To << Of.Failures << " of " << Of.Calls << " calls failed";
  if (Of.Latency.total() > 0)
    To << ", median " << Of.Latency.quantileMs(0.5) << " ms, tail "
       << Of.Latency.quantileMs(0.9) << " ms";
}

/// Part of all calls that one leaf of few may spoil.
double oneLeaf(const RouteEvidence &New) {
  if (New.LeavesSeen == 0 || New.LeavesSeen >= FewLeaves)
    return 0;
  return 1.0 / New.LeavesSeen;
}

} // namespace

std::optional<RegressionFinding>
RegressionDetector::add(std::span<const RouteEvidence> Interval) {
  for (const RouteEvidence &Part : Interval)
    this->Routes.try_emplace(Part.Route);
  std::optional<RegressionFinding> Result;
  for (auto &[Route, State] : this->Routes) {
    collect(State, Interval, Route);
    if (!batchComplete(State.Pending))
      continue;
    judge(State);
    const char *Reason = whyBad(State);
    if (Reason && !Result)
      Result = RegressionFinding{Route, Reason, evidenceOf(State)};
  }
  return Result;
}

void RegressionDetector::collect(RouteState &State,
                                 std::span<const RouteEvidence> Interval,
                                 std::string_view Route) {
  ++State.Pending.Intervals;
  for (const RouteEvidence &Part : Interval) {
    if (Part.Route != Route)
      continue;
    if (Part.Side == VersionSide::Old) {
      addInterval(State.Pending.Old, Part);
      State.OldCalls += Part.Calls;
      continue;
    }
    addInterval(State.Pending.New, Part);
    State.NewCalls += Part.Calls;
    State.NewFailures += Part.Failures;
  }
}

bool RegressionDetector::batchComplete(const Batch &Of) {
  return Of.Old.Calls >= BatchCalls || Of.Intervals >= BaselineIntervals;
}

void RegressionDetector::judge(RouteState &State) {
  const Batch Done = std::exchange(State.Pending, {});
  keep(State.Baseline, Done.Old, BaselineIntervals);
  keep(State.Recent, Done.New, BaselineIntervals);
  const RouteEvidence Base = sumOf(State.Baseline);
  if (Base.Calls < MinBaselineCalls || Done.New.Calls == 0)
    return;
  addFailures(State.Failing, Done, Base);
  addLatency(State.SlowMedian, Done, Base, 0.5);
  addLatency(State.SlowTail, Done, Base, 0.9);
}

const char *RegressionDetector::whyBad(const RouteState &State) {
  if (State.Failing.proved())
    return "fails more often than the old version";
  if (State.SlowMedian.proved())
    return "its median latency is above the old version's";
  if (State.SlowTail.proved())
    return "its tail latency is above the old version's";
  return nullptr;
}

std::string RegressionDetector::evidenceOf(const RouteState &State) {
  std::ostringstream Text;
  Text << std::setprecision(3) << "new: ";
  print(Text, sumOf(State.Recent));
  Text << "; old: ";
  print(Text, sumOf(State.Baseline));
  return Text.str();
}

void RegressionDetector::addFailures(SequentialTest &Test, const Batch &Of,
                                     const RouteEvidence &Base) {
  double Normal = share(Base.Failures, Base.Calls);
  if (Of.Old.Calls > 0)
    Normal = std::max(Normal, share(Of.Old.Failures, Of.Old.Calls));
  Normal += FailureMargin + oneLeaf(Of.New);
  if (Normal > MaxShare - FailureRise)
    return;
  const double Suspect =
      std::min(std::max(3 * Normal, Normal + FailureRise), MaxShare);
  const std::uint32_t Heard =
      std::min(Of.New.Failures, FailuresPerLeaf * Of.New.LeavesFailing);
  // What is not heard of a leaf's failures is no success either.
  const std::uint32_t Calls = Of.New.Calls - (Of.New.Failures - Heard);
  Test.add(Heard, Calls, Normal, Suspect, weight(Of.New, Of.Old));
}

void RegressionDetector::addLatency(SequentialTest &Test, const Batch &Of,
                                    const RouteEvidence &Base,
                                    double Quantile) {
  const std::uint64_t Calls = Of.New.Latency.total();
  const std::uint64_t OldCalls = Of.Old.Latency.total();
  const std::uint64_t BaseCalls = Base.Latency.total();
  if (Calls == 0 || BaseCalls < MinBaselineCalls)
    return;
  const std::size_t Bucket =
      Base.Latency.quantileBucket(Quantile) + SlowBuckets;
  double Normal = share(Base.Latency.above(Bucket), BaseCalls);
  if (OldCalls > 0)
    Normal = std::max(Normal, share(Of.Old.Latency.above(Bucket), OldCalls));
  Normal += SlowMargin + oneLeaf(Of.New);
  if (Normal > MaxShare - SlowRise)
    return;
  Test.add(Of.New.Latency.above(Bucket), Calls, Normal, Normal + SlowRise,
           weight(Of.New, Of.Old));
}

void RegressionDetector::startStep() {
  for (auto &Item : this->Routes) {
    Item.second.OldCalls = 0;
    Item.second.NewCalls = 0;
    Item.second.NewFailures = 0;
  }
}

double RegressionDetector::suspicion(const RouteState &State) {
  return std::max({State.Failing.level(), State.SlowMedian.level(),
                   State.SlowTail.level()});
}

bool RegressionDetector::suspicious() const {
  return std::ranges::any_of(this->Routes, [](const auto &Item) {
    return suspicion(Item.second) >= SuspicionLevel;
  });
}

bool RegressionDetector::provedGood() const {
  bool Any = false;
  for (const auto &Item : this->Routes) {
    const RouteState &State = Item.second;
    if (State.OldCalls == 0 && State.NewCalls == 0)
      continue;
    Any = true;
    if (State.NewCalls < CallsForProof ||
        suspicion(State) > SequentialTest::Threshold / 2)
      return false;
  }
  return Any;
}

std::string RegressionDetector::summary() const {
  std::ostringstream Text;
  const char *Gap = "";
  for (const auto &[Route, State] : this->Routes) {
    Text << Gap << Route << ": " << State.NewFailures << " of "
         << State.NewCalls << " failed";
    Gap = "; ";
  }
  return Text.str();
}

} // namespace citronlever
