#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <iostream>
#include <random>

using namespace citronlever;

namespace {

constexpr std::uint32_t FirstSeed = 20261204;
constexpr int Seeds = 40;
constexpr int Processes = 8;

/// Faults of the new version.
struct VersionFaults {
  double Failing = 0;
  double Slow = 0;
  /// Time from the order until the faults start.
  Duration After{};
  /// Minimum share of requests at which the faults occur.
  double MinShare = 0;
  bool OneRouteOnly = false;
};

/// Outcome of a simulated rollout.
struct SimulatedOutcome {
  RolloutPhase Phase = RolloutPhase::Canary;
  Duration EndedAt{};
  double All = 0;
  double New = 0;
  int Bad = 0;
  /// Time from the fiftieth bad answer to the last request sent to the new
  /// version.
  Duration AfterFiftieth{};
};

/// A service with a few calls per second behind eight processes, rolled out
/// from leaves of one version to leaves of another. Uses no sockets and no real
/// clock.
class RolloutSimulation {
public:
  RolloutSimulation(std::uint32_t Seed, double PerSecond, int NewLeaves,
                    VersionFaults NewVersion)
      : Random(Seed), PerSecond(PerSecond), NewLeaves(NewLeaves),
        NewVersion(NewVersion), Leader(Order, Began) {
    for (int At = 0; At < Processes; ++At) {
      this->Rollouts.emplace_back(Order, this->chance());
      this->Rollouts.back().grantEarlyRequests({}, Processes);
    }
  }

  /// One leaf of the new version fails although the version is good.
  bool OneLeafInTrouble = false;
  /// Both versions fail and are slow for a few seconds from this time on.
  Duration TroubleFrom = Seconds(1000);
  /// Number of steps after which a process restarts and loses its state; 0 for
  /// none.
  int RestartEachSteps = 0;
  /// Time at which the leader is replaced and its counters are lost.
  Duration LeaderLostAt = Seconds(1000);

  SimulatedOutcome run(Duration Deadline = Order.Deadline) {
    TimePoint Now = Began;
    int Steps = 0;
    while (Now < Began + Deadline && !this->finished()) {
      this->interval(Now);
      Now += RolloutLeader::AnalysisInterval;
      ++Steps;
      if (this->RestartEachSteps > 0 && Steps % this->RestartEachSteps == 0)
        this->restart();
      if (Now - Began >= this->LeaderLostAt) {
        this->LeaderLostAt = Seconds(1000);
        this->Leader = RolloutLeader(Order, Now);
        if (this->StoredState)
          this->Leader.onStateRead(*this->StoredState, Now);
      }
      this->lead(Now);
    }
    this->Result.EndedAt = Now - Began;
    if (this->StoredState)
      this->Result.Phase = this->StoredState->Phase;
    return this->Result;
  }

  inline static const RolloutRequest Order{"bench", "v2", Seconds(20), {1, 7}};
  static constexpr TimePoint Began{Seconds(1000)};

private:
  double chance() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  bool finished() const {
    return this->StoredState && this->StoredState->isFinished();
  }

  void restart() {
    const auto At = static_cast<std::size_t>(this->chance() * Processes);
    ServiceRollout Fresh(Order, this->chance());
    Fresh.grantEarlyRequests({}, Processes);
    if (this->StoredState)
      Fresh.applyState(*this->StoredState);
    this->Rollouts[At] = std::move(Fresh);
    ++this->Incarnation[At];
  }

  void interval(TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(RolloutLeader::AnalysisInterval).count();
    std::poisson_distribution<int> Arrivals(this->PerSecond * Seconds);
    const int Count = Arrivals(this->Random);
    for (int At = 0; At < Count; ++At)
      this->request(Now);
  }

  void request(TimePoint Now) {
    ServiceRollout &Rollout =
        this->Rollouts[static_cast<std::size_t>(this->chance() * Processes)];
    const std::string Route = this->chance() < 0.7 ? "main" : "side";
    const bool New = Rollout.assignToNew(Route);
    const bool TroubleSpell =
        Now - Began >= this->TroubleFrom &&
        Now - Began < this->TroubleFrom + std::chrono::seconds(4);
    double Failing = TroubleSpell ? 0.3 : 0.005;
    double Slow = TroubleSpell ? 0.4 : 0.04;
    std::string Leaf;
    ++this->Result.All;
    if (New) {
      ++this->Result.New;
      const int Index = static_cast<int>(this->chance() * this->NewLeaves);
      Leaf = "n" + std::to_string(Index);
      if (this->isBad(Rollout, Route, Now)) {
        Failing = std::max(Failing, this->NewVersion.Failing);
        Slow = std::max(Slow, this->NewVersion.Slow);
      }
      if (this->OneLeafInTrouble && Index == 0)
        Failing = 0.9;
    }
    const bool Failed = this->chance() < Failing;
    const bool WasSlow = !Failed && this->chance() < Slow;
    if (New && (Failed || WasSlow) && ++this->Result.Bad == 50)
      this->Fiftieth = Now;
    if (New && this->Result.Bad >= 50)
      this->Result.AfterFiftieth = Now - this->Fiftieth;
    Rollout.onCallEnded(Route, Leaf, Failed, WasSlow);
  }

  bool isBad(const ServiceRollout &Rollout, const std::string &Route,
             TimePoint Now) const {
    return Now - Began >= this->NewVersion.After &&
           Rollout.state()->Share >= this->NewVersion.MinShare &&
           (!this->NewVersion.OneRouteOnly || Route == "side");
  }

  void lead(TimePoint Now) {
    for (std::size_t At = 0; At < this->Rollouts.size(); ++At)
      this->Leader.addReport("p" + std::to_string(At) + "." +
                                 std::to_string(this->Incarnation[At]),
                             this->Rollouts[At].report());
    this->Leader.endInterval();
    const RolloutDocument *Present =
        this->StoredState ? &*this->StoredState : nullptr;
    const auto Next = this->Leader.nextState(Present, "v1", Now);
    if (!Next)
      return;
    this->StoredState = *Next;
    this->Leader.onStateRead(*Next, Now);
    for (ServiceRollout &Rollout : this->Rollouts)
      Rollout.applyState(*Next);
  }

  std::mt19937 Random;
  double PerSecond;
  int NewLeaves;
  VersionFaults NewVersion;
  RolloutLeader Leader;
  std::vector<ServiceRollout> Rollouts;
  std::map<std::size_t, int> Incarnation;
  std::optional<RolloutDocument> StoredState;
  SimulatedOutcome Result;
  TimePoint Fiftieth{};
};

struct Tally {
  int Completed = 0;
  int TakenBack = 0;
  int EndedInTime = 0;
  int OverExposed = 0;
  int DetectedLate = 0;
};

template <class Prepare>
Tally tally(double PerSecond, int NewLeaves, VersionFaults NewVersion,
            Prepare Change) {
  Tally Result;
  for (std::uint32_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    RolloutSimulation Simulation(Seed, PerSecond, NewLeaves, NewVersion);
    Change(Simulation);
    const SimulatedOutcome End = Simulation.run();
    Result.Completed += End.Phase == RolloutPhase::Completed;
    Result.TakenBack += End.Phase == RolloutPhase::RolledBack;
    Result.EndedInTime += End.EndedAt < RolloutSimulation::Order.Deadline;
    // The limit refers to all requests up to the deadline.
    const double All = PerSecond * 20;
    Result.OverExposed += End.New > 0.1 * All + 50;
    Result.DetectedLate += End.AfterFiftieth > Seconds(5);
  }
  std::cout << "rollouts at " << PerSecond << "/s, " << NewLeaves
            << " leaves, seeds from " << FirstSeed << ": completed "
            << Result.Completed << ", rolled back " << Result.TakenBack
            << ", over the exposure limit " << Result.OverExposed << " of "
            << Seeds << "\n";
  return Result;
}

Tally tally(double PerSecond, int NewLeaves, VersionFaults NewVersion) {
  return tally(PerSecond, NewLeaves, NewVersion, [](RolloutSimulation &) {});
}

} // namespace

DOCTEST_TEST_CASE("good versions are rolled out by the deadline, even while "
                  "leaves of both versions have faults") {
  const auto Calm = [](RolloutSimulation &) {};
  const auto TroubleSpell = [](RolloutSimulation &Simulation) {
    Simulation.TroubleFrom = Seconds(5);
  };
  const auto OneLeaf = [](RolloutSimulation &Simulation) {
    Simulation.OneLeafInTrouble = true;
  };
  const auto Restarts = [](RolloutSimulation &Simulation) {
    Simulation.RestartEachSteps = 3;
  };
  for (const double PerSecond : {22.5, 90.0}) {
    DOCTEST_CAPTURE(PerSecond);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, Calm).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 2, {}, Calm).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, OneLeaf).Completed >= Seeds - 4);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, Restarts).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, TroubleSpell).Completed >= Seeds - 4);
  }
}

DOCTEST_TEST_CASE("bad versions are rolled back within the exposure limit") {
  const std::vector<std::pair<const char *, VersionFaults>> Kinds = {
      {"fails at once", {.Failing = 0.4}},
      {"slow at once", {.Slow = 0.7}},
      {"fails later", {.Failing = 0.4, .After = Seconds(7)}},
      {"slow later", {.Slow = 0.7, .After = Seconds(7)}},
      {"fails under load", {.Failing = 0.4, .MinShare = 0.4}},
      {"fails on one route", {.Failing = 0.6, .OneRouteOnly = true}}};
  for (const auto &Kind : Kinds)
    for (const double PerSecond : {22.5, 90.0})
      for (const int NewLeaves : {2, 5}) {
        DOCTEST_CAPTURE(Kind.first);
        DOCTEST_CAPTURE(PerSecond);
        const Tally Seen = tally(PerSecond, NewLeaves, Kind.second);
        DOCTEST_CHECK(Seen.TakenBack >= Seeds - 2);
        DOCTEST_CHECK(Seen.OverExposed == 0);
        DOCTEST_CHECK(Seen.DetectedLate == 0);
        DOCTEST_CHECK(Seen.EndedInTime == Seeds);
      }
}

DOCTEST_TEST_CASE("a rollout continues when its leader is lost") {
  const Tally Seen = tally(22.5, 5, {}, [](RolloutSimulation &Simulation) {
    Simulation.LeaderLostAt = Seconds(6);
  });
  DOCTEST_CHECK(Seen.Completed >= Seeds - 2);
  DOCTEST_CHECK(Seen.EndedInTime >= Seeds - 2);
}

DOCTEST_TEST_CASE("without a written state, or once marked bad, the new "
                  "version gets no requests") {
  ServiceRollout Rollout(RolloutSimulation::Order, 0.99);
  Rollout.grantEarlyRequests({}, 1);
  const auto Given = [&] {
    int Count = 0;
    for (int At = 0; At < 100; ++At)
      Count += Rollout.assignToNew("main");
    return Count;
  };
  DOCTEST_CHECK(Given() == 0);
  RolloutDocument State =
      makeRolloutDocument(Rollout.order().id(), "bench", "v1", "v2",
                          Seconds(20), 0, RolloutLeader::plan());
  RolloutDocument Other = State;
  Other.Id = "bench@8";
  DOCTEST_CHECK(!Rollout.applyState(Other));
  DOCTEST_CHECK(Rollout.applyState(State));
  DOCTEST_CHECK(Given() > 0);
  Rollout.markBad("test");
  DOCTEST_CHECK(Given() == 0);
  DOCTEST_CHECK(Rollout.traffic() == VersionTraffic::OldOnly);
}

DOCTEST_TEST_CASE(
    "an older state is not applied, and a completed rollout is final") {
  ServiceRollout Rollout(RolloutSimulation::Order, 0);
  RolloutDocument State =
      makeRolloutDocument(Rollout.order().id(), "bench", "v1", "v2",
                          Seconds(20), 0, RolloutLeader::plan());
  RolloutDocument Done = State;
  Done.Phase = RolloutPhase::Completed;
  DOCTEST_CHECK(Rollout.applyState(Done));
  DOCTEST_CHECK(!Rollout.applyState(State));
  DOCTEST_CHECK(Rollout.traffic() == VersionTraffic::NewOnly);
  DOCTEST_CHECK(Rollout.assignToNew("main"));
  DOCTEST_CHECK(Rollout.extraSendsUseNew());
}
