#include "citronlever/Core"
#include "citronlever/Membership"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <optional>
#include <thread>

using namespace citronlever;

namespace {

constexpr Duration WaitTimeout = Seconds(60);

std::shared_ptr<const Authenticator>
makeAuthenticator(const std::string &Deployment = "sicilia") {
  return std::make_shared<Authenticator>(Deployment,
                                         "a key of sixteen bytes or more", "");
}

Member makeMember(int Vm) {
  Member Result;
  Result.Vm = "vm" + std::to_string(Vm);
  Result.Name = Result.Vm + "/broker";
  Result.Domain = "fd" + std::to_string(Vm % 3);
  Result.Kind = Role::Broker;
  Result.Incarnation = makeIncarnation();
  Result.Peer = {"127.0.0.1", 0};
  return Result;
}

bool waitFor(const std::function<bool()> &Done) {
  const TimePoint End = Clock::now() + WaitTimeout;
  while (!Done() && Clock::now() < End)
    std::this_thread::sleep_for(Milliseconds(10));
  return Done();
}

/// A process with an io_context and thread of its own, so that it can be
/// blocked.
class Process {
public:
  explicit Process(
      const Member &Self, std::vector<Endpoint> Seeds = {},
      std::shared_ptr<const Authenticator> Auth = makeAuthenticator())
      : Agent(this->Context, Self, {}, std::move(Auth), std::move(Seeds)) {
    this->Agent.onPause([this](Duration) {
      this->Pauses += 1;
      this->SelfInViewAtPause = this->Agent.view()->find(this->Name) != nullptr;
    });
    this->Name = Self.Name;
    this->Address = {"127.0.0.1", this->Agent.start()};
    this->Thread = std::thread([this] { this->Context.run(); });
  }
  ~Process() {
    this->Agent.stop();
    this->Context.stop();
    this->Thread.join();
  }

  boost::asio::io_context Context;
  std::string Name;
  Endpoint Address;
  std::atomic<int> Pauses{0};
  std::atomic<bool> SelfInViewAtPause{true};
  MembershipAgent Agent;
  std::thread Thread;
};

using Fleet = std::vector<std::unique_ptr<Process>>;

Fleet startFleet(int Count) {
  Fleet Result;
  for (int Vm = 0; Vm < Count; ++Vm) {
    std::vector<Endpoint> Seeds;
    if (Vm > 0)
      Seeds.push_back(Result.front()->Address);
    Result.push_back(std::make_unique<Process>(makeMember(Vm), Seeds));
  }
  return Result;
}

bool isConverged(const Fleet &Processes) {
  for (const auto &Peer : Processes) {
    const MemberViewPtr View = Peer->Agent.view();
    if (View->Members.size() != Processes.size() ||
        View->Digest != Processes.front()->Agent.view()->Digest)
      return false;
  }
  return true;
}

} // namespace

DOCTEST_TEST_CASE("agents discover each other and detect one that is gone") {
  Fleet All = startFleet(8);
  DOCTEST_CHECK(waitFor([&] { return isConverged(All); }));
  DOCTEST_CHECK(
      waitFor([&] { return All.front()->Agent.isCurrent(Clock::now()); }));
  All.erase(All.begin() + 5);
  DOCTEST_CHECK(waitFor([&] { return isConverged(All); }));
  DOCTEST_CHECK(All.front()->Agent.view()->find("vm5/broker") == nullptr);
}

DOCTEST_TEST_CASE("a leaving agent is announced") {
  Fleet All = startFleet(4);
  DOCTEST_CHECK(waitFor([&] { return isConverged(All); }));
  std::atomic<bool> Done{false};
  All[2]->Agent.leave([&] { Done = true; });
  DOCTEST_CHECK(waitFor([&] {
    for (const auto &Peer : All) {
      const Member *Node = Peer->Agent.view()->find("vm2/broker");
      if (!Node || Node->State != MemberState::Leaving)
        return false;
    }
    return Done.load();
  }));
}

DOCTEST_TEST_CASE("a blocked process gives up ownership when it resumes") {
  Fleet All = startFleet(4);
  DOCTEST_CHECK(waitFor([&] { return isConverged(All); }));
  std::atomic<bool> Blocked{true};
  boost::asio::post(All[1]->Context, [&] {
    while (Blocked)
      std::this_thread::sleep_for(Milliseconds(10));
  });
  DOCTEST_CHECK(waitFor(
      [&] { return All[0]->Agent.view()->find("vm1/broker") == nullptr; }));
  DOCTEST_CHECK_FALSE(All[1]->Agent.isCurrent(Clock::now()));
  Blocked = false;
  DOCTEST_CHECK(waitFor([&] { return All[1]->Pauses == 1; }));
  DOCTEST_CHECK_FALSE(All[1]->SelfInViewAtPause);
  DOCTEST_CHECK(waitFor([&] { return isConverged(All); }));
  DOCTEST_CHECK(waitFor([&] { return All[1]->Agent.isCurrent(Clock::now()); }));
}

DOCTEST_TEST_CASE(
    "replayed datagrams and those of another deployment change nothing") {
  namespace asio = boost::asio;
  using Udp = asio::ip::udp;
  // A relay between two members records the datagrams for a replay.
  Process First(makeMember(0));
  asio::io_context Context;
  Udp::socket Relay(Context, {asio::ip::make_address("127.0.0.1"), 0});
  const Udp::endpoint Target(asio::ip::make_address("127.0.0.1"),
                             First.Address.Port);
  std::vector<std::vector<std::byte>> Recorded;
  {
    Process Second(makeMember(1),
                   {{"127.0.0.1", Relay.local_endpoint().port()}});
    Relay.non_blocking(true);
    std::optional<Udp::endpoint> Joiner;
    DOCTEST_CHECK(waitFor([&] {
      std::vector<std::byte> Datagram(2048);
      Udp::endpoint From;
      boost::system::error_code Failure;
      Datagram.resize(
          Relay.receive_from(asio::buffer(Datagram), From, 0, Failure));
      if (!Failure) {
        if (From != Target)
          Joiner = From;
        Recorded.push_back(Datagram);
        Relay.send_to(asio::buffer(Datagram),
                      From == Target ? *Joiner : Target);
      }
      return First.Agent.view()->find("vm1/broker") != nullptr;
    }));
  }
  DOCTEST_CHECK(waitFor(
      [&] { return First.Agent.view()->find("vm1/broker") == nullptr; }));
  Process Outsider(makeMember(2), {First.Address},
                   makeAuthenticator("del-alfold"));
  const auto Count = [&](const char *Field) {
    return First.Agent.dump(Clock::now()).at(Field).to_number<std::uint64_t>();
  };
  const std::uint64_t Before = Count("datagrams_in");
  const std::uint64_t RefusedBefore = Count("refused");
  const std::uint64_t Digest = First.Agent.view()->Digest;
  for (const auto &Datagram : Recorded)
    Relay.send_to(asio::buffer(Datagram), Target);
  DOCTEST_CHECK(waitFor([&] {
    return Count("datagrams_in") >= Before + Recorded.size() + 2 &&
           Count("refused") > RefusedBefore;
  }));
  DOCTEST_CHECK(First.Agent.view()->Digest == Digest);
  DOCTEST_CHECK(Outsider.Agent.view()->find("vm0/broker") == nullptr);
}
