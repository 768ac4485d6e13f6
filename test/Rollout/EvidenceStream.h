#pragma once

#include "citronlever/Rollout"

#include <array>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace citronlever::test {

/// Defect of the new version in a generated run.
enum class Defect {
  None,
  FailsAtOnce,
  FailsLater,
  FailsUnderLoad,
  FailsOnOneRoute,
  Slower
};

/// Generates the evidence of eight brokers over intervals of 200 ms, with
/// noise: varying load, periods of failures and slowness that affect both
/// versions, single faulty leaves, and new versions that are slightly faster or
/// slower.
class EvidenceStream {
public:
  static constexpr Duration Interval = Milliseconds(200);
  static constexpr std::size_t Brokers = 8;

  EvidenceStream(std::uint64_t Seed, Defect Kind, Duration Deadline,
                 bool Noise = true)
      : Random(Seed), Kind(Kind), DisturbanceChance(Noise ? 0.01 : 0) {
    this->FailShare = this->uniform(0.15, 1);
    this->SlowFactor = this->uniform(1.7, 5);
    this->DefectLoad = this->uniform(1.2, 1.35);
    this->DefectStart = std::chrono::duration_cast<Duration>(
        Deadline * this->uniform(0.05, 0.55));
    this->BaseFailures = this->uniform(0, 0.01);
    this->Drift = this->uniform(0.95, 1.08);
    this->FaultyBroker = this->Random() % Brokers;
    for (double &Latency : this->Latencies)
      Latency = 5 * std::exp(this->Normal(this->Random) * 0.4);
  }

  /// Advances by one interval.
  /// \returns the evidence of each broker.
  std::vector<std::vector<RouteEvidence>> next(Duration Now, double Share) {
    this->updateNoise(Now);
    std::vector<std::vector<RouteEvidence>> Result(Brokers);
    for (std::size_t Broker = 0; Broker < Brokers; ++Broker)
      for (int Route = 0; Route < 2; ++Route)
        for (const VersionSide Side : {VersionSide::Old, VersionSide::New})
          this->addRoute(Result[Broker], Broker, Route, Side, Share);
    return Result;
  }

  /// \returns whether the defect currently shows on the route.
  bool isDefective(int Route) const {
    switch (this->Kind) {
    case Defect::None:
      return false;
    case Defect::FailsAtOnce:
    case Defect::Slower:
      return true;
    case Defect::FailsLater:
      return this->Now >= this->DefectStart;
    case Defect::FailsUnderLoad:
      return this->Load > this->DefectLoad;
    case Defect::FailsOnOneRoute:
      return Route == 1;
    }
    return false;
  }

  bool isDefective() const {
    return this->isDefective(0) || this->isDefective(1);
  }
  double load() const { return this->Load; }

private:
  static constexpr double CallsPerSecond = 6000;
  static constexpr double SecondRouteShare = 0.25;
  static constexpr std::uint32_t LeavesPerBroker = 5;

  double uniform(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(this->Random);
  }

  bool chance(double Share) { return this->uniform(0, 1) < Share; }

  void updateNoise(Duration Time) {
    this->Now = Time;
    const double Seconds = std::chrono::duration<double>(Time).count();
    this->Load = 1 + 0.4 * std::sin(Seconds / 30 * 6.283);
    if (Time >= this->DisturbanceEnd) {
      const bool IsDisturbed = this->chance(this->DisturbanceChance);
      this->SharedFailures = IsDisturbed ? this->uniform(0, 0.12) : 0;
      this->SharedSlowness = IsDisturbed ? this->uniform(1, 3) : 1;
      this->DisturbanceEnd =
          Time + (IsDisturbed ? Milliseconds(3000) : Interval);
    }
    if (Time >= this->LeafFaultEnd) {
      this->HasLeafFault = this->chance(this->DisturbanceChance);
      this->FaultySide =
          this->chance(0.5) ? VersionSide::New : VersionSide::Old;
      this->LeafFaultEnd =
          Time + (this->HasLeafFault ? Milliseconds(4000) : Interval);
    }
  }

  void addRoute(std::vector<RouteEvidence> &To, std::size_t Broker, int Route,
                VersionSide Side, double Share) {
    const bool New = Side == VersionSide::New;
    const double RouteShare =
        Route == 1 ? SecondRouteShare : 1 - SecondRouteShare;
    const double Mean = CallsPerSecond * this->Load * RouteShare *
                        (New ? Share : 1 - Share) / Brokers *
                        std::chrono::duration<double>(Interval).count();
    if (Mean <= 0)
      return;
    RouteEvidence Evidence;
    Evidence.Route = Route == 1 ? "gauges" : "lookup";
    Evidence.Side = Side;
    Evidence.Calls =
        std::poisson_distribution<std::uint32_t>(Mean)(this->Random);
    if (Evidence.Calls == 0)
      return;
    const bool IsDefective = New && this->isDefective(Route);
    const bool HasFault = this->HasLeafFault && this->FaultySide == Side &&
                          Broker == this->FaultyBroker;
    std::vector<bool> Failing(LeavesPerBroker);
    auto &LastCalls = this->LastSeen[Broker][Route][New ? 1 : 0];
    for (std::uint32_t Call = 0; Call < Evidence.Calls; ++Call)
      this->addCall(Evidence, Failing, LastCalls, IsDefective, HasFault, New);
    for (const Duration Last : LastCalls)
      Evidence.LeavesSeen += this->Now - Last <= Seconds(1) ? 1 : 0;
    for (const bool IsFailing : Failing)
      Evidence.LeavesFailing += IsFailing ? 1 : 0;
    To.push_back(std::move(Evidence));
  }

  using LeafTimes = std::array<Duration, LeavesPerBroker>;

  void addCall(RouteEvidence &Evidence, std::vector<bool> &Failing,
               LeafTimes &LastCalls, bool IsDefective, bool HasFault,
               bool New) {
    const std::uint32_t Leaf = this->Random() % LeavesPerBroker;
    LastCalls[Leaf] = this->Now;
    const bool Slow = this->Kind == Defect::Slower;
    double Failures = this->BaseFailures + this->SharedFailures;
    if (IsDefective && !Slow)
      Failures += this->FailShare;
    if (HasFault && Leaf == 0)
      Failures = 0.8;
    if (this->chance(Failures)) {
      ++Evidence.Failures;
      Failing[Leaf] = true;
      return;
    }
    double Ms = this->Latencies[this->Random() % std::size(this->Latencies)];
    Ms *= this->SharedSlowness;
    if (New)
      Ms *= this->Drift;
    if (IsDefective && Slow)
      Ms *= this->SlowFactor;
    if (HasFault && Leaf == 0)
      Ms *= 6;
    Evidence.Latency.add(Ms);
  }

  std::mt19937_64 Random;
  std::normal_distribution<double> Normal;
  Defect Kind;
  double DisturbanceChance;
  double FailShare = 0;
  double SlowFactor = 1;
  double DefectLoad = 0;
  Duration DefectStart{};
  double BaseFailures = 0;
  double Drift = 1;
  std::size_t FaultyBroker = 0;
  double Latencies[4096];

  Duration Now{};
  /// Indexed by broker, route and side.
  LeafTimes LastSeen[Brokers][2][2] = {};
  double Load = 1;
  double SharedFailures = 0;
  double SharedSlowness = 1;
  Duration DisturbanceEnd{};
  bool HasLeafFault = false;
  VersionSide FaultySide = VersionSide::Old;
  Duration LeafFaultEnd{};
};

} // namespace citronlever::test
