#include "test/Rollout/FakeFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace citronlever;
using namespace citronlever::test;

namespace {

constexpr Duration Deadline = Seconds(60);

bool markedEverywhere(const FakeFleet &Fleet, const std::string &Id) {
  return std::all_of(
      Fleet.Nodes.begin(), Fleet.Nodes.end(),
      [&](const auto &Node) { return Node.Agent->marks().contains(Id); });
}

} // namespace

DOCTEST_TEST_CASE("a good version is completed by one controller") {
  FakeFleet Fleet(6);
  DOCTEST_CHECK(Fleet.start(Deadline).Accepted);
  DOCTEST_CHECK(!Fleet.start(Deadline).Accepted);
  Fleet.run(Deadline);
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::Completed);
  DOCTEST_CHECK(Fleet.version() == "v2");
  DOCTEST_CHECK(Fleet.Writes < 30);
}

DOCTEST_TEST_CASE("a rollout of an unknown version or service is refused") {
  FakeFleet Fleet(1);
  ChangeResult Result;
  const auto KeepResult = [&](ChangeResult R) { Result = std::move(R); };
  Fleet.Nodes[0].Controller->start("bench", "v9", Deadline, KeepResult);
  DOCTEST_CHECK(Result.Reason == "no leaf of the service has that version");
  Fleet.Nodes[0].Controller->start("none", "v2", Deadline, KeepResult);
  DOCTEST_CHECK(Result.Reason == "unknown service");
}

DOCTEST_TEST_CASE("a bad version is marked everywhere within 2 s while the "
                  "store is down, and rolled back when it is up again") {
  FakeFleet Fleet(16);
  DOCTEST_REQUIRE(Fleet.start(Deadline).Accepted);
  Fleet.run(Seconds(5));
  const std::string Id = Fleet.rollout().Id;
  Fleet.Store.Down = true;
  Fleet.NewVersionFails = true;
  Fleet.run(Seconds(2));
  DOCTEST_CHECK(markedEverywhere(Fleet, Id));
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::Canary);
  Fleet.run(Seconds(20));
  Fleet.Store.Down = false;
  Fleet.run(Seconds(20));
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::RolledBack);
  DOCTEST_CHECK(Fleet.version() == "v1");
}

DOCTEST_TEST_CASE("completion waits for the store") {
  FakeFleet Fleet(4);
  DOCTEST_REQUIRE(Fleet.start(Deadline).Accepted);
  Fleet.run(Seconds(45));
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::Ramping);
  Fleet.Store.Down = true;
  Fleet.run(Seconds(10));
  DOCTEST_CHECK(Fleet.version() == "v1");
  Fleet.Store.Down = false;
  Fleet.run(Seconds(4));
  DOCTEST_CHECK(Fleet.rollout().Phase != RolloutPhase::RolledBack);
}

DOCTEST_TEST_CASE("another member continues when the controller is paused past "
                  "its lease, and the paused one writes nothing afterwards") {
  FakeFleet Fleet(6);
  DOCTEST_REQUIRE(Fleet.start(Deadline).Accepted);
  Fleet.run(Seconds(10));
  auto *Previous = Fleet.controllerNode();
  DOCTEST_REQUIRE(Previous);
  const std::string PreviousName = Previous->Name;
  Previous->Paused = true;
  Fleet.removeMember(PreviousName);
  Fleet.run(Seconds(10));
  const RolloutDocument Resumed = Fleet.rollout();
  DOCTEST_CHECK(Resumed.Controller != PreviousName);
  DOCTEST_CHECK(Resumed.Elapsed >= Seconds(10));
  Previous->Paused = false;
  Fleet.run(Seconds(1));
  DOCTEST_CHECK(Fleet.rollout().Controller == Resumed.Controller);
  Fleet.run(Deadline);
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::Completed);
}

DOCTEST_TEST_CASE("an operator can roll back a rollout") {
  FakeFleet Fleet(6);
  DOCTEST_REQUIRE(Fleet.start(Deadline).Accepted);
  Fleet.run(Seconds(5));
  Fleet.Nodes[3].Controller->rollBack("bench", [](const ChangeResult &) {});
  Fleet.run(Seconds(3));
  DOCTEST_CHECK(Fleet.rollout().Phase == RolloutPhase::RolledBack);
  DOCTEST_CHECK(Fleet.rollout().Reason == "rolled back by the operator");
}
