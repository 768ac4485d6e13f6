#include "citronlever/Node"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

Member broker(const std::string &Vm, const std::string &Domain,
              std::uint16_t Port) {
  Member Result;
  Result.Name = Vm + "/broker";
  Result.Vm = Vm;
  Result.Domain = Domain;
  Result.Kind = Role::Broker;
  Result.Incarnation = 1;
  Result.Peer = {"127.0.0.1", Port};
  return Result;
}

MemberViewPtr fourBrokers() {
  auto View = std::make_shared<MemberView>();
  View->Members = {broker("vm1", "fd1", 1), broker("vm2", "fd1", 2),
                   broker("vm3", "fd2", 3), broker("vm4", "fd2", 4)};
  return View;
}

ConfigViewPtr eightLeaves() {
  auto ServiceConfig = std::make_shared<Service>();
  ServiceConfig->Name = "bench";
  ServiceConfig->GroupShards = 2;
  Snapshot ShardMap{"s1", {}};
  for (std::uint32_t Shard = 0; Shard < 8; ++Shard) {
    Leaf Replica;
    Replica.Id = "leaf" + std::to_string(Shard);
    Replica.Vm = "up" + std::to_string(Shard);
    Replica.Domain = Shard % 2 ? "fd1" : "fd2";
    ServiceConfig->Leaves.push_back(Replica);
    ShardMap.Shards.push_back({Shard});
  }
  ServiceConfig->Snapshots.push_back(ShardMap);
  auto View = std::make_shared<ConfigView>();
  View->Services["bench"] = ServiceConfig;
  return View;
}

} // namespace

DOCTEST_TEST_CASE("owner and first stand-by are notified of a leaving VM") {
  const MemberViewPtr Members = fourBrokers();
  const ConfigViewPtr Config = eightLeaves();
  const Ownership Owners(Members, Config);
  const auto Notices = leavingVmsNotices({"up5", "elsewhere"}, *Config, Owners);
  const auto Expected =
      Owners.candidates(*Config->Services.at("bench"), 5 / 2, 2);
  DOCTEST_REQUIRE(Notices.size() == Expected.size());
  for (const Member *Broker : Expected) {
    bool IsNotified = false;
    for (const LeavingVmsNotice &Notice : Notices)
      IsNotified |= Notice.To == Broker->Peer &&
                    Notice.Message.Names == std::vector<std::string>{"up5"};
    DOCTEST_CHECK(IsNotified);
  }
}

DOCTEST_TEST_CASE("one member of each failure domain reads the VM list") {
  const MemberViewPtr Members = fourBrokers();
  std::map<std::string, int> Readers;
  for (const Member &Reader : Members->Members)
    Readers[Reader.Domain] += readsVmList(*Members, Reader);
  DOCTEST_CHECK(Readers == std::map<std::string, int>{{"fd1", 1}, {"fd2", 1}});
}

DOCTEST_TEST_CASE("a leaving VM that is not reported again expires") {
  LeavingVmTracker Tracker;
  TimePoint Now{Seconds(100)};
  DOCTEST_CHECK(Tracker.add({{"up1", "up2"}}, Now));
  DOCTEST_CHECK_FALSE(Tracker.add({{"up1"}}, Now + Seconds(5)));
  DOCTEST_CHECK_FALSE(Tracker.expire(Now + Seconds(9)));
  DOCTEST_CHECK(Tracker.expire(Now + LeavingVmTracker::Retention));
  DOCTEST_CHECK(Tracker.names() == LeavingVmTracker::Names{"up1"});
}
