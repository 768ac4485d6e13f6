#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <iostream>
#include <random>

using namespace citronlever;

namespace {

constexpr std::uint32_t FirstSeed = 20261204;
constexpr int Seeds = 40;
constexpr int Processes = 8;

/// What a new version makes of its requests.
struct Behaviour {
  double Failing = 0;
  double Slow = 0;
  /// Only from then on.
  Duration After{};
  /// Only while it gets at least this share of the requests.
  double AtShare = 0;
  bool OneRouteOnly = false;
};

/// How a simulated move ended.
struct MoveOutcome {
  RolloutPhase Phase = RolloutPhase::Canary;
  Duration EndedAt{};
  double All = 0;
  double New = 0;
  int Bad = 0;
  /// From the fiftieth bad answer to the last request at the new version.
  Duration AfterFiftieth{};
};

/// A service of a few calls a second behind eight processes, moved from leaves
/// of one version to as many of another; no sockets and no clock.
class MoveSimulation {
public:
  MoveSimulation(std::uint32_t Seed, double PerSecond, int NewLeaves,
                 Behaviour Of)
      : Random(Seed), PerSecond(PerSecond), NewLeaves(NewLeaves), Of(Of),
        Keeper(Order, Began) {
    for (int At = 0; At < Processes; ++At) {
      this->Trials.emplace_back(Order, this->chance());
      this->Trials.back().allowEarly({}, Processes);
    }
  }

  /// One leaf of the new version fails by itself.
  bool OneLeafInTrouble = false;
  /// Both versions fail and are slow in these seconds.
  Duration SpellFrom = Seconds(1000);
  /// A process that starts again each so often and forgets; 0: none.
  int RestartEachSteps = 0;
  /// The process that leads is replaced, with all that it had counted.
  Duration LeaderLostAt = Seconds(1000);

  MoveOutcome run(Duration Deadline = Order.Deadline) {
    TimePoint Now = Began;
    int Steps = 0;
    while (Now < Began + Deadline && !this->finished()) {
      this->interval(Now);
      Now += RolloutLeader::Interval;
      ++Steps;
      if (this->RestartEachSteps > 0 && Steps % this->RestartEachSteps == 0)
        this->restart();
      if (Now - Began >= this->LeaderLostAt) {
        this->LeaderLostAt = Seconds(1000);
        this->Keeper = RolloutLeader(Order, Now);
        if (this->Written)
          this->Keeper.stateRead(*this->Written, Now);
      }
      this->lead(Now);
    }
    this->Result.EndedAt = Now - Began;
    if (this->Written)
      this->Result.Phase = this->Written->Phase;
    return this->Result;
  }

  inline static const VersionOrder Order{"bench", "v2", Seconds(20), 7};
  static constexpr TimePoint Began{Seconds(1000)};

private:
  double chance() {
    return std::uniform_real_distribution<double>(0, 1)(this->Random);
  }

  bool finished() const { return this->Written && this->Written->finished(); }

  void restart() {
    const auto At = static_cast<std::size_t>(this->chance() * Processes);
    ServiceRollout Fresh(Order, this->chance());
    Fresh.allowEarly({}, Processes);
    if (this->Written)
      Fresh.apply(*this->Written);
    this->Trials[At] = std::move(Fresh);
    ++this->Incarnation[At];
  }

  void interval(TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(RolloutLeader::Interval).count();
    std::poisson_distribution<int> Arrivals(this->PerSecond * Seconds);
    const int Count = Arrivals(this->Random);
    for (int At = 0; At < Count; ++At)
      this->request(Now);
  }

  void request(TimePoint Now) {
    ServiceRollout &Trial =
        this->Trials[static_cast<std::size_t>(this->chance() * Processes)];
    const std::string Route = this->chance() < 0.7 ? "main" : "side";
    const bool New = Trial.takeNew(Route);
    const bool Spell = Now - Began >= this->SpellFrom &&
                       Now - Began < this->SpellFrom + std::chrono::seconds(4);
    double Failing = Spell ? 0.3 : 0.005;
    double Slow = Spell ? 0.4 : 0.04;
    std::string Leaf;
    ++this->Result.All;
    if (New) {
      ++this->Result.New;
      const int Index = static_cast<int>(this->chance() * this->NewLeaves);
      Leaf = "n" + std::to_string(Index);
      if (this->bad(Trial, Route, Now)) {
        Failing = std::max(Failing, this->Of.Failing);
        Slow = std::max(Slow, this->Of.Slow);
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
    Trial.ended(Route, Leaf, Failed, WasSlow);
  }

  bool bad(const ServiceRollout &Trial, const std::string &Route,
           TimePoint Now) const {
    return Now - Began >= this->Of.After &&
           Trial.state()->Share >= this->Of.AtShare &&
           (!this->Of.OneRouteOnly || Route == "side");
  }

  void lead(TimePoint Now) {
    for (std::size_t At = 0; At < this->Trials.size(); ++At)
      this->Keeper.add("p" + std::to_string(At) + "." +
                           std::to_string(this->Incarnation[At]),
                       this->Trials[At].report());
    this->Keeper.endInterval();
    const RolloutDocument *Present = this->Written ? &*this->Written : nullptr;
    const auto Next = this->Keeper.decide(Present, "v1", Now);
    if (!Next)
      return;
    this->Written = *Next;
    this->Keeper.stateRead(*Next, Now);
    for (ServiceRollout &Trial : this->Trials)
      Trial.apply(*Next);
  }

  std::mt19937 Random;
  double PerSecond;
  int NewLeaves;
  Behaviour Of;
  RolloutLeader Keeper;
  std::vector<ServiceRollout> Trials;
  std::map<std::size_t, int> Incarnation;
  std::optional<RolloutDocument> Written;
  MoveOutcome Result;
  TimePoint Fiftieth{};
};

struct Tally {
  int Completed = 0;
  int TakenBack = 0;
  int InTime = 0;
  int Exposed = 0;
  int TooLong = 0;
};

template <class Prepare>
Tally tally(double PerSecond, int NewLeaves, Behaviour Of, Prepare Change) {
  Tally Result;
  for (std::uint32_t Seed = FirstSeed; Seed < FirstSeed + Seeds; ++Seed) {
    MoveSimulation Move(Seed, PerSecond, NewLeaves, Of);
    Change(Move);
    const MoveOutcome End = Move.run();
    Result.Completed += End.Phase == RolloutPhase::Completed;
    Result.TakenBack += End.Phase == RolloutPhase::TakenBack;
    Result.InTime += End.EndedAt < MoveSimulation::Order.Deadline;
    // The limit counts all requests until the order's deadline.
    const double All = PerSecond * 20;
    Result.Exposed += End.New > 0.1 * All + 50;
    Result.TooLong += End.AfterFiftieth > Seconds(5);
  }
  std::cout << "moves at " << PerSecond << "/s, " << NewLeaves
            << " leaves, seeds from " << FirstSeed << ": completed "
            << Result.Completed << ", taken back " << Result.TakenBack
            << ", exposed " << Result.Exposed << " of " << Seeds << "\n";
  return Result;
}

Tally tally(double PerSecond, int NewLeaves, Behaviour Of) {
  return tally(PerSecond, NewLeaves, Of, [](MoveSimulation &) {});
}

} // namespace

DOCTEST_TEST_CASE("good versions are moved to within the order's time, also "
                  "while leaves of both are in trouble") {
  const auto Calm = [](MoveSimulation &) {};
  const auto Spell = [](MoveSimulation &Move) { Move.SpellFrom = Seconds(5); };
  const auto OneLeaf = [](MoveSimulation &Move) {
    Move.OneLeafInTrouble = true;
  };
  const auto Restarts = [](MoveSimulation &Move) { Move.RestartEachSteps = 3; };
  for (const double PerSecond : {22.5, 90.0}) {
    DOCTEST_CAPTURE(PerSecond);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, Calm).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 2, {}, Calm).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, OneLeaf).Completed >= Seeds - 4);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, Restarts).Completed >= Seeds - 2);
    DOCTEST_CHECK(tally(PerSecond, 5, {}, Spell).Completed >= Seeds - 4);
  }
}

DOCTEST_TEST_CASE("bad versions are taken back within their exposure") {
  const std::vector<std::pair<const char *, Behaviour>> Kinds = {
      {"fails at once", {.Failing = 0.4}},
      {"slow at once", {.Slow = 0.7}},
      {"fails later", {.Failing = 0.4, .After = Seconds(7)}},
      {"slow later", {.Slow = 0.7, .After = Seconds(7)}},
      {"fails under load", {.Failing = 0.4, .AtShare = 0.4}},
      {"fails on one route", {.Failing = 0.6, .OneRouteOnly = true}}};
  for (const auto &Kind : Kinds)
    for (const double PerSecond : {22.5, 90.0})
      for (const int NewLeaves : {2, 5}) {
        DOCTEST_CAPTURE(Kind.first);
        DOCTEST_CAPTURE(PerSecond);
        const Tally Seen = tally(PerSecond, NewLeaves, Kind.second);
        DOCTEST_CHECK(Seen.TakenBack >= Seeds - 2);
        DOCTEST_CHECK(Seen.Exposed == 0);
        DOCTEST_CHECK(Seen.TooLong == 0);
        DOCTEST_CHECK(Seen.InTime == Seeds);
      }
}

DOCTEST_TEST_CASE("a move goes on when the process that leads it is lost") {
  const Tally Seen = tally(22.5, 5, {}, [](MoveSimulation &Move) {
    Move.LeaderLostAt = Seconds(6);
  });
  DOCTEST_CHECK(Seen.Completed >= Seeds - 2);
  DOCTEST_CHECK(Seen.InTime >= Seeds - 2);
}

DOCTEST_TEST_CASE("without a written state, or once it is bad, a version gets "
                  "nothing") {
  ServiceRollout Trial(MoveSimulation::Order, 0.99);
  Trial.allowEarly({}, 1);
  const auto Given = [&] {
    int Count = 0;
    for (int At = 0; At < 100; ++At)
      Count += Trial.takeNew("main");
    return Count;
  };
  DOCTEST_CHECK(Given() == 0);
  RolloutDocument State = startRollout(Trial.order().id(), "bench", "v1", "v2",
                                       Seconds(20), 0, RolloutLeader::plan());
  RolloutDocument Other = State;
  Other.Id = "bench@8";
  DOCTEST_CHECK(!Trial.apply(Other));
  DOCTEST_CHECK(Trial.apply(State));
  DOCTEST_CHECK(Given() > 0);
  Trial.markBad("test");
  DOCTEST_CHECK(Given() == 0);
  DOCTEST_CHECK(Trial.stage() == VersionTraffic::HeldOut);
}

DOCTEST_TEST_CASE("a state never goes back, and a completed move is final") {
  ServiceRollout Trial(MoveSimulation::Order, 0);
  RolloutDocument State = startRollout(Trial.order().id(), "bench", "v1", "v2",
                                       Seconds(20), 0, RolloutLeader::plan());
  RolloutDocument Done = State;
  Done.Phase = RolloutPhase::Completed;
  DOCTEST_CHECK(Trial.apply(Done));
  DOCTEST_CHECK(!Trial.apply(State));
  DOCTEST_CHECK(Trial.stage() == VersionTraffic::Moved);
  DOCTEST_CHECK(Trial.takeNew("main"));
  DOCTEST_CHECK(Trial.extrasGoNew());
}
