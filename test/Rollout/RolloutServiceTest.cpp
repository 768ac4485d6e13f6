// RolloutService over TCP connections on the loopback interface.
#include "test/Rollout/FakeFleet.h"

#include "citronlever/Wire"

#include <doctest/doctest.h>

using namespace citronlever;
using namespace citronlever::test;

namespace {

/// One member with its own PeerHub and RolloutService.
struct Node {
  Node(boost::asio::io_context &Context, const std::string &Name,
       const std::shared_ptr<MemberViewPtr> &Members)
      : Hub(Context, Name, 1, {},
            std::make_shared<Authenticator>("test", "a key for this test", "")),
        Service(Context, this->Hub, this->Store, dependencies(Members), {},
                {"test", Name, "fd1", 1}) {
    this->Self.Name = Name;
    this->Self.Domain = "fd1";
    this->Self.Peer = {"127.0.0.1", this->Hub.listen({"127.0.0.1", 0})};
  }

  static RolloutDependencies
  dependencies(const std::shared_ptr<MemberViewPtr> &Members) {
    auto Config = std::make_shared<ConfigView>();
    Config->Revision = 1;
    Config->RolloutShares["bench"] = {"r1", "v2", 0.05};
    RolloutDependencies Result;
    Result.Config = [Config] { return Config; };
    Result.Members = [Members] { return *Members; };
    Result.Document = [](std::string_view) { return std::nullopt; };
    Result.DocumentNames = [](std::string_view) {
      return std::vector<std::string>();
    };
    return Result;
  }

  FakeStore Store;
  PeerHub Hub;
  RolloutService Service;
  Member Self;
};

} // namespace

DOCTEST_TEST_CASE("a mark reaches another member over its link") {
  boost::asio::io_context Context;
  const auto Members =
      std::make_shared<MemberViewPtr>(std::make_shared<MemberView>());
  Node First(Context, "vm1/broker", Members);
  Node Second(Context, "vm2/broker", Members);
  auto View = std::make_shared<MemberView>();
  View->Members = {First.Self, Second.Self};
  *Members = View;
  First.Service.start();
  Second.Service.start();
  First.Service.agent().onMark({"bench", "r1", "fails", "vm1/broker"});
  const TimePoint Latest = Clock::now() + Seconds(20);
  while (!Second.Service.agent().marks().contains("r1") &&
         Clock::now() < Latest)
    Context.run_for(Milliseconds(20));
  DOCTEST_CHECK(Second.Service.agent().marks().reason("r1") == "fails");
  const auto Dump = Second.Service.dump(Clock::now());
  DOCTEST_CHECK(Dump.at("bad_marks").as_array().size() == 1);
  First.Service.stop();
  Second.Service.stop();
  First.Hub.stop();
  Second.Hub.stop();
  Context.run_for(Milliseconds(50));
}
