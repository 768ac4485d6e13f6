#include "citronlever/Rollout"

#include <doctest/doctest.h>

#include <boost/json.hpp>

#include <atomic>
#include <thread>

using namespace citronlever;

namespace {

/// \returns a configuration with a rollout of \p Version.
ConfigViewPtr underRollout(std::uint64_t Revision, const std::string &Version) {
  Service Bench;
  Bench.Name = "bench";
  Bench.Version = "v1";
  auto Result = std::make_shared<ConfigView>();
  Result->Revision = Revision;
  Result->Services["bench"] = std::make_shared<const Service>(Bench);
  Result->RolloutShares["bench"] = {"r1", Version, 0.05};
  return Result;
}

RolloutDependencies dependencies(const std::atomic<std::uint64_t> &Revision) {
  RolloutDependencies Result;
  Result.Config = [&Revision] {
    const std::uint64_t Now = Revision;
    return underRollout(Now, "version number " + std::to_string(Now));
  };
  Result.IsConfigCurrent = [](TimePoint) { return true; };
  Result.Members = [] { return std::make_shared<const MemberView>(); };
  Result.Document = [](std::string_view) {
    return std::optional<StoredDocument>();
  };
  Result.Send = [](const Endpoint &, MessageType, const Bytes &) {};
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("calls can be recorded while the configuration changes") {
  constexpr int Calls = 20000;
  constexpr int Threads = 3;
  std::atomic<std::uint64_t> Revision{1};
  RolloutAgent Agent(dependencies(Revision), "vm1/broker", "fd1", 1);
  const TimePoint Now{Seconds(100)};
  Agent.tick(Now);
  std::vector<std::thread> Callers;
  Callers.reserve(Threads);
  for (int Thread = 0; Thread < Threads; ++Thread)
    Callers.emplace_back([&Agent, Now] {
      for (int Call = 0; Call < Calls; ++Call)
        Agent.addCall("bench", "v1", {"lookup", "leaf", VersionSide::Old}, Now);
    });
  for (int Change = 0; Change < 200; ++Change) {
    ++Revision;
    Agent.tick(Now);
  }
  for (std::thread &Caller : Callers)
    Caller.join();
  DOCTEST_CHECK(Agent.marks().all().empty());
}

DOCTEST_TEST_CASE("a suspicion is forwarded, expires, and is renewed") {
  const std::atomic<std::uint64_t> Revision{1};
  RolloutDependencies Dependencies = dependencies(Revision);
  auto View = std::make_shared<MemberView>();
  View->Members.resize(1);
  View->Members[0].Name = "vm2/entry";
  Dependencies.Members = [View] { return View; };
  std::size_t Sent = 0;
  Dependencies.Send = [&Sent](const Endpoint &, MessageType Type,
                              const Bytes &) {
    Sent += Type == MessageType::VersionSuspicion ? 1 : 0;
  };
  RolloutAgent Agent(Dependencies, "vm1/broker", "fd1", 1);
  const TimePoint Now{Seconds(100)};
  Agent.tick(Now);
  DOCTEST_CHECK_FALSE(Agent.isSuspected("r1", Now));
  // Slightly more failures than the old version's: suspicious, but no proof.
  for (int Call = 0; Call < 100; ++Call) {
    const std::string Leaf = std::to_string(Call % 20);
    Agent.addCall("bench", "v1", {"lookup", Leaf}, Now);
    LeafCallSample New{"lookup", Leaf};
    New.Failed = true;
    if (Call < 4)
      Agent.addCall("bench", "version number 1", New, Now);
  }
  Agent.tick(Now);
  DOCTEST_CHECK(Agent.marks().all().empty());
  DOCTEST_CHECK(Agent.isSuspected("r1", Now));
  DOCTEST_CHECK(Sent == RolloutAgent::GossipFanOut);
  Agent.onSuspicion({"r1"}, Now + SuspectedRollouts::ForwardPeriod / 2);
  DOCTEST_CHECK(Sent == RolloutAgent::GossipFanOut);
  Agent.onSuspicion({"r1"}, Now + SuspectedRollouts::ForwardPeriod);
  DOCTEST_CHECK(Sent == 2 * RolloutAgent::GossipFanOut);
  DOCTEST_CHECK(Agent.isSuspected("r1", Now + SuspectedRollouts::Lifetime));
  DOCTEST_CHECK_FALSE(
      Agent.isSuspected("r1", Now + 2 * SuspectedRollouts::Lifetime));
  // Suspicions of unknown rollouts are ignored.
  Agent.onSuspicion({"r0"}, Now);
  DOCTEST_CHECK_FALSE(Agent.isSuspected("r0", Now));
}
