// Compares hedging policies on simulated leaves: the p99 without and with
// stragglers at each load, and the p99 while one replica of a shard is bad,
// compared with an owner that knows of it. Prints a table; --json FILE writes
// it.
#include "test/Upstream/SimulatedLeaves.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

DEFINE_string(json, "", "file to write the figures to");
DEFINE_int32(seeds, 5, "runs of each policy, with seeds from 20261204 on");

namespace {

using namespace citronlever;
using test::LeafBehaviour;
using test::SimulatedLeaves;

constexpr unsigned FirstSeed = 20261204;
constexpr int Shards = 20;
/// Two replicas with two slots each, 5 ms per request.
constexpr double CapacityPerSecond = 4 / 0.005;

/// A named set of scheduler settings.
struct Policy {
  std::string Name;
  SchedulerSettings Settings;
};

std::vector<Policy> policies() {
  std::vector<Policy> Result;
  const auto Add = [&Result](std::string Name) -> SchedulerSettings & {
    Result.push_back({std::move(Name), {}});
    return Result.back().Settings;
  };
  Add("as shipped");
  Add("no hedging").Hedging = false;
  Add("hedge after p90").HedgeQuantile = 0.90;
  Add("hedge after p95").HedgeQuantile = 0.95;
  Add("hedge after p98").HedgeQuantile = 0.98;
  Add("one hedge a job").MaxHedgesPerJob = 1;
  Add("two hedges a job").MaxHedgesPerJob = 2;
  Add("extra calls 2 %").ExtraRequestShare = 0.02;
  Add("extra calls 10 %").ExtraRequestShare = 0.10;
  Add("no probes of slow leaves").RecoveryProbes = false;
  return Result;
}

LeafBehaviour evenBehaviour() {
  LeafBehaviour Result;
  Result.SlowShare = 0;
  return Result;
}

/// p99 latencies and share of extra requests; means over the seeds.
struct PolicyResult {
  double EvenMs = 0;
  double StragglingMs = 0;
  double ExtraShare = 0;
  double ratio() const { return this->StragglingMs / this->EvenMs; }
};

using Leaves = SimulatedLeaves<HedgeDelayFromSend>;

/// Runs \p Simulation at a fifth of \p Rate, so that the scheduler learns the
/// latencies, and discards the measurements.
void warmUp(Leaves &Simulation, LeafBehaviour Behaviour, double Rate) {
  std::ranges::fill(Simulation.Behaviours, Behaviour);
  Simulation.run(0.2 * Rate, Seconds(3));
  Simulation.forgetTimes();
}

PolicyResult measure(const SchedulerSettings &Settings, double Load) {
  PolicyResult Sum;
  const double Rate = Load * CapacityPerSecond;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    const unsigned Seed = FirstSeed + static_cast<unsigned>(Run);
    Leaves Even(Shards, Seed, Settings);
    warmUp(Even, evenBehaviour(), Rate);
    Even.run(Rate, Seconds(10));
    Leaves Straggling(Shards, Seed, Settings);
    warmUp(Straggling, {}, Rate);
    Straggling.run(Rate, Seconds(10));
    Sum.EvenMs += Even.quantile(0.99) / FLAGS_seeds;
    Sum.StragglingMs += Straggling.quantile(0.99) / FLAGS_seeds;
    Sum.ExtraShare += Straggling.extraShare() / FLAGS_seeds;
  }
  return Sum;
}

/// What the owner knows about the bad replica.
enum class Knowledge : std::uint8_t {
  /// Only what it observes.
  Observed,
  /// Operators took the replica out of service at once.
  Oracle
};

struct ReplicaResult {
  double BeforeMs = 0;
  double AfterMs = 0;
  double ratio() const { return this->AfterMs / this->BeforeMs; }
};

/// \returns the p99 before one of the two replicas of a shard becomes bad, and
/// from 2 s after that.
ReplicaResult measureBadReplica(bool Stalled, Knowledge Source, double Load) {
  ReplicaResult Sum;
  const double Rate = Load * CapacityPerSecond;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    const unsigned Seed = FirstSeed + static_cast<unsigned>(Run);
    Leaves Simulation(Shards, Seed);
    warmUp(Simulation, evenBehaviour(), Rate);
    Simulation.run(Rate, Seconds(3));
    Simulation.forgetTimes();
    Simulation.run(Rate, Seconds(4));
    Sum.BeforeMs += Simulation.quantile(0.99) / FLAGS_seeds;
    Simulation.Behaviours[0].Stalled = Stalled;
    Simulation.Behaviours[0].MeanMs *= 5;
    if (Source == Knowledge::Oracle)
      Simulation.Scheduler.leaves().setInService(0, false, Simulation.Now);
    Simulation.run(Rate, Seconds(2));
    Simulation.forgetTimes();
    Simulation.run(Rate, Seconds(4));
    Sum.AfterMs += Simulation.quantile(0.99) / FLAGS_seeds;
  }
  return Sum;
}

boost::json::array comparePolicies() {
  boost::json::array Result;
  for (const Policy &Tested : policies())
    for (const double Load : {0.3, 0.5, 0.65}) {
      const PolicyResult Measured = measure(Tested.Settings, Load);
      std::printf("%-26s load %.2f: even %5.1f ms, stragglers %6.1f ms, "
                  "ratio %5.2f, extra %.3f\n",
                  Tested.Name.c_str(), Load, Measured.EvenMs,
                  Measured.StragglingMs, Measured.ratio(), Measured.ExtraShare);
      Result.push_back({{"policy", Tested.Name},
                        {"load", Load},
                        {"even_ms", Measured.EvenMs},
                        {"straggling_ms", Measured.StragglingMs},
                        {"extra", Measured.ExtraShare}});
    }
  return Result;
}

boost::json::array compareBadReplica() {
  boost::json::array Result;
  for (const bool Stalled : {true, false})
    for (const double Load : {0.1, 0.2, 0.25, 0.3, 0.4}) {
      const ReplicaResult Measured =
          measureBadReplica(Stalled, Knowledge::Observed, Load);
      const ReplicaResult Ideal =
          measureBadReplica(Stalled, Knowledge::Oracle, Load);
      std::printf("%s replica, load %.2f: before %.1f ms, after 2 s %.1f ms "
                  "(%.2f), oracle %.1f ms (%.2f)\n",
                  Stalled ? "stalled" : "slow", Load, Measured.BeforeMs,
                  Measured.AfterMs, Measured.ratio(), Ideal.AfterMs,
                  Ideal.ratio());
      Result.push_back({{"stalled", Stalled},
                        {"load", Load},
                        {"before_ms", Measured.BeforeMs},
                        {"after_ms", Measured.AfterMs},
                        {"oracle_ms", Ideal.AfterMs}});
    }
  return Result;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  boost::json::object Figures;
  Figures["policies"] = comparePolicies();
  Figures["bad_replica"] = compareBadReplica();
  if (!FLAGS_json.empty())
    std::ofstream(FLAGS_json) << boost::json::serialize(Figures) << '\n';
  return 0;
}
