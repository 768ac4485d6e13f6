// Rollouts with generated evidence, 40 seeds for each kind of defect. Bad
// versions must be rolled back early, and good ones completed despite noise.
#include "test/Rollout/EvidenceStream.h"

#include <doctest/doctest.h>

#include <deque>

using namespace citronlever;
using namespace citronlever::test;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint64_t Runs = 40;
constexpr Duration Deadline = Seconds(120);
constexpr Duration Tick = EvidenceStream::Interval;
/// Delays in intervals: reports from a broker over its collector to the
/// controller, and marks by gossip.
constexpr int ReportIntervals = 1;
constexpr int GossipIntervals = 2;
/// Rounding error of the mean of equal floating-point shares.
constexpr double Rounding = 1e-9;

/// Rule to compare with: bad above a fixed share of failures within one
/// interval, good after a number of calls.
class FixedThreshold {
public:
  std::optional<RegressionFinding>
  add(std::span<const RouteEvidence> Interval) {
    for (const RouteEvidence &Evidence : Interval) {
      if (Evidence.Side != VersionSide::New)
        continue;
      this->Calls += Evidence.Calls;
      if (Evidence.Calls >= 20 && Evidence.Failures > Evidence.Calls * 0.05)
        return RegressionFinding{Evidence.Route, "above 5 % failures", ""};
    }
    return std::nullopt;
  }
  void startStep() { this->Calls = 0; }
  bool isProvedGood() const {
    return this->Calls >= RegressionDetector::MinCallsPerRoute;
  }

private:
  std::uint64_t Calls = 0;
};

/// Result of one run.
struct Outcome {
  RolloutPhase Phase = RolloutPhase::Canary;
  Duration EndedAt{};
  /// Share of the queries that went to the new version before its defect
  /// showed.
  double ShareBefore = 0;
  /// Largest share of the queries that went to the new version from 2 s after
  /// its defect showed.
  double ShareAfter = 0;
  bool DefectShown = false;
  /// Which detector found the version bad first, and why.
  std::string Finding;
};

/// Simulates brokers with one detector each, a controller, and gossip that
/// takes some intervals.
template <class Detector> class Fleet {
public:
  Fleet(std::uint64_t Seed, Defect Kind, bool Noise)
      : Stream(Seed, Kind, Deadline, Noise) {
    this->Document =
        makeRolloutDocument("r1", "bench", "v1", "v2", Deadline, 1);
  }

  Outcome run() {
    double NewQueriesBefore = 0;
    double AllQueriesBefore = 0;
    Duration DefectShownAt{};
    for (Duration Now{}; Now < Deadline + Seconds(3); Now += Tick) {
      if (this->Document.isFinished())
        break;
      const double Share = this->Marked ? 0 : this->Document.Share;
      const auto Evidence = this->Stream.next(Now, Share);
      if (!this->Result.DefectShown && this->Stream.isDefective()) {
        this->Result.DefectShown = true;
        DefectShownAt = Now;
      }
      if (!this->Result.DefectShown) {
        NewQueriesBefore += Share * this->Stream.load();
        AllQueriesBefore += this->Stream.load();
      } else if (Now >= DefectShownAt + Seconds(2)) {
        this->Result.ShareAfter = std::max(this->Result.ShareAfter, Share);
      }
      this->evaluate(Evidence);
      this->decide(Now);
    }
    if (AllQueriesBefore > 0)
      this->Result.ShareBefore = NewQueriesBefore / AllQueriesBefore;
    this->Result.Phase = this->Document.Phase;
    return this->Result;
  }

private:
  void evaluate(const std::vector<std::vector<RouteEvidence>> &Evidence) {
    std::vector<RouteEvidence> ServiceEvidence;
    for (std::size_t Broker = 0; Broker < Evidence.size(); ++Broker) {
      this->recordFinding(this->Brokers[Broker].add(Evidence[Broker]),
                          "broker " + std::to_string(Broker));
      mergeEvidence(ServiceEvidence, Evidence[Broker]);
    }
    this->Reports.push_back(std::move(ServiceEvidence));
    if (this->Reports.size() > ReportIntervals) {
      this->recordFinding(this->Controller.add(this->Reports.front()),
                          "controller");
      this->Reports.pop_front();
    }
    if (this->Found && ++this->SinceFound > GossipIntervals)
      this->Marked = true;
  }

  void recordFinding(const std::optional<RegressionFinding> &Finding,
                     const std::string &By) {
    if (!Finding || this->Found)
      return;
    this->Found = true;
    this->Result.Finding = By + ": " + Finding->Route + " " + Finding->Reason;
  }

  void decide(Duration Now) {
    RolloutInput Input;
    Input.Elapsed = Now;
    Input.FencingToken = 1;
    Input.BadReason = this->Found ? "found" : "";
    Input.ProvedGood = this->Controller.isProvedGood();
    Input.ServiceSwitched = this->Document.Phase == RolloutPhase::Completing;
    const auto Next = decideRollout(this->Document, Input);
    if (!Next)
      return;
    if (Next->Step != this->Document.Step)
      this->Controller.startStep();
    this->Document = *Next;
    if (this->Document.isFinished() && this->Result.EndedAt == Duration{})
      this->Result.EndedAt = Now;
  }

  EvidenceStream Stream;
  RolloutDocument Document;
  Detector Brokers[EvidenceStream::Brokers];
  Detector Controller;
  std::deque<std::vector<RouteEvidence>> Reports;
  bool Found = false;
  bool Marked = false;
  int SinceFound = 0;
  Outcome Result;
};

/// Counts over the runs with one kind of defect.
struct Tally {
  int Completed = 0;
  int RolledBack = 0;
  int AboveCanaryShare = 0;
  int TrafficAfterDefect = 0;
  double LargestShareBefore = 0;
  std::string FalseFindings;
};

template <class Detector> Tally runAll(Defect Kind, bool Noise = true) {
  Tally Totals;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const Outcome Result = Fleet<Detector>(Seed, Kind, Noise).run();
    const bool Completed = Result.Phase == RolloutPhase::Completed;
    if (Kind == Defect::None && !Completed)
      Totals.FalseFindings += "\n  seed " + std::to_string(Seed) + " after " +
                              std::to_string(toMs(Result.EndedAt)) +
                              " ms: " + Result.Finding;
    Totals.Completed += Completed && Result.EndedAt <= Deadline ? 1 : 0;
    Totals.RolledBack += Result.Phase == RolloutPhase::RolledBack ? 1 : 0;
    Totals.AboveCanaryShare += Result.ShareBefore > 0.05 + Rounding ? 1 : 0;
    Totals.TrafficAfterDefect += Result.ShareAfter > 0 ? 1 : 0;
    Totals.LargestShareBefore =
        std::max(Totals.LargestShareBefore, Result.ShareBefore);
  }
  return Totals;
}

const std::pair<Defect, const char *> BadKinds[] = {
    {Defect::FailsAtOnce, "fails at once"},
    {Defect::FailsLater, "fails later"},
    {Defect::FailsUnderLoad, "fails under load"},
    {Defect::FailsOnOneRoute, "fails on one route"},
    {Defect::Slower, "slower"}};

} // namespace

DOCTEST_TEST_CASE("bad versions get a small share, and nothing from 2 s after "
                  "the defect shows") {
  for (const auto &[Kind, Name] : BadKinds) {
    const Tally Totals = runAll<RegressionDetector>(Kind);
    DOCTEST_MESSAGE(std::string(Name)
                    << ": rolled back " << Totals.RolledBack << " of " << Runs
                    << ", traffic 2 s after the defect showed in "
                    << Totals.TrafficAfterDefect << ", largest share before "
                    << Totals.LargestShareBefore << ", first seed "
                    << FirstSeed);
    DOCTEST_CHECK(Totals.RolledBack == Runs);
    DOCTEST_CHECK(Totals.TrafficAfterDefect == 0);
    DOCTEST_CHECK(Totals.AboveCanaryShare == 0);
  }
}

DOCTEST_TEST_CASE("good versions under noise are completed in time") {
  const Tally Totals = runAll<RegressionDetector>(Defect::None);
  DOCTEST_MESSAGE("completed " << Totals.Completed << " of " << Runs
                               << ", rolled back " << Totals.RolledBack
                               << Totals.FalseFindings);
  DOCTEST_CHECK(Totals.Completed >= Runs * 95 / 100);
  DOCTEST_CHECK(Totals.RolledBack == 0);
}

DOCTEST_TEST_CASE(
    "a fixed threshold rolls back good versions and misses slow ones") {
  const Tally Good = runAll<FixedThreshold>(Defect::None);
  const Tally Slow = runAll<FixedThreshold>(Defect::Slower, false);
  DOCTEST_MESSAGE("fixed threshold: good ones rolled back "
                  << Good.RolledBack << " of " << Runs
                  << ", slow ones without noise completed " << Slow.Completed);
  DOCTEST_CHECK(Good.RolledBack > 0);
  DOCTEST_CHECK(Slow.Completed > 0);
}
