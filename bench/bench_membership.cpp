// Measures the cost of the membership protocol over the size of the fleet, with
// a simulated clock and an in-memory transport.
#include "bench/ResidentMemory.h"
#include "bench/StandInFleet.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Membership/Ownership.h"
#include "citronlever/src/Wire/Datagram.h"
#include "test/Membership/support/Fleet.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>

DEFINE_string(sizes, "16,64,256,1000,3000", "members in the fleet, ascending");
DEFINE_int32(seconds, 30, "simulated seconds of each phase");
DEFINE_uint64(most_real, 3000,
              "members that run the protocol; in a larger fleet the others are "
              "stand-ins without a table, and figures cover the real members");
DEFINE_int32(domains, 9, "failure domains");
DEFINE_uint64(seed, 20261204, "seed of all random choices");
DEFINE_string(json, "", "file for the results");

using namespace citronlever;
using test::SwimNetwork;

namespace {

/// Restarts per member and second: 25,000 VM restarts a day in a fleet of
/// 6,000.
constexpr double RestartsPerMemberSecond = 25000.0 / 6000.0 / 86400.0;
constexpr double BytesPerMiB = 1024.0 * 1024.0;

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Load of one phase, per member and second.
struct Load {
  double CpuMicros = 0;
  double BytesOut = 0;
  double WorstBytesOut = 0;
  double Datagrams = 0;
};

boost::json::value toJson(const Load &Value) {
  return {{"cpu_us", Value.CpuMicros},
          {"bytes_out", Value.BytesOut},
          {"worst_bytes_out", Value.WorstBytesOut},
          {"datagrams", Value.Datagrams}};
}

/// Runs \p Body and measures the load of the real members while it runs.
template <class Function> Load measure(SwimNetwork &Net, Function Body) {
  const TimePoint Begin = Net.Now;
  const Duration CpuBefore = Net.ProtocolTime;
  const std::uint64_t Datagrams = Net.Datagrams;
  std::vector<std::pair<std::size_t, std::uint64_t>> Before;
  for (std::size_t Index = 0; Index < Net.Processes.size(); ++Index)
    if (Net.Processes[Index].Protocol)
      Before.emplace_back(Index, Net.Processes[Index].BytesOut);
  Body();
  const double Elapsed = seconds(Net.Now - Begin);
  const double MemberSeconds = Elapsed * static_cast<double>(Before.size());
  Load Result;
  Result.CpuMicros =
      seconds(Net.ProtocolTime - CpuBefore) * 1e6 / MemberSeconds;
  Result.Datagrams =
      static_cast<double>(Net.Datagrams - Datagrams) / MemberSeconds;
  for (const auto &[Index, Earlier] : Before) {
    const auto Bytes =
        static_cast<double>(Net.Processes[Index].BytesOut - Earlier);
    Result.BytesOut += Bytes / MemberSeconds;
    Result.WorstBytesOut = std::max(Result.WorstBytesOut, Bytes / Elapsed);
  }
  return Result;
}

/// Starts \p Count members that know each other. The first \p Real of them run
/// the protocol, the others are stand-ins.
void startKnown(SwimNetwork &Net, std::size_t Count, std::size_t Real) {
  const auto Domains = static_cast<std::size_t>(FLAGS_domains);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Net.add(Index / 2, Index % 2 == 0 ? Role::Entry : Role::Broker, Domains);
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Index < Real)
      Net.start(Index, {Net.Processes[0].Self.Peer});
    else
      Net.startStandIn(Index);
  std::vector<Member> All;
  for (auto &Process : Net.Processes) {
    Process.Self.Generation = 1;
    All.push_back(Process.Self);
  }
  for (auto &Process : Net.Processes)
    if (Process.Protocol)
      Process.Protocol->load(All, Net.Now);
}

/// Restarts members at the target rate. In a fleet with stand-ins only these
/// are restarted, since they have no state that a new member could fetch.
void churn(SwimNetwork &Net, bench::StandInFleet &StandIns) {
  double DueRestarts = 0;
  for (int Second = 0; Second < FLAGS_seconds; ++Second) {
    DueRestarts +=
        RestartsPerMemberSecond * static_cast<double>(Net.Processes.size());
    for (; DueRestarts >= 1; DueRestarts -= 1) {
      const bool HasStandIns = Net.Processes.back().StandIn;
      const std::size_t First = HasStandIns ? FLAGS_most_real : 0;
      const std::size_t Index =
          First + Net.Random() % (Net.Processes.size() - First);
      if (HasStandIns) {
        StandIns.restart(Index);
        continue;
      }
      if (Net.Processes[Index].Protocol)
        Net.protocol(Index).leave(Net.Now);
      Net.run(Milliseconds(10));
      const std::size_t Seed = Net.Random() % Net.Processes.size();
      Net.start(Index, {Net.Processes[Seed].Self.Peer});
    }
    Net.run(Seconds(1));
  }
}

/// \returns the share of running members that see \p Observed in \p State or
/// later.
double shareSeeing(const SwimNetwork &Net, std::size_t Observed,
                   MemberState State) {
  std::size_t Seeing = 0;
  std::size_t Running = 0;
  for (std::size_t Observer = 0; Observer < Net.Processes.size(); ++Observer) {
    if (Observer == Observed || !Net.Processes[Observer].Protocol)
      continue;
    ++Running;
    Seeing += Net.stateSeenBy(Observer, Observed) >= State;
  }
  return static_cast<double>(Seeing) / static_cast<double>(Running);
}

/// Times in seconds until the first member, and until all, know of a change.
struct Spread {
  double First = 0;
  double All = 0;
};

boost::json::value toJson(const Spread &Value) {
  return {{"first_s", Value.First}, {"all_s", Value.All}};
}

Spread measureSpread(SwimNetwork &Net, std::size_t Observed,
                     MemberState State) {
  const auto Reached = [&](double Share) {
    return [&Net, Observed, State, Share] {
      const double Seen = shareSeeing(Net, Observed, State);
      return Share > 0 ? Seen >= Share : Seen > 0;
    };
  };
  Spread Result;
  Result.First = seconds(Net.runUntil(Reached(0), Seconds(60)));
  Result.All = Result.First + seconds(Net.runUntil(Reached(1), Seconds(60)));
  return Result;
}

/// Kills the first failure domain. \returns the seconds until two members of
/// the next one see 99 in 100 of the killed members as dead.
double loseDomain(SwimNetwork &Net) {
  const auto Domains = static_cast<std::size_t>(FLAGS_domains);
  std::vector<std::size_t> Lost;
  for (std::size_t Index = 0; Index < Net.Processes.size(); ++Index)
    if (Index / 2 % Domains == 0)
      Lost.push_back(Index);
  for (const std::size_t Index : Lost)
    Net.kill(Index);
  const auto IsLossKnown = [&] {
    for (const std::size_t Observer : {std::size_t{2}, std::size_t{3}})
      if (std::count_if(Lost.begin(), Lost.end(),
                        [&](std::size_t Killed) {
                          return Net.stateSeenBy(Observer, Killed) ==
                                 MemberState::Dead;
                        }) *
              100 <
          static_cast<std::ptrdiff_t>(Lost.size()) * 99)
        return false;
    return true;
  };
  return seconds(Net.runUntil(IsLossKnown, Seconds(300), Milliseconds(500)));
}

/// Adds a member that knows one address. \returns the seconds until it knows
/// all members.
double measureJoin(SwimNetwork &Net) {
  const std::size_t Joiner = Net.add(Net.Processes.size() / 2, Role::Entry,
                                     static_cast<std::size_t>(FLAGS_domains));
  Net.start(Joiner, {Net.Processes[1].Self.Peer});
  const auto KnowsAll = [&] {
    return Net.protocol(Joiner).table().live().size() + 1 >=
           Net.Processes.size();
  };
  return seconds(Net.runUntil(KnowsAll, Seconds(120)));
}

/// Measures the ownership of all groups at the target size, and the codec for
/// one datagram.
boost::json::object benchmarkOwnershipAndCodec() {
  constexpr std::size_t Brokers = 6000;
  constexpr std::size_t Groups = 6000;
  constexpr int Datagrams = 20000;
  const auto Domains = static_cast<std::size_t>(FLAGS_domains);
  const auto ServiceConfig = test::makeService(2 * Groups, Domains);
  const auto View =
      std::make_shared<MemberView>(test::makeBrokerView(Brokers, Domains));
  const ConfigViewPtr Config = test::makeConfig(ServiceConfig);
  const auto Micros = [](TimePoint Begin) {
    return seconds(Clock::now() - Begin) * 1e6;
  };
  TimePoint Begin = Clock::now();
  const Ownership Owners(View, Config);
  const double Build = Micros(Begin);
  const auto LookUpAll = [&] {
    Begin = Clock::now();
    for (std::uint32_t Group = 0; Group < Groups; ++Group)
      Owners.candidates(*ServiceConfig, Group, 2);
    return Micros(Begin) / Groups;
  };
  const double First = LookUpAll();
  const double Repeated = LookUpAll();
  const auto Reduced = std::make_shared<MemberView>(*View);
  Reduced->Members.erase(Reduced->Members.begin() + Brokers / 2);
  Begin = Clock::now();
  const Ownership Next(Reduced, Config, Owners);
  for (std::uint32_t Group = 0; Group < Groups; ++Group)
    Next.candidates(*ServiceConfig, Group, 2);
  const double Change = Micros(Begin);
  const auto Auth = std::make_shared<Authenticator>(
      "bench", "a key of sixteen bytes or more", "");
  DatagramCodec From(1, makeIncarnation(), Auth);
  DatagramCodec To(2, makeIncarnation(), Auth);
  To.open(From.open(To.open(From.seal(2, Bytes(64)), Begin).Reply, Begin).Reply,
          Begin);
  Begin = Clock::now();
  int Delivered = 0;
  for (int Count = 0; Count < Datagrams; ++Count)
    Delivered += To.open(From.seal(2, Bytes(64)), Begin).Result ==
                 DatagramCodec::Outcome::Deliver;
  const double Datagram = Micros(Begin) / Datagrams;
  std::printf(
      "ownership of %zu groups over %zu brokers: build %.0f us, first "
      "look %.2f us, again %.2f us a group, all groups after the loss of a "
      "broker %.0f us; datagram sealed and opened "
      "%.2f us (%d of %d delivered)\n",
      Groups, Brokers, Build, First, Repeated, Change, Datagram, Delivered,
      Datagrams);
  return {{"ownership_build_us", Build},
          {"ownership_first_us", First},
          {"ownership_again_us", Repeated},
          {"ownership_change_us", Change},
          {"datagram_us", Datagram}};
}

boost::json::object benchmark(std::size_t Count) {
  SwimNetwork Net({}, FLAGS_seed);
  const std::size_t Real = std::min<std::size_t>(Count, FLAGS_most_real);
  bench::StandInFleet StandIns(Net, Count);
  const std::size_t BytesBefore = residentBytes();
  startKnown(Net, Count, Real);
  StandIns.markAllKnown();
  Net.run(Seconds(5));
  const double Memory = static_cast<double>(residentBytes() - BytesBefore) /
                        static_cast<double>(Real);
  const Load Idle = measure(Net, [&] { Net.run(Seconds(FLAGS_seconds)); });
  const Load Churn = measure(Net, [&] { churn(Net, StandIns); });
  Net.run(Seconds(10));
  const double Join = Real == Count ? measureJoin(Net) : 0;
  const std::size_t Leaver = Real / 2;
  Net.protocol(Leaver).leave(Net.Now);
  const Spread Leaving = measureSpread(Net, Leaver, MemberState::Leaving);
  const std::size_t Crashed = Real / 3;
  Net.kill(Crashed);
  const Spread Dead = measureSpread(Net, Crashed, MemberState::Dead);
  // Stand-ins suspect nobody, but forward the findings of real members.
  double DomainSeconds = 0;
  const Load DomainLoss =
      measure(Net, [&] { DomainSeconds = loseDomain(Net); });
  const TimePoint Begin = Clock::now();
  const MemberView View = Net.protocol(Real - 1).view(Net.Now);
  const double ViewMicros = seconds(Clock::now() - Begin) * 1e6;
  std::printf("%6zu members (%zu real): join %.1f s; idle %.1f us %.0f B "
              "(worst %.0f) %.1f datagrams; "
              "restarts %.1f us %.0f B (worst %.0f); memory %.3f MiB; leave "
              "first %.1f s all %.1f s; crash first %.1f s all %.1f s; domain "
              "%.1f s %.1f us %.0f B (worst %.0f); view %.0f us\n",
              Count, Real, Join, Idle.CpuMicros, Idle.BytesOut,
              Idle.WorstBytesOut, Idle.Datagrams, Churn.CpuMicros,
              Churn.BytesOut, Churn.WorstBytesOut, Memory / BytesPerMiB,
              Leaving.First, Leaving.All, Dead.First, Dead.All, DomainSeconds,
              DomainLoss.CpuMicros, DomainLoss.BytesOut,
              DomainLoss.WorstBytesOut, ViewMicros);
  std::fflush(stdout);
  return {{"members", Count},
          {"real", Real},
          {"join_s", Join},
          {"idle", toJson(Idle)},
          {"restarts", toJson(Churn)},
          {"memory_bytes", Memory},
          {"leave", toJson(Leaving)},
          {"crash", toJson(Dead)},
          {"domain_loss", toJson(DomainLoss)},
          {"domain_loss_s", DomainSeconds},
          {"view_us", ViewMicros}};
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("Measures the membership protocol; figures are per "
                          "member and second of simulated time.");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::json::array Results;
  Results.push_back(benchmarkOwnershipAndCodec());
  std::istringstream Sizes(FLAGS_sizes);
  for (std::string Size; std::getline(Sizes, Size, ',');)
    Results.push_back(benchmark(std::stoul(Size)));
  if (FLAGS_json.empty())
    return 0;
  std::ofstream File(FLAGS_json);
  File << boost::json::serialize(Results) << '\n';
  return File ? 0 : 1;
}
