// Rollouts over generated evidence: 40 seeds for each kind of version.
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
/// From a broker over its collector to the controller, and back by gossip.
constexpr int ReportIntervals = 1;
constexpr int GossipIntervals = 2;
/// Error of a mean of equal floating-point shares.
constexpr double Rounding = 1e-9;

/// The rule that is compared: bad above a fixed share of failures within one
/// interval, good after a number of calls.
class FixedThreshold {
public:
  std::optional<RegressionFinding>
  add(std::span<const RouteEvidence> Interval) {
    for (const RouteEvidence &Part : Interval) {
      if (Part.Side != VersionSide::New)
        continue;
      this->Calls += Part.Calls;
      if (Part.Calls >= 20 && Part.Failures > Part.Calls * 0.05)
        return RegressionFinding{Part.Route, "above 5 % failures", ""};
    }
    return std::nullopt;
  }
  void startStep() { this->Calls = 0; }
  bool provedGood() const {
    return this->Calls >= RegressionDetector::CallsForProof;
  }

private:
  std::uint64_t Calls = 0;
};

/// What one run came to.
struct Outcome {
  RolloutPhase Phase = RolloutPhase::Canary;
  Duration Ended{};
  /// Share of all queries that went to the new version before it showed.
  double ShareBefore = 0;
  /// Queries to it from 2 s after it showed, over all queries then.
  double ShareAfter = 0;
  bool Showed = false;
  /// Who found it bad first, and why.
  std::string Why;
};

/// A fleet of brokers with detectors of their own, a controller, and gossip
/// that takes some intervals.
template <class Detector> class Fleet {
public:
  Fleet(std::uint64_t Seed, Badness Kind, bool Noise)
      : Stream(Seed, Kind, Deadline, Noise) {
    this->Document = startRollout("r1", "bench", "v1", "v2", Deadline, 1);
  }

  Outcome run() {
    double Before = 0;
    double AllBefore = 0;
    Duration ShowedAt{};
    for (Duration Now{}; Now < Deadline + Seconds(3); Now += Tick) {
      if (this->Document.finished())
        break;
      const double Share = this->Marked ? 0 : this->Document.Share;
      const auto Evidence = this->Stream.next(Now, Share);
      if (!this->Result.Showed && this->Stream.shows()) {
        this->Result.Showed = true;
        ShowedAt = Now;
      }
      if (!this->Result.Showed) {
        Before += Share * this->Stream.load();
        AllBefore += this->Stream.load();
      } else if (Now >= ShowedAt + Seconds(2)) {
        this->Result.ShareAfter = std::max(this->Result.ShareAfter, Share);
      }
      this->observe(Evidence);
      this->decide(Now);
    }
    if (AllBefore > 0)
      this->Result.ShareBefore = Before / AllBefore;
    this->Result.Phase = this->Document.Phase;
    return this->Result;
  }

private:
  void observe(const std::vector<std::vector<RouteEvidence>> &Evidence) {
    std::vector<RouteEvidence> Whole;
    for (std::size_t Broker = 0; Broker < Evidence.size(); ++Broker) {
      this->note(this->Brokers[Broker].add(Evidence[Broker]),
                 "broker " + std::to_string(Broker));
      mergeEvidence(Whole, Evidence[Broker]);
    }
    this->Reports.push_back(std::move(Whole));
    if (this->Reports.size() > ReportIntervals) {
      this->note(this->Controller.add(this->Reports.front()), "controller");
      this->Reports.pop_front();
    }
    if (this->Found && ++this->SinceFound > GossipIntervals)
      this->Marked = true;
  }

  void note(const std::optional<RegressionFinding> &Finding,
            const std::string &By) {
    if (!Finding || this->Found)
      return;
    this->Found = true;
    this->Result.Why = By + ": " + Finding->Route + " " + Finding->Reason;
  }

  void decide(Duration Now) {
    RolloutInput Input;
    Input.Elapsed = Now;
    Input.Fence = 1;
    Input.BadReason = this->Found ? "found" : "";
    Input.ProvedGood = this->Controller.provedGood();
    Input.ServiceSwitched = this->Document.Phase == RolloutPhase::Completing;
    const auto Next = decideRollout(this->Document, Input);
    if (!Next)
      return;
    if (Next->Step != this->Document.Step)
      this->Controller.startStep();
    this->Document = *Next;
    if (this->Document.finished() && this->Result.Ended == Duration{})
      this->Result.Ended = Now;
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

/// Counts over the runs of one kind.
struct Tally {
  int Completed = 0;
  int TakenBack = 0;
  int OverShareBefore = 0;
  int TrafficAfter = 0;
  double WorstBefore = 0;
  std::string WrongBecause;
};

template <class Detector> Tally runAll(Badness Kind, bool Noise = true) {
  Tally Sum;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const Outcome Result = Fleet<Detector>(Seed, Kind, Noise).run();
    const bool Completed = Result.Phase == RolloutPhase::Completed;
    if (Kind == Badness::None && !Completed)
      Sum.WrongBecause += "\n  seed " + std::to_string(Seed) + " after " +
                          std::to_string(toMs(Result.Ended)) +
                          " ms: " + Result.Why;
    Sum.Completed += Completed && Result.Ended <= Deadline ? 1 : 0;
    Sum.TakenBack += Result.Phase == RolloutPhase::TakenBack ? 1 : 0;
    Sum.OverShareBefore += Result.ShareBefore > 0.05 + Rounding ? 1 : 0;
    Sum.TrafficAfter += Result.ShareAfter > 0 ? 1 : 0;
    Sum.WorstBefore = std::max(Sum.WorstBefore, Result.ShareBefore);
  }
  return Sum;
}

const std::pair<Badness, const char *> BadKinds[] = {
    {Badness::FailsAtOnce, "fails at once"},
    {Badness::FailsLater, "fails later"},
    {Badness::FailsUnderLoad, "fails under load"},
    {Badness::FailsOnOneRoute, "fails on one route"},
    {Badness::Slower, "slower"}};

} // namespace

DOCTEST_TEST_CASE("bad versions get a small share, and nothing 2 s later") {
  for (const auto &[Kind, Name] : BadKinds) {
    const Tally Sum = runAll<RegressionDetector>(Kind);
    DOCTEST_MESSAGE(std::string(Name)
                    << ": taken back " << Sum.TakenBack << " of " << Runs
                    << ", traffic 2 s after showing in " << Sum.TrafficAfter
                    << ", largest share before " << Sum.WorstBefore
                    << ", first seed " << FirstSeed);
    DOCTEST_CHECK(Sum.TakenBack == Runs);
    DOCTEST_CHECK(Sum.TrafficAfter == 0);
    DOCTEST_CHECK(Sum.OverShareBefore == 0);
  }
}

DOCTEST_TEST_CASE("good versions under noise are completed in time") {
  const Tally Sum = runAll<RegressionDetector>(Badness::None);
  DOCTEST_MESSAGE("completed " << Sum.Completed << " of " << Runs
                               << ", taken back " << Sum.TakenBack
                               << Sum.WrongBecause);
  DOCTEST_CHECK(Sum.Completed >= Runs * 95 / 100);
  DOCTEST_CHECK(Sum.TakenBack == 0);
}

DOCTEST_TEST_CASE("a fixed threshold takes good versions back and misses "
                  "slow ones") {
  const Tally Good = runAll<FixedThreshold>(Badness::None);
  const Tally Slow = runAll<FixedThreshold>(Badness::Slower, false);
  DOCTEST_MESSAGE("fixed threshold: good ones taken back "
                  << Good.TakenBack << " of " << Runs
                  << ", slow ones without noise completed " << Slow.Completed);
  DOCTEST_CHECK(Good.TakenBack > 0);
  DOCTEST_CHECK(Slow.Completed > 0);
}
