#include "test/Rollout/FakeFleet.h"

#include <doctest/doctest.h>

using namespace citronlever;
using namespace citronlever::test;
using Command = DrainInput::Command;

namespace {

const DrainTarget Domain{DrainTarget::Kind::Domain, "fd0"};

/// Sends the command to the first member and waits for its answer.
ChangeResult request(FakeFleet &Fleet, Command Requested) {
  std::optional<ChangeResult> Result;
  Fleet.Nodes[0].Drains->request(
      Domain, Requested, [&](ChangeResult R) { Result = std::move(R); });
  for (int Tick = 0; Tick < 30 && !Result; ++Tick)
    Fleet.run(RolloutAgent::Interval);
  return Result.value_or(ChangeResult{false, "no answer"});
}

} // namespace

DOCTEST_TEST_CASE(
    "a domain is drained once its requests have finished, and returns") {
  FakeFleet Fleet(6);
  Fleet.InFlight = 2;
  DOCTEST_CHECK(request(Fleet, Command::Drain).Accepted);
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::Draining);
  Fleet.run(Seconds(10));
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::Draining);
  Fleet.InFlight = 0;
  Fleet.run(Seconds(5));
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::Drained);
  DOCTEST_CHECK(request(Fleet, Command::Return).Accepted);
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::Returning);
  Fleet.run(Seconds(15));
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::InService);
}

DOCTEST_TEST_CASE("a drain that would overload the remaining leaves is refused "
                  "with the reason") {
  FakeFleet Fleet(6);
  Fleet.Load = 1.5;
  const ChangeResult Result = request(Fleet, Command::Drain);
  DOCTEST_CHECK(!Result.Accepted);
  DOCTEST_CHECK(Result.Reason.find("exceeds") != std::string::npos);
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Reason == Result.Reason);
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Elapsed == Duration::zero());
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").isInService());
}

DOCTEST_TEST_CASE("a drain is aborted when the load rises meanwhile") {
  FakeFleet Fleet(6);
  Fleet.InFlight = 1;
  DOCTEST_CHECK(request(Fleet, Command::Drain).Accepted);
  Fleet.run(Seconds(5));
  Fleet.Load = 1.9;
  Fleet.run(Seconds(5));
  DOCTEST_CHECK(Fleet.drainDocument("domains/fd0").Phase ==
                DrainPhase::InService);
  DOCTEST_CHECK(!Fleet.drainDocument("domains/fd0").Reason.empty());
}

DOCTEST_TEST_CASE("a drain is refused unless every broker reports") {
  FakeFleet Fleet(6);
  Fleet.Nodes[4].Paused = true;
  const ChangeResult Result = request(Fleet, Command::Drain);
  DOCTEST_CHECK(!Result.Accepted);
  DOCTEST_CHECK(Result.Reason == "not every broker has reported its load");
}
