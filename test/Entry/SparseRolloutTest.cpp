// Detection of a bad version at so little traffic that queries to it are rare.
// Runs the budgets of the entries with the detectors of the brokers, 40 seeds.
#include "citronlever/Entry"
#include "citronlever/Rollout"

#include <doctest/doctest.h>

#include <random>

using namespace citronlever;

namespace {

constexpr std::uint64_t FirstSeed = 20261204;
constexpr std::uint64_t Runs = 40;
constexpr std::size_t Shards = 20;
constexpr Duration Step = Milliseconds(5);
/// 120 queries a second.
constexpr double QueriesPerStep = 0.6;
constexpr Duration RunTime = Seconds(30);
/// Share of the calls of both versions that fail at random.
constexpr double BaseFailures = 0.01;

/// Eight entries, and four brokers that own 4, 4, 4 and 8 of the shards.
class SparseRun {
public:
  SparseRun(std::uint64_t Seed, bool Bad, bool UseSuspicion)
      : Random(Seed), Bad(Bad), UseSuspicion(UseSuspicion) {
    this->ServiceConfig.Name = "bench";
    this->ServiceConfig.Version = "v1";
    this->Config.RolloutShares["bench"] = {"r1", "v2", 0.05};
  }

  /// \returns the time from the first query of the new version to the last, or
  /// nothing if it was not found bad within RunTime.
  std::optional<Duration> run() {
    for (Duration Now{}; Now < RunTime; Now += Step) {
      if (std::bernoulli_distribution(QueriesPerStep)(this->Random))
        this->query(TimePoint(Now));
      if (this->tick(TimePoint(Now)))
        return this->Last - this->First;
    }
    return std::nullopt;
  }

private:
  struct Broker {
    std::size_t End;
    EvidenceRecorder Recorder;
    RegressionDetector Detector;
  };

  void query(TimePoint Now) {
    const auto HealthLookup = [this](std::string_view Id, TimePoint At) {
      return this->UseSuspicion && this->Suspected.contains(Id, At)
                 ? VersionHealth::Suspected
                 : VersionHealth::Unproven;
    };
    VersionBudget &Budget = this->Budgets[this->Random() % 8];
    const VersionChoice Choice = chooseVersion(
        this->Config, this->ServiceConfig, std::to_string(Random()), Shards,
        HealthLookup, Budget, Now);
    const bool New = Choice.Reservation.New;
    Budget.settle("bench", Choice.Reservation, Shards);
    if (New) {
      this->First = std::min(this->First, Now);
      this->Last = Now;
    }
    std::bernoulli_distribution Failure(BaseFailures);
    std::size_t Shard = 0;
    for (Broker &Owner : this->Brokers)
      for (; Shard < Owner.End; ++Shard) {
        const std::string Leaf = (New ? "new" : "old") + std::to_string(Shard);
        LeafCallSample Sample{"lookup", Leaf};
        Sample.Side = New ? VersionSide::New : VersionSide::Old;
        Sample.Failed = (New && this->Bad) || Failure(this->Random);
        Sample.LatencyMs = 5;
        Owner.Recorder.add(Sample, Now);
      }
  }

  /// Ends the brokers' intervals that are due. \returns whether a detector
  /// found the version bad.
  bool tick(TimePoint Now) {
    TimePoint Due = Now;
    for (Broker &Owner : this->Brokers) {
      if (Due.time_since_epoch() % RolloutAgent::Interval == Duration{}) {
        if (Owner.Detector.add(Owner.Recorder.takeInterval(Now)))
          return true;
        if (Owner.Detector.isSuspicious())
          this->Suspected.add("r1", Now);
      }
      Due += RolloutAgent::Interval / 4;
    }
    return false;
  }

  std::mt19937_64 Random;
  const bool Bad;
  const bool UseSuspicion;
  ConfigView Config;
  Service ServiceConfig;
  SuspectedRollouts Suspected;
  VersionBudget Budgets[8];
  Broker Brokers[4] = {{4, {}, {}}, {8, {}, {}}, {12, {}, {}}, {20, {}, {}}};
  TimePoint First = TimePoint::max();
  TimePoint Last{};
};

/// \returns the longest time over all seeds from the first query of the new
/// version to the last.
Duration longest(bool UseSuspicion) {
  Duration Result{};
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed) {
    const auto Took = SparseRun(Seed, true, UseSuspicion).run();
    DOCTEST_REQUIRE(Took.has_value());
    Result = std::max(Result, *Took);
  }
  DOCTEST_MESSAGE("failing at once, 120 queries a second, suspicion "
                  << std::string(UseSuspicion ? "told" : "not told")
                  << ": last call " << toMs(Result) << " ms after the first in "
                  << Runs << " runs, first seed " << FirstSeed);
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a failing version gets its last call within half of 2 s") {
  DOCTEST_CHECK(longest(true) <= Seconds(1));
}

DOCTEST_TEST_CASE("without suspicion a failing version gets calls for longer") {
  DOCTEST_CHECK(longest(false) > Seconds(1));
}

DOCTEST_TEST_CASE("a good version that is suspected at random is not "
                  "reported bad") {
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + Runs; ++Seed)
    DOCTEST_CHECK_FALSE(SparseRun(Seed, false, true).run().has_value());
}
