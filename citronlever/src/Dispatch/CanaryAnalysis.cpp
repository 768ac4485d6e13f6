#include "citronlever/src/Dispatch/CanaryAnalysis.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Intervals of the old versions that the new one is held against.
constexpr std::size_t BaselineIntervals = 10;
/// Shares above the old versions' that are put up with, and the smallest rise
/// that a test looks for.
constexpr double FailureMargin = 0.03;
constexpr double FailureRise = 0.2;
constexpr double SlowMargin = 0.08;
constexpr double SlowRise = 0.25;
/// Largest share that can be told from a larger one.
constexpr double MostNormal = 0.7;

double share(double Hits, double Calls) {
  return Calls == 0 ? 0 : Hits / Calls;
}

void judgeShare(SequentialTest &Test, double Hits, double Calls, double Normal,
                double Rise) {
  if (Normal > MostNormal)
    return;
  Test.add(static_cast<std::uint64_t>(Hits), static_cast<std::uint64_t>(Calls),
           Normal, Normal + Rise);
}

/// \returns how much a count has grown; a process that forgot begins at 0.
std::uint32_t grown(std::uint32_t Now, std::uint32_t Before) {
  return Now >= Before ? Now - Before : Now;
}

} // namespace

void CanaryAnalysis::Counts::add(const Counts &Other) {
  this->Calls += Other.Calls;
  this->Failures += Other.Failures;
  this->Slow += Other.Slow;
}

CanaryAnalysis::Counts CanaryAnalysis::RouteState::baseline() const {
  Counts Sum;
  for (const Counts &Interval : this->Baseline)
    Sum.add(Interval);
  return Sum;
}

double
CanaryAnalysis::RouteState::level(SequentialTest LeafState::*Test) const {
  const double Most = this->Leaves.size() > 1 ? MostOfOneLeaf : Threshold;
  double Sum = 0;
  for (const auto &[Leaf, State] : this->Leaves)
    Sum += std::min(Most, (State.*Test).level());
  return Sum;
}

double
CanaryAnalysis::RouteState::besideWorst(SequentialTest LeafState::*Test) const {
  const double All = this->level(Test);
  if (this->Leaves.size() == 1)
    return All;
  double Worst = 0;
  for (const auto &[Leaf, State] : this->Leaves)
    Worst = std::max(Worst, std::min(MostOfOneLeaf, (State.*Test).level()));
  return All - Worst;
}

void CanaryAnalysis::add(std::string_view Reporter,
                         std::span<const CanaryCounts> Rows) {
  for (const CanaryCounts &Row : Rows) {
    CanaryCounts &Before =
        this->Last[{std::string(Reporter), {Row.Route, Row.Leaf}}];
    const Counts Change{
        static_cast<double>(grown(Row.Calls, Before.Calls)),
        static_cast<double>(grown(Row.Failures, Before.Failures)),
        static_cast<double>(grown(Row.Slow, Before.Slow))};
    Before = Row;
    RouteState &State = this->Routes[Row.Route];
    if (Row.ofNew()) {
      State.Leaves[Row.Leaf].Interval.add(Change);
      State.NewCalls += static_cast<std::uint32_t>(Change.Calls);
    } else {
      State.OldInterval.add(Change);
      State.OldCalls += static_cast<std::uint32_t>(Change.Calls);
    }
  }
}

void CanaryAnalysis::judge(RouteState &State) {
  State.Baseline.push_back(std::exchange(State.OldInterval, {}));
  if (State.Baseline.size() > BaselineIntervals)
    State.Baseline.pop_front();
  const Counts Old = State.baseline();
  const Counts &Now = State.Baseline.back();
  const double Failing =
      std::max(share(Old.Failures, Old.Calls), share(Now.Failures, Now.Calls));
  const double Slow =
      std::max(share(Old.Slow, Old.Calls), share(Now.Slow, Now.Calls));
  for (auto &[Leaf, Seen] : State.Leaves) {
    const Counts New = std::exchange(Seen.Interval, {});
    judgeShare(Seen.Failing, New.Failures, New.Calls, Failing + FailureMargin,
               FailureRise);
    judgeShare(Seen.Slow, New.Slow, New.Calls - New.Failures, Slow + SlowMargin,
               SlowRise);
  }
}

std::string CanaryAnalysis::endInterval() {
  std::string Result;
  for (auto &[Route, State] : this->Routes) {
    judge(State);
    if (State.level(&LeafState::Failing) >= Threshold)
      Result = "fails more often than the old version on " + Route;
    else if (State.level(&LeafState::Slow) >= Threshold)
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

bool CanaryAnalysis::provedGood() const {
  bool Any = false;
  for (const auto &[Route, State] : this->Routes) {
    if (State.besideWorst(&LeafState::Failing) > Threshold / 2 ||
        State.besideWorst(&LeafState::Slow) > Threshold / 2)
      return false;
    if (State.NewCalls >= CallsForProof)
      Any = true;
    else if (State.OldCalls >= BusyRoute)
      return false;
  }
  return Any;
}

} // namespace citronlever
