// Cost of the configuration's decisions over documents and members.
#include "citronlever/Config"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>

DEFINE_string(json, "", "file for the results");

using namespace citronlever;

namespace {

constexpr int Rounds = 200;
constexpr std::size_t BodyBytes = 300;

template <class Function> double microsecondsEach(Function &&Work) {
  const TimePoint Start = Clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Work(Round);
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
             .count() /
         Rounds;
}

ConfigDocument document(std::uint64_t Revision) {
  return {"contracts/c" + std::to_string(Revision), Revision,
          "0123456789abcdef-" + std::to_string(Revision), false,
          std::string(BodyBytes, 'x')};
}

ConfigState stateOf(std::uint64_t Count) {
  ConfigState Result;
  std::vector<ConfigDocument> All;
  for (std::uint64_t Revision = 1; Revision <= Count; ++Revision)
    All.push_back(document(Revision));
  const ConfigLogEntry Last{Count, All.back().Name, All.back().ProposalId,
                            false, "vm1/entry",     1};
  Result.advance({Count, 1, All.back().ProposalId, "lineage"}, All, {&Last, 1},
                 true);
  return Result;
}

boost::json::object overDocuments(std::uint64_t Count) {
  ConfigState Holder = stateOf(Count);
  const ConfigHead Before = Holder.head();
  const ConfigDocument Change = document(Count + 1);
  const ConfigLogEntry Entry{Count + 1, Change.Name, Change.ProposalId,
                             false,     "vm1/entry", 1};
  Holder.advance({Count + 1, 1, Change.ProposalId, "lineage"}, {&Change, 1},
                 {&Entry, 1}, false);
  std::size_t Size = 0;
  const double Delta = microsecondsEach([&](int) {
    Size = encode(Holder.deltaFor({Before, 0, false}, 512 << 10)).size();
  });
  const double Copy = microsecondsEach([&](int) {
    const auto Published = std::make_shared<const ConfigState>(Holder);
    Size += Published->documents().empty();
  });
  std::printf("documents %8llu  delta %8.2f us %6zu bytes  publish %9.2f us\n",
              static_cast<unsigned long long>(Count), Delta, Size, Copy);
  return {{"documents", Count},
          {"delta_us", Delta},
          {"bytes", Size},
          {"publish_us", Copy}};
}

GossipSettings settings() {
  GossipSettings Result;
  Result.Name = "vm1/entry";
  Result.Vm = "vm1";
  return Result;
}

boost::json::object overMembers(std::size_t Count) {
  std::vector<ConfigPeer> Peers;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Peers.push_back({"vm" + std::to_string(Index) + "/entry",
                     "vm" + std::to_string(Index),
                     "fd",
                     {"10.0.0.1", 1}});
  ConfigState State = stateOf(100);
  ConfigGossip Gossip(settings(), State);
  const double View = microsecondsEach([&](int) { Gossip.setPeers(Peers); });
  std::size_t Bytes = 0;
  const double Tick = microsecondsEach([&](int) {
    Bytes = 0;
    for (const ConfigMessage &Message : Gossip.tick(Clock::now()))
      Bytes += Message.Body.size();
  });
  std::printf("members   %8zu  view  %8.2f us  tick %8.2f us %6zu bytes/s\n",
              Count, View, Tick, Bytes);
  return {{"members", Count},
          {"view_us", View},
          {"tick_us", Tick},
          {"digest_bytes_per_second", Bytes}};
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::json::array Results;
  for (const std::uint64_t Count : {100, 1000, 10000})
    Results.push_back(overDocuments(Count));
  for (const std::size_t Count : {16, 160, 1600, 6000})
    Results.push_back(overMembers(Count));
  if (!FLAGS_json.empty())
    std::ofstream(FLAGS_json) << boost::json::serialize(Results) << '\n';
  return 0;
}
