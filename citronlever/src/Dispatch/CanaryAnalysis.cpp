#include "citronlever/src/Dispatch/CanaryAnalysis.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Number of past intervals of the old versions that form the baseline.
constexpr std::size_t BaselineIntervals = 10;
/// The failure share of the new version may exceed the baseline by the margin;
/// the test looks for an increase by at least the rise.
constexpr double FailureMargin = 0.03;
constexpr double FailureRise = 0.2;
/// The same for the share of slow calls.
constexpr double SlowMargin = 0.08;
constexpr double SlowRise = 0.25;
/// Baseline share above which the test is skipped, because a rise could not be
/// told from it.
constexpr double MaxBaselineShare = 0.7;

double share(double Hits, double Calls) {
  return Calls == 0 ? 0 : Hits / Calls;
}

void addToTest(SequentialTest &Test, double Hits, double Calls,
               double BaselineShare, double Rise) {
  if (BaselineShare > MaxBaselineShare)
    return;
  Test.add(static_cast<std::uint64_t>(Hits), static_cast<std::uint64_t>(Calls),
           BaselineShare, BaselineShare + Rise);
}

/// \returns the increase of a counter. A counter that became smaller was
/// restarted from zero.
std::uint32_t increase(std::uint32_t Now, std::uint32_t Previous) {
  return Now >= Previous ? Now - Previous : Now;
}

} // namespace

void CanaryAnalysis::Totals::add(const Totals &Other) {
  this->Calls += Other.Calls;
  this->Failures += Other.Failures;
  this->Slow += Other.Slow;
}

CanaryAnalysis::Totals CanaryAnalysis::RouteState::baselineTotals() const {
  Totals Sum;
  for (const Totals &Interval : this->Baseline)
    Sum.add(Interval);
  return Sum;
}

double
CanaryAnalysis::RouteState::totalLevel(SequentialTest LeafState::*Test) const {
  const double MaxPerLeaf =
      this->Leaves.size() > 1 ? MaxLevelPerLeaf : BadThreshold;
  double Sum = 0;
  for (const auto &[Leaf, State] : this->Leaves)
    Sum += std::min(MaxPerLeaf, (State.*Test).level());
  return Sum;
}

double CanaryAnalysis::RouteState::levelWithoutWorst(
    SequentialTest LeafState::*Test) const {
  const double All = this->totalLevel(Test);
  if (this->Leaves.size() == 1)
    return All;
  double Worst = 0;
  for (const auto &[Leaf, State] : this->Leaves)
    Worst = std::max(Worst, std::min(MaxLevelPerLeaf, (State.*Test).level()));
  return All - Worst;
}

void CanaryAnalysis::add(std::string_view Reporter,
                         std::span<const CanaryCounts> Reported) {
  for (const CanaryCounts &Entry : Reported) {
    CanaryCounts &Previous =
        this->LastCounts[{std::string(Reporter), {Entry.Route, Entry.Leaf}}];
    const Totals Change{
        static_cast<double>(increase(Entry.Calls, Previous.Calls)),
        static_cast<double>(increase(Entry.Failures, Previous.Failures)),
        static_cast<double>(increase(Entry.Slow, Previous.Slow))};
    Previous = Entry;
    RouteState &State = this->Routes[Entry.Route];
    if (Entry.isNewVersion()) {
      State.Leaves[Entry.Leaf].Interval.add(Change);
      State.NewCalls += static_cast<std::uint32_t>(Change.Calls);
    } else {
      State.OldInterval.add(Change);
      State.OldCalls += static_cast<std::uint32_t>(Change.Calls);
    }
  }
}

void CanaryAnalysis::updateTests(RouteState &State) {
  State.Baseline.push_back(std::exchange(State.OldInterval, {}));
  if (State.Baseline.size() > BaselineIntervals)
    State.Baseline.pop_front();
  const Totals Old = State.baselineTotals();
  const Totals &Now = State.Baseline.back();
  const double FailingShare =
      std::max(share(Old.Failures, Old.Calls), share(Now.Failures, Now.Calls));
  const double SlowShare =
      std::max(share(Old.Slow, Old.Calls), share(Now.Slow, Now.Calls));
  for (auto &[Leaf, LeafTests] : State.Leaves) {
    const Totals New = std::exchange(LeafTests.Interval, {});
    addToTest(LeafTests.Failing, New.Failures, New.Calls,
              FailingShare + FailureMargin, FailureRise);
    addToTest(LeafTests.Slow, New.Slow, New.Calls - New.Failures,
              SlowShare + SlowMargin, SlowRise);
  }
}

std::string CanaryAnalysis::endInterval() {
  std::string Result;
  for (auto &[Route, State] : this->Routes) {
    updateTests(State);
    if (State.totalLevel(&LeafState::Failing) >= BadThreshold)
      Result = "fails more often than the old version on " + Route;
    else if (State.totalLevel(&LeafState::Slow) >= BadThreshold)
      Result = "is slower than the old version on " + Route;
  }
  return Result;
}

void CanaryAnalysis::startStep() {
  for (auto &[Route, State] : this->Routes) {
    State.OldCalls = 0;
    State.NewCalls = 0;
  }
}

bool CanaryAnalysis::isProvedGood() const {
  bool Any = false;
  for (const auto &[Route, State] : this->Routes) {
    if (State.levelWithoutWorst(&LeafState::Failing) > BadThreshold / 2 ||
        State.levelWithoutWorst(&LeafState::Slow) > BadThreshold / 2)
      return false;
    if (State.NewCalls >= MinCallsForProof)
      Any = true;
    else if (State.OldCalls >= BusyRouteCalls)
      return false;
  }
  return Any;
}

} // namespace citronlever
