/// \file Cost of the entry's decisions, apart from I/O: admission, planning,
/// the run of one query over its groups and the writing of its answer; with
/// the project's naive merge beside it.

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

/// \returns the mean time of one call, in microseconds.
template <class Function> double timeOf(Function Use) {
  const TimePoint Start = Clock::now();
  for (int Round = 0; Round < FLAGS_rounds; ++Round)
    Use(Round);
  const std::chrono::duration<double, std::micro> Passed = Clock::now() - Start;
  return Passed.count() / FLAGS_rounds;
}

std::shared_ptr<const Service> makeService(std::uint32_t Groups) {
  auto Result = std::make_shared<Service>();
  Result->Name = "bench";
  Result->Version = "v1";
  Result->GroupShards = GroupShards;
  Snapshot Only;
  Only.Id = "s1";
  Only.Shards.resize(std::size_t{Groups} * GroupShards, {0});
  Result->Snapshots.push_back(Only);
  Leaf Each;
  Each.Id = "leaf";
  Each.Domain = "fd1";
  Each.Vm = "up1";
  Result->Leaves.push_back(Each);
  return Result;
}

MemberViewPtr makeMembers(std::size_t Brokers) {
  auto Result = std::make_shared<MemberView>();
  for (std::size_t Index = 0; Index < Brokers; ++Index) {
    Member Each;
    Each.Name = "vm" + std::to_string(Index) + "/broker";
    Each.Vm = "vm" + std::to_string(Index);
    Each.Domain = "fd" + std::to_string(Index % 4);
    Each.Kind = Role::Broker;
    Each.Peer = {"127.0.0.1", 9000};
    Result->Members.push_back(std::move(Each));
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
    Row Each;
    Each.Score = 1.0 / static_cast<double>(1 + Index);
    Each.Key =
        "key-" + std::to_string(Call.Group) + "-" + std::to_string(Index);
    Each.Body = "{\"key\":\"" + Each.Key + "\",\"score\":0.5}";
    Reply.Rows.push_back(std::move(Each));
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
  std::vector<Row> All;
  for (std::vector<Row> &List : Lists)
    All.insert(All.end(), List.begin(), List.end());
  std::sort(All.begin(), All.end(), ranksBefore);
  All.resize(std::min(All.size(), Limit));
  return All;
}

/// One query from its plan to the written answer, replies decoded as from the
/// wire.
void runQuery(RequestIdSource &Ids, const QueryPlan &Plan) {
  QuerySpec Spec;
  Spec.Service = "bench";
  Spec.Route = "lookup";
  Spec.Body = "{\"q\":\"x\"}";
  Spec.Deadline = Clock::now() + Seconds(10);
  QueryRun Run(Spec, Plan, Ids, {});
  QueryActions Out;
  const TimePoint Now = Clock::now();
  Run.start(Now, Out);
  for (const QueryAction &Each : QueryActions(Out)) {
    const auto Call = Run.claimCall(std::get<SendCall>(Each), 1, Now);
    const Bytes Sent = encode(*Call);
    const Bytes Got = encode(makeReply(*Call));
    Run.onReply(1, decode<BrokerReply>(Got), Now, Out);
  }
  const std::string Body = jsonBody(std::get<Finish>(Out.back()).Result);
  if (Body.empty())
    std::abort();
}

void measureAdmission(std::vector<Measurement> &Results) {
  for (const std::size_t Customers : {10, 1000, 100000}) {
    Admission Gate("self");
    std::vector<Contract> Terms(Customers);
    for (std::size_t Index = 0; Index < Customers; ++Index)
      Terms[Index].Customer = "customer-" + std::to_string(Index);
    TimePoint Now = Clock::now();
    const double Time = timeOf([&](int Round) {
      Now += Milliseconds(1);
      const auto Index = static_cast<std::size_t>(Round) * 7919 % Customers;
      Gate.admit(Terms[Index], "bench", Now);
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
        timeOf([&](int) { chooseEntries("customer", Live, 4); });
    Results.push_back({"entries of a customer, by entries", Entries, Time});
  }
}

void measurePlan(std::vector<Measurement> &Results) {
  const auto Target = makeService(24);
  const auto Config = std::make_shared<ConfigView>();
  Config->Services[Target->Name] = Target;
  for (const std::size_t Brokers : {8, 100, 6000}) {
    const Ownership Owners(makeMembers(Brokers), Config);
    const double Time = timeOf([&](int) {
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
                       timeOf([&](int) { runQuery(Ids, Plan); })});
    const auto Lists = makeLists(Groups);
    Results.push_back({"merge, by groups", Groups,
                       timeOf([&](int) { mergeRows(Lists, 10); })});
    Results.push_back({"naive merge, by groups", Groups,
                       timeOf([&](int) { naiveMerge(Lists, 10); })});
  }
}

void writeJson(const std::vector<Measurement> &Results) {
  boost::json::array All;
  for (const Measurement &Each : Results)
    All.push_back({{"name", Each.Name},
                   {"size", Each.Size},
                   {"microseconds", Each.Microseconds}});
  std::ofstream(FLAGS_json) << boost::json::serialize(All) << '\n';
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::vector<Measurement> Results;
  measureAdmission(Results);
  measureDiscovery(Results);
  measurePlan(Results);
  measureQuery(Results);
  for (const Measurement &Each : Results)
    std::printf("%-36s %8zu %10.2f us\n", Each.Name.c_str(), Each.Size,
                Each.Microseconds);
  if (!FLAGS_json.empty())
    writeJson(Results);
  return 0;
}
