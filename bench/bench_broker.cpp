// Measures the decisions of the broker next to naive implementations in the
// same run: routing a call to a replica among 90,000 leaves, the hedging
// decision and the merge of 360 replies. Prints a table; --json FILE writes the
// figures.
#include "citronlever/Broker"
#include "citronlever/Upstream"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>

DEFINE_string(json, "", "file to write the figures to");
DEFINE_int32(rounds, 200, "repetitions of each measurement");

namespace {

using namespace citronlever;

constexpr unsigned Seed = 20261204;
constexpr std::size_t LeafCount = 90000;
constexpr std::size_t QueryShards = 360;
constexpr std::size_t RowsPerShard = 10;

/// One line of the table.
struct Measurement {
  std::string Name;
  std::size_t Size = 0;
  double Microseconds = 0;
  double NaiveMicroseconds = 0;
};

/// \returns the mean duration of \p Work in microseconds, after one warm-up
/// call.
double meanMicroseconds(int Rounds, const std::function<void()> &Work) {
  Work();
  const TimePoint Begin = Clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Work();
  const std::chrono::duration<double, std::micro> Taken = Clock::now() - Begin;
  return Taken.count() / Rounds;
}

std::vector<std::vector<Row>> randomRowLists(std::size_t Count) {
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Score(0, 1);
  std::vector<std::vector<Row>> Result(Count);
  for (std::vector<Row> &Rows : Result) {
    for (std::size_t Index = 0; Index < RowsPerShard; ++Index)
      Rows.push_back({std::to_string(Random()), Score(Random), "{\"a\":1}"});
    std::ranges::sort(Rows, ranksBefore);
  }
  return Result;
}

Measurement measureMerge(std::size_t Shards) {
  const std::vector<std::vector<Row>> Lists = randomRowLists(Shards);
  Measurement Result{"merge replies", Shards};
  const int Rounds = FLAGS_rounds;
  // Both copy their input, so that they differ only in the merge.
  Result.Microseconds = meanMicroseconds(Rounds, [&Lists] {
    if (mergeRows(Lists, RowsPerShard).empty())
      std::abort();
  });
  Result.NaiveMicroseconds = meanMicroseconds(Rounds, [&Lists] {
    std::vector<Row> All;
    for (const std::vector<Row> &Rows : Lists)
      All.insert(All.end(), Rows.begin(), Rows.end());
    std::ranges::stable_sort(All, ranksBefore);
    All.resize(RowsPerShard);
  });
  return Result;
}

/// A scheduler over a number of leaves; two neighbours are replicas of a shard.
struct SchedulerFixture {
  explicit SchedulerFixture(std::size_t Count)
      : Scheduler(SchedulerSettings{}) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Leaf Info;
      Info.Id = std::to_string(Index);
      this->Scheduler.leaves().add(Info, LeafLimits{}, this->Now);
      this->Leaves.push_back(std::move(Info));
    }
  }

  /// Runs one job to its end: submits it, answers its requests and lets the
  /// scheduler discard it. \param Hedged whether the first request is slow
  /// enough for a hedge.
  void runJob(LeafIndex First, bool Hedged) {
    ShardJob Job;
    Job.Id = ++this->LastJob;
    Job.Replicas = {First, First + 1};
    Job.Deadline = this->Now + Milliseconds(150);
    this->Scheduler.submit(std::move(Job), this->Now, this->Actions);
    this->Now += Milliseconds(Hedged ? 25 : 1);
    if (Hedged)
      this->Scheduler.tick(this->Now, this->Actions);
    LeafReply Reply;
    Reply.Outcome = LeafOutcome::Ok;
    Reply.RunVerdict = Verdict::Ran;
    const std::vector<SendAction> Sent = this->Actions.Sends;
    for (const SendAction &Send : Sent)
      this->Scheduler.onReply(Send.Attempt, Reply, this->Now, this->Actions);
    this->Now += Seconds(1);
    this->Scheduler.tick(this->Now, this->Actions);
    this->Actions.clear();
  }

  LeafScheduler<HedgeDelayFromSend> Scheduler;
  std::vector<Leaf> Leaves;
  TimePoint Now{Seconds(1)};
  ActionList Actions;
  JobId LastJob = 0;
};

Measurement measureRouting(std::size_t Leaves) {
  SchedulerFixture Fixture(Leaves);
  std::mt19937 Random(Seed);
  Measurement Result{"route one call", Leaves};
  const int Rounds = FLAGS_rounds;
  Result.Microseconds = meanMicroseconds(Rounds * 10, [&] {
    const auto First = static_cast<LeafIndex>(Random() % (Leaves - 1)) & ~1U;
    Fixture.runJob(First, false);
  });
  // Naive: a linear search over all leaves for the replica.
  Result.NaiveMicroseconds = meanMicroseconds(Rounds, [&] {
    const std::string WantedId = std::to_string(Random() % Leaves);
    double Best = 0;
    std::size_t Found = 0;
    for (std::size_t Index = 0; Index < Leaves; ++Index) {
      if (Fixture.Leaves[Index].Id != WantedId)
        continue;
      Best = Fixture.Scheduler.leaf(static_cast<LeafIndex>(Index))
                 .costMs(Fixture.Now);
      ++Found;
    }
    if (Found != 1 || Best <= 0)
      std::abort();
  });
  return Result;
}

/// \param Open number of pending jobs.
Measurement measureHedging(std::size_t Open) {
  SchedulerFixture Fixture(2 * Open);
  Measurement Result{"hedge decision", Open};
  std::vector<TimePoint> Due(Open);
  const int Rounds = FLAGS_rounds;
  LeafIndex Next = 0;
  Result.Microseconds = meanMicroseconds(Rounds * 10, [&] {
    Next = (Next + 2) % static_cast<LeafIndex>(2 * Open);
    Fixture.runJob(Next, true);
  });
  // Naive: a linear search over all pending jobs for those that are due.
  Result.NaiveMicroseconds = meanMicroseconds(Rounds, [&] {
    std::size_t Found = 0;
    for (const TimePoint DueTime : Due)
      Found += DueTime > Fixture.Now ? 1 : 0;
    if (Found > Open)
      std::abort();
  });
  return Result;
}

void writeJson(const std::vector<Measurement> &Measurements) {
  boost::json::array List;
  for (const Measurement &Line : Measurements)
    List.push_back(boost::json::object{{"name", Line.Name},
                                       {"size", Line.Size},
                                       {"us", Line.Microseconds},
                                       {"naive_us", Line.NaiveMicroseconds}});
  std::ofstream(FLAGS_json) << boost::json::serialize(List) << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::vector<Measurement> Measurements;
  for (const std::size_t Shards :
       {QueryShards / 16, QueryShards / 4, QueryShards})
    Measurements.push_back(measureMerge(Shards));
  for (const std::size_t Leaves : {LeafCount / 100, LeafCount / 10, LeafCount})
    Measurements.push_back(measureRouting(Leaves));
  for (const std::size_t Open : {std::size_t{100}, std::size_t{10000}})
    Measurements.push_back(measureHedging(Open));
  std::printf("%-16s %8s %12s %12s\n", "decision", "size", "us", "naive us");
  for (const Measurement &Line : Measurements)
    std::printf("%-16s %8zu %12.3f %12.3f\n", Line.Name.c_str(), Line.Size,
                Line.Microseconds, Line.NaiveMicroseconds);
  if (!FLAGS_json.empty())
    writeJson(Measurements);
  return 0;
}
