// Measures the collection of configuration revisions over the number of
// members: messages and bytes of each role, CPU time and memory, and the time
// until a change is confirmed everywhere. The tree of collectors is compared
// with the flat scheme, which has one collector per failure domain.
#include "bench/ResidentMemory.h"
#include "citronlever/src/Wire/Frame.h"
#include "test/Config/TreeFleet.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <limits>
#include <sstream>

DEFINE_string(json, "", "file for the results");
DEFINE_string(sizes, "16,160,1600,6000", "numbers of members");
DEFINE_int32(domains, 9, "failure domains");
DEFINE_int32(changes, 5, "configuration changes, one every 2.5 seconds");

using namespace citronlever;

namespace {

/// 35,000 changes a day are one every 2.5 seconds.
constexpr Duration ChangePeriod = Milliseconds(2500);
/// Time within which a change reaches all members.
constexpr Duration MaxSpreadTime = Milliseconds(150);
/// Overhead counted per message: head and tag of the frame. TCP/IP is not
/// counted.
constexpr std::size_t FrameOverheadBytes = FramePrefixBytes;
constexpr Duration CheckPeriod = Milliseconds(20);

/// Messages and bytes that a process sends and receives, per second.
struct Load {
  double Messages = 0;
  double Bytes = 0;
};

Load loadOf(const TreeFleet::Process &Process, double TimeSeconds) {
  const auto Messages = static_cast<double>(Process.Messages);
  return {Messages / TimeSeconds,
          (static_cast<double>(Process.Bytes) + Messages * FrameOverheadBytes) /
              TimeSeconds};
}

/// \returns the highest rates among the processes for which \p HasRole is true.
template <class Predicate>
Load highest(TreeFleet &Fleet, double TimeSeconds, Predicate HasRole) {
  Load Result;
  auto &All = Fleet.processes();
  for (std::size_t Index = 0; Index < All.size(); ++Index) {
    if (!HasRole(Fleet, Index))
      continue;
    const Load ProcessLoad = loadOf(All[Index], TimeSeconds);
    Result.Messages = std::max(Result.Messages, ProcessLoad.Messages);
    Result.Bytes = std::max(Result.Bytes, ProcessLoad.Bytes);
  }
  return Result;
}

bool collectsDomain(TreeFleet &Fleet, std::size_t Index) {
  const DomainRoster &Roster = Fleet.processes()[Index].Tree->roster();
  return Roster.collector()->Name == Fleet.peer(Index).Name;
}

bool collectsGroup(TreeFleet &Fleet, std::size_t Index) {
  const DomainRoster &Roster = Fleet.processes()[Index].Tree->roster();
  if (Roster.groupCount() == 1 || collectsDomain(Fleet, Index))
    return false;
  for (std::size_t Group = 0; Group < Roster.groupCount(); ++Group)
    if (Roster.groupCollector(Group)->Name == Fleet.peer(Index).Name)
      return true;
  return false;
}

bool onlyReports(TreeFleet &Fleet, std::size_t Index) {
  return Index != 0 && !collectsDomain(Fleet, Index) &&
         !collectsGroup(Fleet, Index);
}

/// \returns the milliseconds until the change is known to be in force
/// everywhere, or ChangePeriod if that takes longer.
double timeUntilConfirmed(TreeFleet &Fleet) {
  const TimePoint Start = Fleet.now();
  while (!Fleet.result().Everywhere && Fleet.now() < Start + ChangePeriod)
    Fleet.run(CheckPeriod);
  return static_cast<double>(toMs(Fleet.now() - Start));
}

boost::json::object measure(std::size_t Count, std::size_t GroupMembers) {
  const std::size_t BytesBefore = residentBytes();
  RevisionTreeSettings Settings;
  Settings.MinGroupSize = GroupMembers;
  TreeFaults Network;
  Network.MaxDelay = Milliseconds(100);
  TreeFleet Fleet(Count, static_cast<std::size_t>(FLAGS_domains), Settings,
                  Network, 1);
  const double Memory = static_cast<double>(residentBytes() - BytesBefore) /
                        static_cast<double>(Count);
  std::mt19937 Random(1);
  std::uniform_int_distribution<std::int64_t> Spread(0, MaxSpreadTime.count());
  for (std::size_t Index = 0; Index < Count; ++Index)
    Fleet.setRevision(Index, 1);
  Fleet.run(Seconds(6));
  for (auto &Process : Fleet.processes())
    Process.Messages = Process.Bytes = 0;
  double MaxConfirmMs = 0;
  const TimePoint Begin = Fleet.now();
  const auto WallBegin = Clock::now();
  for (std::uint64_t Revision = 2;
       Revision < 2 + static_cast<std::uint64_t>(FLAGS_changes); ++Revision) {
    const TimePoint Next = Fleet.now() + ChangePeriod;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Fleet.at(Duration(Spread(Random)), [&Fleet, Index, Revision] {
        Fleet.setRevision(Index, Revision);
      });
    Fleet.ask(0, Revision);
    MaxConfirmMs = std::max(MaxConfirmMs, timeUntilConfirmed(Fleet));
    Fleet.stopAsking();
    Fleet.run(Next - Fleet.now());
  }
  const double ElapsedMicros =
      std::chrono::duration<double, std::micro>(Clock::now() - WallBegin)
          .count();
  const double Time =
      std::chrono::duration<double>(Fleet.now() - Begin).count();
  const Load Asker = loadOf(Fleet.processes()[0], Time);
  const Load Domain = highest(Fleet, Time, collectsDomain);
  const Load Group = highest(Fleet, Time, collectsGroup);
  const Load Member = highest(Fleet, Time, onlyReports);
  const double MicrosPerMember =
      ElapsedMicros / Time / static_cast<double>(Count);
  std::printf("%6zu %6s | %7.1f %8.0f | %7.1f %8.0f | %7.1f %8.0f | %7.1f "
              "%8.0f | %7.1f | %6.0f | %6.1f\n",
              Count, GroupMembers > Count ? "flat" : "tree", Domain.Messages,
              Domain.Bytes, Group.Messages, Group.Bytes, Member.Messages,
              Member.Bytes, Asker.Messages, Asker.Bytes, MicrosPerMember,
              MaxConfirmMs, Memory / 1024);
  return {{"members", Count},
          {"way", GroupMembers > Count ? "flat" : "tree"},
          {"domain_collector_messages_per_second", Domain.Messages},
          {"domain_collector_bytes_per_second", Domain.Bytes},
          {"group_collector_messages_per_second", Group.Messages},
          {"group_collector_bytes_per_second", Group.Bytes},
          {"member_bytes_per_second", Member.Bytes},
          {"asker_bytes_per_second", Asker.Bytes},
          {"us_per_second_a_member", MicrosPerMember},
          {"told_ms", MaxConfirmMs},
          {"bytes_a_member", Memory}};
}

/// Measures the single operations in a failure domain of \p Count members.
boost::json::object measureDecisions(std::size_t Count) {
  constexpr int Rounds = 50;
  std::vector<ConfigPeer> Peers;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Peers.push_back({"vm" + std::to_string(Index) + "/entry",
                     "vm" + std::to_string(Index),
                     "fd",
                     {"10.0.0.1", 1},
                     Index});
  RevisionTreeSettings Settings;
  Settings.Self = Peers.back();
  RevisionTree Tree(Settings);
  const TimePoint Now{Seconds(1)};
  const auto MeanMicroseconds = [&](auto &&Work) {
    const TimePoint Start = Clock::now();
    for (int Round = 0; Round < Rounds; ++Round)
      Work(Round);
    return std::chrono::duration<double, std::micro>(Clock::now() - Start)
               .count() /
           Rounds;
  };
  const double View = MeanMicroseconds([&](int Round) {
    (void)Tree.setPeers(
        std::span(Peers).first(Count - 2 + static_cast<std::size_t>(Round) % 2),
        Now);
  });
  ConfigMessages Out;
  const double Answer =
      MeanMicroseconds([&](int) { (void)Tree.answerQuery(1, Now, Out); });
  DomainCollector Collector;
  for (std::size_t Group = 0; Group < Tree.roster().groupCount(); ++Group) {
    RevisionSummary Summary;
    const ConfigPeer &From = *Tree.roster().groupCollector(Group);
    Summary.From = From.Name;
    Summary.Incarnation = From.Incarnation;
    Summary.Group = static_cast<std::uint32_t>(Group);
    Summary.Groups = static_cast<std::uint32_t>(Tree.roster().groupCount());
    for (const std::uint32_t Member : Tree.roster().group(Group))
      Summary.Counted.add(Tree.roster().identity(Member));
    Summary.Highest = 1;
    Collector.record(Summary);
  }
  const double CompleteAnswer = MeanMicroseconds(
      [&](int) { (void)Collector.evaluate(Tree.roster(), 1); });
  std::printf(
      "domain of %5zu: view %8.1f us  answer, all lack it %7.1f us, all "
      "have it %7.1f us\n",
      Count, View, Answer, CompleteAnswer);
  return {{"domain_members", Count},
          {"view_us", View},
          {"answer_lacking_us", Answer},
          {"answer_whole_us", CompleteAnswer}};
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  google::InitGoogleLogging(Argv[0]);
  boost::json::array Results;
  std::printf(
      "       members | domain's: msg/s B/s | group's: msg/s B/s | "
      "member: msg/s B/s | asker: msg/s B/s | us/s each | told ms | KB each\n");
  std::istringstream Sizes(FLAGS_sizes);
  for (std::string Size; std::getline(Sizes, Size, ',');) {
    const std::size_t Count = std::stoul(Size);
    Results.push_back(measure(Count, std::numeric_limits<int>::max()));
    Results.push_back(measure(Count, RevisionTreeSettings().MinGroupSize));
  }
  for (const std::size_t Count : {16, 160, 667, 1333, 6000})
    Results.push_back(measureDecisions(Count));
  if (!FLAGS_json.empty())
    std::ofstream(FLAGS_json) << boost::json::serialize(Results) << '\n';
  return 0;
}
