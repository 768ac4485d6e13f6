/// \file Measures the cost of the entry's decisions without I/O: admission,
/// discovery, planning, the run of one query over its groups with the writing
/// of its answer, and the merge next to a naive merge.

#include "citronlever/Entry"
#include "citronlever/src/Membership/Ownership.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>

DEFINE_string(json, "", "file for the results");
DEFINE_int32(rounds, 2000, "repetitions of each measurement");

namespace {

using namespace citronlever;

constexpr std::uint32_t GroupShards = 15;
constexpr std::size_t RowsPerGroup = 10;

struct Measurement {
  std::string Name;
  std::size_t Size = 0;
  double Microseconds = 0;
};

/// \returns the mean duration of one call of \p Work in microseconds.
template <class Function> double meanMicroseconds(Function Work) {
  const TimePoint Start = Clock::now();
  for (int Round = 0; Round < FLAGS_rounds; ++Round)
    Work(Round);
  const std::chrono::duration<double, std::micro> Passed = Clock::now() - Start;
  return Passed.count() / FLAGS_rounds;
}

std::shared_ptr<const Service> makeService(std::uint32_t Groups) {
  auto Result = std::make_shared<Service>();
  Result->Name = "bench";
  Result->Version = "v1";
  Result->GroupShards = GroupShards;
  Snapshot ShardMap;
  ShardMap.Id = "s1";
  ShardMap.Shards.resize(std::size_t{Groups} * GroupShards, {0});
  Result->Snapshots.push_back(ShardMap);
  Leaf OnlyLeaf;
  OnlyLeaf.Id = "leaf";
  OnlyLeaf.Domain = "fd1";
  OnlyLeaf.Vm = "up1";
  Result->Leaves.push_back(OnlyLeaf);
  return Result;
}

MemberViewPtr makeMembers(std::size_t Brokers) {
  auto Result = std::make_shared<MemberView>();
  for (std::size_t Index = 0; Index < Brokers; ++Index) {
    Member Broker;
    Broker.Name = "vm" + std::to_string(Index) + "/broker";
    Broker.Vm = "vm" + std::to_string(Index);
    Broker.Domain = "fd" + std::to_string(Index % 4);
    Broker.Kind = Role::Broker;
    Broker.Peer = {"127.0.0.1", 9000};
    Result->Members.push_back(std::move(Broker));
  }
  return Result;
}

BrokerReply makeReply(const BrokerCall &Call) {
  BrokerReply Reply;
  Reply.Id = Call.Id;
  Reply.Group = Call.Group;
  Reply.Snapshot = Call.Snapshot;
  Reply.Outcome = Verdict::Ran;
  Reply.Answered = Call.Shards;
  for (std::size_t Index = 0; Index < RowsPerGroup; ++Index) {
    Row NewRow;
    NewRow.Score = 1.0 / static_cast<double>(1 + Index);
    NewRow.Key =
        "key-" + std::to_string(Call.Group) + "-" + std::to_string(Index);
    NewRow.Body = "{\"key\":\"" + NewRow.Key + "\",\"score\":0.5}";
    Reply.Rows.push_back(std::move(NewRow));
  }
  return Reply;
}

std::vector<std::vector<Row>> makeLists(std::uint32_t Groups) {
  std::vector<std::vector<Row>> Result;
  BrokerCall Call;
  for (Call.Group = 0; Call.Group < Groups; ++Call.Group)
    Result.push_back(makeReply(Call).Rows);
  return Result;
}

std::vector<Row> naiveMerge(std::vector<std::vector<Row>> Lists,
                            std::size_t Limit) {
  std::vector<Row> Rows;
  for (std::vector<Row> &List : Lists)
    Rows.insert(Rows.end(), List.begin(), List.end());
  std::sort(Rows.begin(), Rows.end(), ranksBefore);
  Rows.resize(std::min(Rows.size(), Limit));
  return Rows;
}

/// Runs one query from its plan to the written answer; calls and replies are
/// encoded and decoded as on the wire.
void runQuery(RequestIdSource &Ids, const QueryPlan &Plan) {
  QuerySpec Spec;
  Spec.Service = "bench";
  Spec.Route = "lookup";
  Spec.Body = "{\"q\":\"x\"}";
  Spec.Deadline = Clock::now() + Seconds(10);
  QueryRun Run(Spec, Plan, Ids, {});
  QueryActions Actions;
  const TimePoint Now = Clock::now();
  Run.start(Now, Actions);
  for (const QueryAction &Action : QueryActions(Actions)) {
    const auto Call = Run.claimCall(std::get<SendCall>(Action), 1, Now);
    const Bytes Sent = encode(*Call);
    const Bytes Received = encode(makeReply(*Call));
    Run.onReply(1, decode<BrokerReply>(Received), Now, Actions);
  }
  const std::string Body = jsonBody(std::get<Finish>(Actions.back()).Result);
  if (Body.empty())
    std::abort();
}

void measureAdmission(std::vector<Measurement> &Results) {
  for (const std::size_t Customers : {10, 1000, 100000}) {
    Admission Admitter("self");
    std::vector<Contract> Contracts(Customers);
    for (std::size_t Index = 0; Index < Customers; ++Index)
      Contracts[Index].Customer = "customer-" + std::to_string(Index);
    TimePoint Now = Clock::now();
    const double Time = meanMicroseconds([&](int Round) {
      Now += Milliseconds(1);
      const auto Index = static_cast<std::size_t>(Round) * 7919 % Customers;
      Admitter.admit(Contracts[Index], "bench", Now);
    });
    Results.push_back({"admission, by customers", Customers, Time});
  }
}

void measureDiscovery(std::vector<Measurement> &Results) {
  for (const std::size_t Entries : {8, 100, 6000}) {
    std::vector<std::string> Live;
    for (std::size_t Index = 0; Index < Entries; ++Index)
      Live.push_back("vm" + std::to_string(Index) + "/entry");
    const double Time =
        meanMicroseconds([&](int) { chooseEntries("customer", Live, 4); });
    Results.push_back({"entries of a customer, by entries", Entries, Time});
  }
}

void measurePlan(std::vector<Measurement> &Results) {
  const auto Target = makeService(24);
  const auto Config = std::make_shared<ConfigView>();
  Config->Services[Target->Name] = Target;
  for (const std::size_t Brokers : {8, 100, 6000}) {
    const Ownership Owners(makeMembers(Brokers), Config);
    const double Time = meanMicroseconds([&](int) {
      planAllShards(Target, Target->Snapshots.front(), "v1", Owners);
    });
    Results.push_back({"plan of 24 groups, by brokers", Brokers, Time});
  }
}

void measureQuery(std::vector<Measurement> &Results) {
  const auto Config = std::make_shared<ConfigView>();
  const Ownership Owners(makeMembers(8), Config);
  RequestIdSource Ids(1);
  for (const std::uint32_t Groups : {1U, 5U, 24U}) {
    const auto Target = makeService(Groups);
    const QueryPlan Plan =
        planAllShards(Target, Target->Snapshots.front(), "v1", Owners);
    Results.push_back({"query without I/O, by groups", Groups,
                       meanMicroseconds([&](int) { runQuery(Ids, Plan); })});
    const auto Lists = makeLists(Groups);
    Results.push_back({"merge, by groups", Groups,
                       meanMicroseconds([&](int) { mergeRows(Lists, 10); })});
    Results.push_back({"naive merge, by groups", Groups,
                       meanMicroseconds([&](int) { naiveMerge(Lists, 10); })});
  }
}

void writeJson(const std::vector<Measurement> &Results) {
  boost::json::array List;
  for (const Measurement &Line : Results)
    List.push_back({{"name", Line.Name},
                    {"size", Line.Size},
                    {"microseconds", Line.Microseconds}});
  std::ofstream(FLAGS_json) << boost::json::serialize(List) << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::vector<Measurement> Results;
  measureAdmission(Results);
  measureDiscovery(Results);
  measurePlan(Results);
  measureQuery(Results);
  for (const Measurement &Line : Results)
    std::printf("%-36s %8zu %10.2f us\n", Line.Name.c_str(), Line.Size,
                Line.Microseconds);
  if (!FLAGS_json.empty())
    writeJson(Results);
  return 0;
}
