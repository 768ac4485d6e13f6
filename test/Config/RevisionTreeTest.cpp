#include "TreeFleet.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

using namespace citronlever;

namespace {

constexpr std::size_t Members = 48;
constexpr std::size_t Domains = 3;
constexpr std::uint64_t OldRevision = 7;
constexpr std::uint64_t NewRevision = 8;
constexpr Duration FaultTime = Seconds(6);
/// Maximum time from the end of all faults until the check's result is correct.
constexpr Duration MaxConvergenceTime = Seconds(3);
constexpr std::size_t QueryingProcess = 0;

RevisionTreeSettings settings() {
  RevisionTreeSettings Result;
  Result.MinGroupSize = 4;
  return Result;
}

TreeFaults randomFaults() { return {0.1, 0.1, Milliseconds(300), Seconds(1)}; }

/// One simulation: a change spreads while members crash, pause, restart and are
/// partitioned.
class Simulation {
public:
  Simulation(std::uint32_t Seed, const RevisionTreeSettings &Settings,
             const TreeFaults &Faults)
      : Random(Seed), Fleet(Members, Domains, Settings, {}, Seed) {
    for (std::size_t Index = 0; Index < Members; ++Index)
      this->Fleet.setRevision(Index, OldRevision);
    this->Fleet.run(Seconds(6));
    this->Fleet.setFaults(Faults);
    this->Fleet.ask(QueryingProcess, NewRevision);
    for (std::size_t Index = 0; Index < Members; ++Index)
      this->Fleet.at(this->upTo(Seconds(1)),
                     [this, Index] { this->adopt(Index); });
    for (int Count = 0; Count < 6; ++Count)
      this->Fleet.at(this->upTo(Seconds(5)), [this] { this->injectFault(); });
    this->watch(FaultTime);
    this->endFaults(Faults);
  }

  /// Number of results that reported "everywhere" while a member lacked the
  /// revision.
  std::size_t FalseReports = 0;
  /// Time from the end of all faults until the result was correct, if it ever
  /// was.
  std::optional<Duration> ConvergenceTime;
  /// Members that left without the revision and are not listed as departed.
  std::set<std::string> UnlistedDeparted;

private:
  Duration upTo(Duration Most) {
    return Duration(std::uniform_int_distribution<std::int64_t>(
        0, Most.count())(this->Random));
  }
  std::size_t other() {
    return std::uniform_int_distribution<std::size_t>(1, Members -
                                                             1)(this->Random);
  }

  void adopt(std::size_t Index) {
    const auto &Process = this->Fleet.processes()[Index];
    if (Process.Paused)
      this->Fleet.at(Milliseconds(100), [this, Index] { this->adopt(Index); });
    else if (Process.Alive && Index != this->Behind)
      this->Fleet.setRevision(Index, NewRevision);
  }

  void injectFault() {
    auto &All = this->Fleet.processes();
    const std::size_t Index = this->other();
    switch (std::uniform_int_distribution<>(0, 3)(this->Random)) {
    case 0:
      this->Fleet.kill(Index);
      break;
    case 1:
      All[Index].Paused = true;
      this->Fleet.at(this->upTo(Seconds(2)),
                     [&All, Index] { All[Index].Paused = false; });
      break;
    case 2:
      this->Fleet.kill(Index);
      this->Fleet.at(this->upTo(Seconds(1)), [this, Index] {
        this->Fleet.restart(Index);
        this->Fleet.at(this->upTo(Seconds(1)),
                       [this, Index] { this->adopt(Index); });
      });
      break;
    default:
      // Partitions a domain; its collectors may be on either side.
      for (std::size_t DomainMember = Index; DomainMember < Members;
           DomainMember += Domains)
        All[DomainMember].PartitionSide =
            DomainMember == QueryingProcess ? 0 : 1;
      this->Fleet.updateViews();
      this->Fleet.at(this->upTo(Seconds(2)), [this] { this->healPartition(); });
    }
  }

  void healPartition() {
    for (auto &Process : this->Fleet.processes())
      Process.PartitionSide = 0;
    this->Fleet.updateViews();
  }

  void watch(Duration Time) {
    for (Duration Passed{}; Passed < Time; Passed += Milliseconds(20)) {
      this->Fleet.run(Milliseconds(20));
      const InForceResult Now = this->Fleet.result();
      this->FalseReports +=
          Now.Everywhere && !this->Fleet.trulyLagging().empty();
    }
  }

  void endFaults(TreeFaults Faults) {
    Faults.Loss = 0;
    Faults.Duplication = 0;
    Faults.MaxDelay = Milliseconds(2);
    this->Fleet.setFaults(Faults);
    this->healPartition();
    this->Fleet.run(Faults.ViewDelay);
    const TimePoint Start = this->Fleet.now();
    while (!this->ConvergenceTime &&
           this->Fleet.now() < Start + MaxConvergenceTime) {
      this->watch(Milliseconds(20));
      const InForceResult Now = this->Fleet.result();
      const std::set<std::string> Truth = this->Fleet.trulyLagging();
      if (std::set(Now.LaggingMembers.begin(), Now.LaggingMembers.end()) ==
              Truth &&
          Now.LaggingCount == Truth.size() && Now.Everywhere == Truth.empty())
        this->ConvergenceTime = this->Fleet.now() - Start;
    }
    this->checkDeparted(this->Fleet.result());
  }

  void checkDeparted(const InForceResult &Result) {
    const std::set<std::string> Gone(Result.DepartedMembers.begin(),
                                     Result.DepartedMembers.end());
    const std::vector<ConfigPeer> Live = this->Fleet.seenBy(QueryingProcess);
    for (const std::string &Name : this->Fleet.departedLagging())
      if (!Gone.contains(Name) &&
          std::ranges::count(Live, Name, &ConfigPeer::Name) == 0)
        this->UnlistedDeparted.insert(Name);
  }

  std::mt19937 Random;
  TreeFleet Fleet;
  /// A member that never gets the revision, in two of three runs.
  std::size_t Behind =
      std::uniform_int_distribution<std::size_t>(0, 2)(this->Random) == 0
          ? Members
          : this->other();
};

} // namespace

DOCTEST_TEST_CASE(
    "the tree converges to the result of an omniscient collector") {
  Duration Longest{};
  DOCTEST_CHECK(rc::check([&Longest] {
    const Simulation Run(*rc::gen::arbitrary<std::uint32_t>(), settings(),
                         randomFaults());
    RC_ASSERT(Run.FalseReports == 0U);
    RC_ASSERT(Run.UnlistedDeparted == std::set<std::string>());
    RC_ASSERT(Run.ConvergenceTime.has_value());
    Longest = std::max(Longest, *Run.ConvergenceTime);
  }));
  DOCTEST_MESSAGE("converged at the latest " << toMs(Longest)
                                             << " ms after the last fault");
}

DOCTEST_TEST_CASE(
    "without comparing member sets it reports everywhere too early") {
  TreeFaults Faults = randomFaults();
  Faults.IgnoreMemberSets = true;
  std::size_t FalseReports = 0;
  for (std::uint32_t Seed = 1; Seed <= 40; ++Seed)
    FalseReports += Simulation(Seed, settings(), Faults).FalseReports > 0;
  DOCTEST_MESSAGE(FalseReports << " of 40 runs");
  DOCTEST_CHECK(FalseReports > 0);
}

DOCTEST_TEST_CASE(
    "without requests for missing reports it converges too late") {
  RevisionTreeSettings Settings = settings();
  Settings.PullDelay = Seconds(1000);
  std::size_t Late = 0;
  for (std::uint32_t Seed = 1; Seed <= 40; ++Seed)
    Late += !Simulation(Seed, Settings, randomFaults()).ConvergenceTime;
  DOCTEST_MESSAGE(Late << " of 40 runs");
  DOCTEST_CHECK(Late > 0);
}

DOCTEST_TEST_CASE("the collector lists the members below a revision") {
  const TimePoint Now;
  DomainRoster Roster;
  const auto Update = [&](const std::vector<std::string> &Names) {
    std::vector<ConfigPeer> Peers;
    Peers.reserve(Names.size());
    for (const std::string &Name : Names)
      Peers.push_back({Name, Name, "fd1", {}});
    Roster.update(Peers, Now);
  };
  RevisionCollector Reports;
  const auto Report = [&](const std::string &Name, std::uint64_t Revision) {
    Reports.record(hashOf(Name, 0), Revision, Now);
  };
  const auto Answer = [&] {
    DomainCollector Collector;
    RevisionSummary Summary = Reports.summary(Roster, 0);
    Summary.From = Roster.collector()->Name;
    Collector.record(Summary);
    return Collector.evaluate(Roster, 7).Answer;
  };
  Update({"a", "b", "c"});
  Report("a", 7);
  Report("b", 6);
  const RevisionReport Got = Answer();
  DOCTEST_CHECK(Got.LowestRevision == 0);
  DOCTEST_CHECK(Got.LaggingMembers == std::vector<std::string>{"b", "c"});
  Update({"a", "b"});
  Report("b", 7);
  // A late report with a lower revision has no effect.
  Report("b", 6);
  DOCTEST_CHECK(Answer().LaggingCount == 0);
}
