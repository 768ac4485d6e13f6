#include "FakePlatform.h"

#include "citronlever/Config"
#include "citronlever/Core"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <future>
#include <thread>

using namespace citronlever;

namespace {

constexpr Duration InForceBound = Seconds(2);

/// One member with its own peer hub on the loopback interface.
struct Node {
  PeerHub Hub;
  ConfigAgent Agent;
  std::uint16_t Port;

  Node(boost::asio::io_context &Context, Platform &Store,
       const std::shared_ptr<const Authenticator> &Auth, int Index)
      : Hub(Context, name(Index), static_cast<std::uint64_t>(Index) + 1, {},
            Auth),
        Agent(Context, Store, Hub, settings(Index)),
        Port(Hub.listen({"127.0.0.1", 0})) {}

  static std::string name(int Index) {
    return "vm" + std::to_string(Index) + "/entry";
  }
  static ConfigSettings settings(int Index) {
    ConfigSettings Result;
    Result.Deployment = "test";
    Result.Name = name(Index);
    Result.Vm = "vm" + std::to_string(Index);
    Result.Domain = "fd" + std::to_string(Index % 4);
    return Result;
  }
};

/// Sixteen members in four failure domains, with the default settings.
struct Fleet {
  static constexpr int Size = 16;
  FakePlatform Store;
  boost::asio::io_context Context;
  std::shared_ptr<const Authenticator> Auth =
      std::make_shared<Authenticator>("test", "0123456789abcdef", "");
  std::vector<std::unique_ptr<Node>> Nodes;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work{
      Context.get_executor()};
  std::thread Thread;

  Fleet() {
    std::vector<ConfigPeer> All;
    for (int Index = 0; Index < Size; ++Index) {
      this->Nodes.push_back(std::make_unique<Node>(this->Context, this->Store,
                                                   this->Auth, Index));
      const ConfigSettings Own = Node::settings(Index);
      All.push_back({Own.Name,
                     Own.Vm,
                     Own.Domain,
                     {"127.0.0.1", this->Nodes.back()->Port}});
    }
    for (int Index = 0; Index < Size; ++Index) {
      std::vector<ConfigPeer> Others = All;
      Others.erase(Others.begin() + Index);
      this->Nodes[static_cast<std::size_t>(Index)]->Agent.setPeers(Others);
    }
    for (const auto &Peer : this->Nodes)
      Peer->Agent.start();
    this->Thread = std::thread([this] { this->Context.run(); });
  }
  ~Fleet() {
    for (const auto &Peer : this->Nodes) {
      Peer->Agent.stop();
      Peer->Hub.stop();
    }
    this->Work.reset();
    this->Context.stop();
    this->Thread.join();
    this->Store.forgetWatches();
  }
};

} // namespace

DOCTEST_TEST_CASE(
    "sixteen members on loopback connections apply a change in time") {
  Fleet Under;
  ConfigAgent &Agent = Under.Nodes.front()->Agent;
  std::uint64_t Revision = 0;
  for (int Round = 0; Round < 3; ++Round) {
    std::promise<ProposalResult> Put;
    Agent.propose({"domains/fd1", Revision, false, R"({"state":"out"})"},
                  [&](ProposalResult Got) { Put.set_value(std::move(Got)); });
    const ProposalResult Got = Put.get_future().get();
    DOCTEST_INFO(Got.Reason);
    DOCTEST_REQUIRE((Got.Outcome == ProposalOutcome::Accepted));
    Revision = Got.Revision;
    const TimePoint Start = Clock::now();
    std::promise<InForceResult> Force;
    Agent.checkInForce(Revision, Seconds(20), [&](InForceResult Answer) {
      Force.set_value(std::move(Answer));
    });
    const InForceResult Answer = Force.get_future().get();
    const auto Taken = toMs(Clock::now() - Start);
    DOCTEST_MESSAGE("in force on " << Answer.Members << " members after "
                                   << Taken << " ms");
    DOCTEST_CHECK(Answer.Everywhere);
    DOCTEST_CHECK(Answer.Members == Fleet::Size);
    // The first change also waits for the connections to be established.
    if (Round > 0)
      DOCTEST_CHECK(Taken < toMs(InForceBound));
  }
}
