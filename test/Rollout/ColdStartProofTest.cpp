// Versions whose leaves start cold, over generated calls: 40 seeds a kind.
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
/// From a finding to the last call: a report and two steps of gossip.
constexpr Duration SpreadTime = 3 * Interval;

/// What the brokers know of the old version's starts.
enum class Known { Nothing, SameStarts, WarmStarts, StatedAsUsual };

struct Kind {
  const char *Name;
  bool LeavesCold;
  double SlowFactor;
  Known Starts;
};

/// One leaf of the new version; cold until it has served 20 requests and 2 s
/// have passed.
struct NewLeaf {
  int Calls = 0;
  bool cold(Duration Age) const { return this->Calls < 20 || Age < Seconds(2); }
  /// What its owner thinks of it.
  LeafStage stage() const {
    if (this->Calls < 10)
      return LeafStage::Cold;
    return this->Calls < 20 ? LeafStage::Ramping : LeafStage::Settled;
  }
};

/// Four brokers with five leaves of each version, and a controller.
class ColdRun {
public:
  ColdRun(std::uint64_t Seed, const Kind &Of)
      : Random(Seed), Of(Of),
        ColdFactor(std::uniform_real_distribution<double>(2, 5)(this->Random)) {
    const double StartFactor =
        Of.Starts == Known::SameStarts ? this->ColdFactor : 1;
    for (const char *Leaf : {"a", "b", "c", "d"})
      for (const LeafStage Stage : {LeafStage::Cold, LeafStage::Ramping})
        this->recordStart(Leaf, Stage, StartFactor);
  }

  /// \returns when the version was found bad, counted from its first call.
  std::optional<Duration> run() {
    for (Duration Now{}; Now < RunTime; Now += Interval) {
      std::vector<RouteEvidence> Whole;
      bool Found = false;
      for (Broker &Each : this->Brokers) {
        this->offer(Each, Now);
        const auto Part = Each.Recorder.drain(TimePoint(Now));
        Found = Each.Own.add(Part).has_value() || Found;
        mergeEvidence(Whole, Part);
      }
      if (this->Controller.add(Whole) || Found)
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
    LeafStartEvent Sign = Stage == LeafStage::Cold ? LeafStartEvent::Restarted
                                                   : LeafStartEvent::None;
    for (int Call = 0; Call < 10; ++Call) {
      this->Profile.add(
          {"bench", "lookup", Leaf, Stage, Sign, Factor * this->latencyMs()},
          TimePoint(Seconds(1)));
      Sign = LeafStartEvent::None;
    }
  }

  void offer(Broker &To, Duration Now) {
    for (int Call = 0; Call < OldCalls; ++Call) {
      LeafCallSample Sample{"lookup", "old", VersionSide::Old};
      Sample.LatencyMs = this->latencyMs();
      To.Recorder.add(Sample, TimePoint(Now));
    }
    const int Count = std::poisson_distribution<int>(NewCalls)(this->Random);
    for (int Call = 0; Call < Count; ++Call)
      this->callNew(To, Now);
  }

  void callNew(Broker &To, Duration Now) {
    const auto Index = static_cast<std::size_t>(this->Random() % Leaves);
    NewLeaf &Leaf = To.New[Index];
    const std::string Name = "new" + std::to_string(Index);
    LeafCallSample Sample{"lookup", Name, VersionSide::New};
    Sample.Stage = Leaf.stage();
    Sample.LatencyMs = this->latencyMs() * this->Of.SlowFactor;
    if (this->Of.LeavesCold && Leaf.cold(Now))
      Sample.LatencyMs *= this->ColdFactor;
    const LeafStage Asked =
        Sample.Stage == LeafStage::Cold ? LeafStage::Cold : LeafStage::Ramping;
    if (this->Of.Starts == Known::StatedAsUsual)
      Sample.ColdFactor = 1;
    else if (this->Of.Starts != Known::Nothing)
      Sample.StartMs =
          this->Profile.expectedMs("bench", "lookup", Asked).value_or(0);
    To.Recorder.add(Sample, TimePoint(Now));
    ++Leaf.Calls;
  }

  std::mt19937_64 Random;
  std::normal_distribution<double> Normal;
  const Kind &Of;
  double ColdFactor;
  ColdStartProfile Profile;
  Broker Brokers[4];
  RegressionDetector Controller;
};

struct Tally {
  std::uint64_t Found = 0;
  std::uint64_t InTime = 0;
  Duration Last{};
};

Tally runAll(const Kind &Of) {
  Tally Sum;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const auto Found = ColdRun(Seed, Of).run();
    if (!Found)
      continue;
    ++Sum.Found;
    Sum.InTime += *Found + SpreadTime <= Seconds(2) ? 1 : 0;
    Sum.Last = std::max(Sum.Last, *Found);
  }
  DOCTEST_MESSAGE(std::string(Of.Name)
                  << ": found bad " << Sum.Found << " of " << Runs
                  << ", the last after " << toMs(Sum.Last) << " ms, first seed "
                  << FirstSeed);
  return Sum;
}

} // namespace

DOCTEST_TEST_CASE("good versions with cold leaves are not found bad") {
  DOCTEST_CHECK(
      runAll({"good, cold, starts known", true, 1, Known::SameStarts}).Found ==
      0);
  DOCTEST_CHECK(
      runAll({"good, cold, starts unknown", true, 1, Known::Nothing}).Found ==
      0);
  DOCTEST_CHECK(
      runAll({"good, warm, starts known", false, 1, Known::WarmStarts}).Found ==
      0);
}

DOCTEST_TEST_CASE("a start that counts as usual takes good versions back") {
  const Kind Unscaled{"good, cold, counted as usual", true, 1,
                      Known::StatedAsUsual};
  DOCTEST_CHECK(runAll(Unscaled).Found > 0);
}

DOCTEST_TEST_CASE("slower versions are found within 2 s of their first call "
                  "if starts are known") {
  const Tally Warm =
      runAll({"slower, starts known", false, 3, Known::WarmStarts});
  DOCTEST_CHECK(Warm.InTime == Runs);
  const Tally Cold =
      runAll({"slower and cold, starts known", true, 3, Known::SameStarts});
  DOCTEST_CHECK(Cold.InTime == Runs);
  const Tally Unknown =
      runAll({"slower, starts unknown", false, 3, Known::Nothing});
  DOCTEST_CHECK(Unknown.Found == Runs);
}
