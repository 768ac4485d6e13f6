// Versions whose leaves start cold, with generated calls and 40 seeds per
// scenario. A cold start must not look like a slow version, and a slow version
// must be found although its leaves are cold.
#include "citronlever/Rollout"

#include <doctest/doctest.h>

#include <cmath>
#include <random>

using namespace citronlever;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint64_t Runs = 40;
constexpr Duration Interval = RolloutAgent::Interval;
constexpr Duration RunTime = Seconds(12);
/// Time from a finding to the last call: one report and two gossip rounds.
constexpr Duration SpreadTime = 3 * Interval;

/// What the brokers know about starts of the old version's leaves.
enum class KnownStarts { Nothing, SameStarts, WarmStarts, StatedAsUsual };

struct Scenario {
  const char *Name;
  bool LeavesCold;
  double SlowFactor;
  KnownStarts Starts;
};

/// One leaf of the new version. It is cold until it has served 20 requests and
/// 2 s have passed.
struct NewLeaf {
  int Calls = 0;
  bool cold(Duration Age) const { return this->Calls < 20 || Age < Seconds(2); }
  /// The stage that its owner assumes.
  LeafStage stage() const {
    if (this->Calls < 10)
      return LeafStage::Cold;
    return this->Calls < 20 ? LeafStage::Ramping : LeafStage::Warm;
  }
};

/// Simulates four brokers with five leaves of each version, and a controller.
class ColdRun {
public:
  ColdRun(std::uint64_t Seed, const Scenario &Tested)
      : Random(Seed), Tested(Tested),
        ColdFactor(std::uniform_real_distribution<double>(2, 5)(this->Random)) {
    const double StartFactor =
        Tested.Starts == KnownStarts::SameStarts ? this->ColdFactor : 1;
    for (const char *Leaf : {"a", "b", "c", "d"})
      for (const LeafStage Stage : {LeafStage::Cold, LeafStage::Ramping})
        this->recordStart(Leaf, Stage, StartFactor);
  }

  /// \returns the time from the version's first call until it was found bad;
  /// nothing if it was not.
  std::optional<Duration> run() {
    for (Duration Now{}; Now < RunTime; Now += Interval) {
      std::vector<RouteEvidence> ServiceEvidence;
      bool Found = false;
      for (Broker &Current : this->Brokers) {
        this->addCalls(Current, Now);
        const auto Evidence = Current.Recorder.takeInterval(TimePoint(Now));
        Found = Current.Own.add(Evidence).has_value() || Found;
        mergeEvidence(ServiceEvidence, Evidence);
      }
      if (this->Controller.add(ServiceEvidence) || Found)
        return Now;
    }
    return std::nullopt;
  }

private:
  static constexpr int Leaves = 5;
  static constexpr int OldCalls = 100;
  static constexpr double NewCalls = 6;

  struct Broker {
    EvidenceRecorder Recorder;
    RegressionDetector Own;
    NewLeaf New[Leaves];
  };

  double latencyMs() { return 5 * std::exp(this->Normal(this->Random) * 0.4); }

  void recordStart(const char *Leaf, LeafStage Stage, double Factor) {
    LeafStartEvent StartEvent = Stage == LeafStage::Cold
                                    ? LeafStartEvent::Restarted
                                    : LeafStartEvent::None;
    for (int Call = 0; Call < 10; ++Call) {
      this->Profile.add({"bench", "lookup", Leaf, Stage, StartEvent,
                         Factor * this->latencyMs()},
                        TimePoint(Seconds(1)));
      StartEvent = LeafStartEvent::None;
    }
  }

  void addCalls(Broker &Target, Duration Now) {
    for (int Call = 0; Call < OldCalls; ++Call) {
      LeafCallSample Sample{"lookup", "old", VersionSide::Old};
      Sample.LatencyMs = this->latencyMs();
      Target.Recorder.add(Sample, TimePoint(Now));
    }
    const int Count = std::poisson_distribution<int>(NewCalls)(this->Random);
    for (int Call = 0; Call < Count; ++Call)
      this->callNewVersion(Target, Now);
  }

  void callNewVersion(Broker &Target, Duration Now) {
    const auto Index = static_cast<std::size_t>(this->Random() % Leaves);
    NewLeaf &Leaf = Target.New[Index];
    const std::string Name = "new" + std::to_string(Index);
    LeafCallSample Sample{"lookup", Name, VersionSide::New};
    Sample.Stage = Leaf.stage();
    Sample.LatencyMs = this->latencyMs() * this->Tested.SlowFactor;
    if (this->Tested.LeavesCold && Leaf.cold(Now))
      Sample.LatencyMs *= this->ColdFactor;
    const LeafStage ExpectedStage =
        Sample.Stage == LeafStage::Cold ? LeafStage::Cold : LeafStage::Ramping;
    if (this->Tested.Starts == KnownStarts::StatedAsUsual)
      Sample.ColdFactor = 1;
    else if (this->Tested.Starts != KnownStarts::Nothing)
      Sample.ExpectedStartMs =
          this->Profile.expectedMs("bench", "lookup", ExpectedStage)
              .value_or(0);
    Target.Recorder.add(Sample, TimePoint(Now));
    ++Leaf.Calls;
  }

  std::mt19937_64 Random;
  std::normal_distribution<double> Normal;
  const Scenario &Tested;
  double ColdFactor;
  ColdStartProfile Profile;
  Broker Brokers[4];
  RegressionDetector Controller;
};

struct Tally {
  std::uint64_t Found = 0;
  std::uint64_t FoundInTime = 0;
  Duration LastFoundAt{};
};

Tally runAll(const Scenario &Tested) {
  Tally Totals;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const auto Found = ColdRun(Seed, Tested).run();
    if (!Found)
      continue;
    ++Totals.Found;
    Totals.FoundInTime += *Found + SpreadTime <= Seconds(2) ? 1 : 0;
    Totals.LastFoundAt = std::max(Totals.LastFoundAt, *Found);
  }
  DOCTEST_MESSAGE(std::string(Tested.Name)
                  << ": found bad " << Totals.Found << " of " << Runs
                  << ", the last after " << toMs(Totals.LastFoundAt)
                  << " ms, first seed " << FirstSeed);
  return Totals;
}

} // namespace

DOCTEST_TEST_CASE("good versions with cold leaves are not found bad") {
  DOCTEST_CHECK(
      runAll({"good, cold, starts known", true, 1, KnownStarts::SameStarts})
          .Found == 0);
  DOCTEST_CHECK(
      runAll({"good, cold, starts unknown", true, 1, KnownStarts::Nothing})
          .Found == 0);
  DOCTEST_CHECK(
      runAll({"good, warm, starts known", false, 1, KnownStarts::WarmStarts})
          .Found == 0);
}

DOCTEST_TEST_CASE(
    "without scaling of cold starts good versions are found bad") {
  const Scenario Unscaled{"good, cold, counted as usual", true, 1,
                          KnownStarts::StatedAsUsual};
  DOCTEST_CHECK(runAll(Unscaled).Found > 0);
}

DOCTEST_TEST_CASE("slower versions are found within 2 s of their first call "
                  "if starts are known") {
  const Tally Warm =
      runAll({"slower, starts known", false, 3, KnownStarts::WarmStarts});
  DOCTEST_CHECK(Warm.FoundInTime == Runs);
  const Tally Cold = runAll(
      {"slower and cold, starts known", true, 3, KnownStarts::SameStarts});
  DOCTEST_CHECK(Cold.FoundInTime == Runs);
  const Tally Unknown =
      runAll({"slower, starts unknown", false, 3, KnownStarts::Nothing});
  DOCTEST_CHECK(Unknown.Found == Runs);
}
