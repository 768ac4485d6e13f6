// Hedging policies against each other on simulated leaves: p99 without and
// with stragglers for each load, and what one bad replica of a shard costs
// against an owner that knows it. Prints a table; --json FILE writes it.
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
/// Two replicas of two slots, 5 ms a request.
constexpr double CapacityPerSecond = 4 / 0.005;

/// A set of bounds, by name.
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

LeafBehaviour even() {
  LeafBehaviour Result;
  Result.SlowShare = 0;
  return Result;
}

/// Means over the seeds.
struct Figure {
  double EvenMs = 0;
  double StragglingMs = 0;
  double ExtraShare = 0;
  double ratio() const { return this->StragglingMs / this->EvenMs; }
};

using Leaves = SimulatedLeaves<HedgeDelayFromSend>;

/// Lets \p All learn at a fifth of \p Rate.
void warmUp(Leaves &All, LeafBehaviour How, double Rate) {
  std::ranges::fill(All.Behaviours, How);
  All.run(0.2 * Rate, Seconds(3));
  All.forgetTimes();
}

Figure measure(const SchedulerSettings &Settings, double Load) {
  Figure Sum;
  const double Rate = Load * CapacityPerSecond;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    const unsigned Seed = FirstSeed + static_cast<unsigned>(Run);
    Leaves Even(Shards, Seed, Settings);
    warmUp(Even, even(), Rate);
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

/// What the owner can know of the bad replica.
enum class Knowledge : std::uint8_t {
  /// Only what it sees.
  Observed,
  /// Operators took the replica out at once.
  Oracle
};

struct Replica {
  double BeforeMs = 0;
  double AfterMs = 0;
  double ratio() const { return this->AfterMs / this->BeforeMs; }
};

/// One of two replicas of one shard turns bad; the p99 before, and from 2 s
/// after that.
Replica measureBad(bool Stalled, Knowledge Of, double Load) {
  Replica Sum;
  const double Rate = Load * CapacityPerSecond;
  for (int Run = 0; Run < FLAGS_seeds; ++Run) {
    const unsigned Seed = FirstSeed + static_cast<unsigned>(Run);
    Leaves All(Shards, Seed);
    warmUp(All, even(), Rate);
    All.run(Rate, Seconds(3));
    All.forgetTimes();
    All.run(Rate, Seconds(4));
    Sum.BeforeMs += All.quantile(0.99) / FLAGS_seeds;
    All.Behaviours[0].Stalled = Stalled;
    All.Behaviours[0].MeanMs *= 5;
    if (Of == Knowledge::Oracle)
      All.Scheduler.leaves().setInService(0, false, All.Now);
    All.run(Rate, Seconds(2));
    All.forgetTimes();
    All.run(Rate, Seconds(4));
    Sum.AfterMs += All.quantile(0.99) / FLAGS_seeds;
  }
  return Sum;
}

boost::json::array comparePolicies() {
  boost::json::array Result;
  for (const Policy &Each : policies())
    for (const double Load : {0.3, 0.5, 0.65}) {
      const Figure Seen = measure(Each.Settings, Load);
      std::printf("%-26s load %.2f: even %5.1f ms, stragglers %6.1f ms, "
                  "ratio %5.2f, extra %.3f\n",
                  Each.Name.c_str(), Load, Seen.EvenMs, Seen.StragglingMs,
                  Seen.ratio(), Seen.ExtraShare);
      Result.push_back({{"policy", Each.Name},
                        {"load", Load},
                        {"even_ms", Seen.EvenMs},
                        {"straggling_ms", Seen.StragglingMs},
                        {"extra", Seen.ExtraShare}});
    }
  return Result;
}

boost::json::array compareBadReplica() {
  boost::json::array Result;
  for (const bool Stalled : {true, false})
    for (const double Load : {0.1, 0.2, 0.25, 0.3, 0.4}) {
      const Replica Seen = measureBad(Stalled, Knowledge::Observed, Load);
      const Replica Floor = measureBad(Stalled, Knowledge::Oracle, Load);
      std::printf("%s replica, load %.2f: before %.1f ms, after 2 s %.1f ms "
                  "(%.2f), oracle %.1f ms (%.2f)\n",
                  Stalled ? "stalled" : "slow", Load, Seen.BeforeMs,
                  Seen.AfterMs, Seen.ratio(), Floor.AfterMs, Floor.ratio());
      Result.push_back({{"stalled", Stalled},
                        {"load", Load},
                        {"before_ms", Seen.BeforeMs},
                        {"after_ms", Seen.AfterMs},
                        {"oracle_ms", Floor.AfterMs}});
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
