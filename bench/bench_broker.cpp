// Decisions of the broker against naive versions in the same run: finding a
// group's owner and a replica over 90,000 leaves, the hedging decision, and
// the merge of 360 replies. Prints a table; --json FILE writes the figures.
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
constexpr std::size_t RowsOfShard = 10;

/// One line of the table.
struct Figure {
  std::string Name;
  std::size_t Size = 0;
  double Microseconds = 0;
  double NaiveMicroseconds = 0;
};

/// \returns the mean time of \p Work in microseconds.
double timeOf(int Rounds, const std::function<void()> &Work) {
  Work();
  const TimePoint Begin = Clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Work();
  const std::chrono::duration<double, std::micro> Taken = Clock::now() - Begin;
  return Taken.count() / Rounds;
}

std::vector<std::vector<Row>> someLists(std::size_t Count) {
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<double> Score(0, 1);
  std::vector<std::vector<Row>> Result(Count);
  for (std::vector<Row> &Each : Result) {
    for (std::size_t Index = 0; Index < RowsOfShard; ++Index)
      Each.push_back({std::to_string(Random()), Score(Random), "{\"a\":1}"});
    std::ranges::sort(Each, ranksBefore);
  }
  return Result;
}

Figure measureMerge(std::size_t Shards) {
  const std::vector<std::vector<Row>> Lists = someLists(Shards);
  Figure Result{"merge replies", Shards};
  const int Rounds = FLAGS_rounds;
  // Both copy their input, so that the difference is the merge.
  Result.Microseconds = timeOf(Rounds, [&Lists] {
    if (mergeRows(Lists, RowsOfShard).empty())
      std::abort();
  });
  Result.NaiveMicroseconds = timeOf(Rounds, [&Lists] {
    std::vector<Row> All;
    for (const std::vector<Row> &Each : Lists)
      All.insert(All.end(), Each.begin(), Each.end());
    std::ranges::stable_sort(All, ranksBefore);
    All.resize(RowsOfShard);
  });
  return Result;
}

/// A scheduler over \p Count leaves in pairs.
struct Fleet {
  explicit Fleet(std::size_t Count) : Scheduler(SchedulerSettings{}) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Leaf Info;
      Info.Id = std::to_string(Index);
      this->Scheduler.leaves().add(Info, LeafLimits{}, this->Now);
      this->Leaves.push_back(std::move(Info));
    }
  }

  /// A job is sent, answered and forgotten.
  void serve(LeafIndex First, bool Hedged) {
    ShardJob Job;
    Job.Id = ++this->LastJob;
    Job.Replicas = {First, First + 1};
    Job.Deadline = this->Now + Milliseconds(150);
    this->Scheduler.submit(std::move(Job), this->Now, this->Out);
    this->Now += Milliseconds(Hedged ? 25 : 1);
    if (Hedged)
      this->Scheduler.tick(this->Now, this->Out);
    LeafReply Reply;
    Reply.Outcome = LeafOutcome::Ok;
    Reply.RunVerdict = Verdict::Ran;
    const std::vector<SendAction> Sent = this->Out.Sends;
    for (const SendAction &Each : Sent)
      this->Scheduler.onReply(Each.Attempt, Reply, this->Now, this->Out);
    this->Now += Seconds(1);
    this->Scheduler.tick(this->Now, this->Out);
    this->Out.clear();
  }

  LeafScheduler<HedgeDelayFromSend> Scheduler;
  std::vector<Leaf> Leaves;
  TimePoint Now{Seconds(1)};
  ActionList Out;
  JobId LastJob = 0;
};

Figure measureRouting(std::size_t Leaves) {
  Fleet All(Leaves);
  std::mt19937 Random(Seed);
  Figure Result{"route one call", Leaves};
  const int Rounds = FLAGS_rounds;
  Result.Microseconds = timeOf(Rounds * 10, [&] {
    const auto First = static_cast<LeafIndex>(Random() % (Leaves - 1)) & ~1U;
    All.serve(First, false);
  });
  // Naive: look through all leaves for the least loaded replica of a shard.
  Result.NaiveMicroseconds = timeOf(Rounds, [&] {
    const std::string Wanted = std::to_string(Random() % Leaves);
    double Best = 0;
    std::size_t Found = 0;
    for (std::size_t Index = 0; Index < Leaves; ++Index) {
      if (All.Leaves[Index].Id != Wanted)
        continue;
      Best = All.Scheduler.leaf(static_cast<LeafIndex>(Index)).costMs(All.Now);
      ++Found;
    }
    if (Found != 1 || Best <= 0)
      std::abort();
  });
  return Result;
}

/// \param Open jobs under way at once.
Figure measureHedging(std::size_t Open) {
  Fleet All(2 * Open);
  Figure Result{"hedge decision", Open};
  std::vector<TimePoint> Due(Open);
  const int Rounds = FLAGS_rounds;
  LeafIndex Next = 0;
  Result.Microseconds = timeOf(Rounds * 10, [&] {
    Next = (Next + 2) % static_cast<LeafIndex>(2 * Open);
    All.serve(Next, true);
  });
  // Naive: look through all open jobs for the ones that are due.
  Result.NaiveMicroseconds = timeOf(Rounds, [&] {
    std::size_t Found = 0;
    for (const TimePoint Each : Due)
      Found += Each > All.Now ? 1 : 0;
    if (Found > Open)
      std::abort();
  });
  return Result;
}

void writeJson(const std::vector<Figure> &Figures) {
  boost::json::array List;
  for (const Figure &Each : Figures)
    List.push_back(boost::json::object{{"name", Each.Name},
                                       {"size", Each.Size},
                                       {"us", Each.Microseconds},
                                       {"naive_us", Each.NaiveMicroseconds}});
  std::ofstream(FLAGS_json) << boost::json::serialize(List) << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::vector<Figure> Figures;
  for (const std::size_t Shards :
       {QueryShards / 16, QueryShards / 4, QueryShards})
    Figures.push_back(measureMerge(Shards));
  for (const std::size_t Leaves : {LeafCount / 100, LeafCount / 10, LeafCount})
    Figures.push_back(measureRouting(Leaves));
  for (const std::size_t Open : {std::size_t{100}, std::size_t{10000}})
    Figures.push_back(measureHedging(Open));
  std::printf("%-16s %8s %12s %12s\n", "decision", "size", "us", "naive us");
  for (const Figure &Each : Figures)
    std::printf("%-16s %8zu %12.3f %12.3f\n", Each.Name.c_str(), Each.Size,
                Each.Microseconds, Each.NaiveMicroseconds);
  if (!FLAGS_json.empty())
    writeJson(Figures);
  return 0;
}
