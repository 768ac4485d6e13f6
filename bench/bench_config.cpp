// Measures the cost of configuration operations over the number of documents
// and of members.
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

template <class Function> double meanMicroseconds(Function &&Work) {
  const TimePoint Start = Clock::now();
  for (int Round = 0; Round < Rounds; ++Round)
    Work(Round);
  return std::chrono::duration<double, std::micro>(Clock::now() - Start)
             .count() /
         Rounds;
}

ConfigDocument makeDocument(std::uint64_t Revision) {
  return {"contracts/c" + std::to_string(Revision), Revision,
          "0123456789abcdef-" + std::to_string(Revision), false,
          std::string(BodyBytes, 'x')};
}

ConfigState makeState(std::uint64_t Count) {
  ConfigState Result;
  std::vector<ConfigDocument> Documents;
  for (std::uint64_t Revision = 1; Revision <= Count; ++Revision)
    Documents.push_back(makeDocument(Revision));
  const ConfigLogEntry Last{
      Count, Documents.back().Name, Documents.back().ProposalId,
      false, "vm1/entry",           1};
  Result.advance({Count, 1, Documents.back().ProposalId, "lineage"}, Documents,
                 {&Last, 1}, true);
  return Result;
}

boost::json::object measureDocuments(std::uint64_t Count) {
  ConfigState State = makeState(Count);
  const ConfigHead Before = State.head();
  const ConfigDocument Changed = makeDocument(Count + 1);
  const ConfigLogEntry Entry{Count + 1, Changed.Name, Changed.ProposalId,
                             false,     "vm1/entry",  1};
  State.advance({Count + 1, 1, Changed.ProposalId, "lineage"}, {&Changed, 1},
                {&Entry, 1}, false);
  std::size_t Size = 0;
  const double Delta = meanMicroseconds([&](int) {
    Size = encode(State.deltaFor({Before, 0, false}, 512 << 10)).size();
  });
  const double Copy = meanMicroseconds([&](int) {
    const auto Published = std::make_shared<const ConfigState>(State);
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

boost::json::object measureMembers(std::size_t Count) {
  std::vector<ConfigPeer> Peers;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Peers.push_back({"vm" + std::to_string(Index) + "/entry",
                     "vm" + std::to_string(Index),
                     "fd",
                     {"10.0.0.1", 1}});
  ConfigState State = makeState(100);
  ConfigGossip Gossip(settings(), State);
  const double View = meanMicroseconds([&](int) { Gossip.setPeers(Peers); });
  std::size_t Bytes = 0;
  const double Tick = meanMicroseconds([&](int) {
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
    Results.push_back(measureDocuments(Count));
  for (const std::size_t Count : {16, 160, 1600, 6000})
    Results.push_back(measureMembers(Count));
  if (!FLAGS_json.empty())
    std::ofstream(FLAGS_json) << boost::json::serialize(Results) << '\n';
  return 0;
}
