#include "citronlever/Core"
#include "citronlever/Rollout"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;
using Command = DrainInput::Command;

namespace {

DrainInput input(Command Requested, Duration Elapsed) {
  DrainInput Input;
  Input.OperatorCommand = Requested;
  Input.Elapsed = Elapsed;
  Input.FencingToken = 1;
  return Input;
}

ShardLoad shard(double MeanInFlightA, double MeanInFlightB) {
  return {"bench",
          0,
          {{"a", "up-a", "fd1", MeanInFlightA, 2, 0},
           {"b", "up-b", "fd2", MeanInFlightB, 2, 0}}};
}

} // namespace

DOCTEST_TEST_CASE("a domain is drained once nothing is in flight after 3 s") {
  const auto Draining =
      decideDrain(DrainDocument{}, input(Command::Drain, Duration{}));
  DOCTEST_REQUIRE(Draining);
  DOCTEST_CHECK(!Draining->isInService());
  DrainInput Early = input(Command::None, Seconds(2));
  Early.InFlight = 0;
  DOCTEST_CHECK(!decideDrain(*Draining, Early));
  DrainInput Unknown = input(Command::None, Seconds(4));
  DOCTEST_CHECK(!decideDrain(*Draining, Unknown));
  DrainInput Busy = Unknown;
  Busy.InFlight = 1;
  DOCTEST_CHECK(!decideDrain(*Draining, Busy));
  DrainInput Idle = Unknown;
  Idle.InFlight = 0;
  DOCTEST_CHECK(decideDrain(*Draining, Idle)->Phase == DrainPhase::Drained);
}

DOCTEST_TEST_CASE("a drain is refused or aborted with the reason") {
  DrainInput Start = input(Command::Drain, Duration{});
  Start.CapacityShortage = "bench shard 0: no replica would be left";
  const auto Refused = decideDrain(DrainDocument{}, Start);
  DOCTEST_REQUIRE(Refused);
  DOCTEST_CHECK(Refused->Phase == DrainPhase::InService);
  DOCTEST_CHECK(Refused->Reason == Start.CapacityShortage);

  DrainDocument Draining;
  Draining.Phase = DrainPhase::Draining;
  DrainInput Later = input(Command::None, Seconds(1));
  Later.CapacityShortage = "load";
  DOCTEST_CHECK(decideDrain(Draining, Later)->Phase == DrainPhase::InService);
  DOCTEST_CHECK(decideDrain(Draining, Later)->Reason == "load");
  const auto Stuck =
      decideDrain(Draining, input(Command::None, DrainTiming::DrainTimeout));
  DOCTEST_CHECK(Stuck->Reason == "requests in flight did not finish in time");
}

DOCTEST_TEST_CASE("a returning domain ramps up and is then in service") {
  DrainDocument Drained;
  Drained.Phase = DrainPhase::Drained;
  const auto Returning =
      decideDrain(Drained, input(Command::Return, Seconds(50)));
  DOCTEST_REQUIRE(Returning);
  DOCTEST_CHECK(Returning->Phase == DrainPhase::Returning);
  DOCTEST_CHECK(Returning->Elapsed == Duration{});
  DOCTEST_CHECK(DrainTiming::returnShare(Seconds(0)) < 0.2);
  DOCTEST_CHECK(DrainTiming::returnShare(Seconds(5)) == doctest::Approx(0.5));
  DOCTEST_CHECK(!decideDrain(*Returning, input(Command::None, Seconds(9))));
  const auto In = decideDrain(*Returning, input(Command::None, Seconds(10)));
  DOCTEST_CHECK(In->Phase == DrainPhase::InService);
}

DOCTEST_TEST_CASE("capacity is checked shard by shard") {
  const DrainTarget Domain{DrainTarget::Kind::Domain, "fd1"};
  const ShardLoad Light[] = {shard(0.5, 0.5)};
  DOCTEST_CHECK(!findCapacityShortage(Light, Domain));
  const ShardLoad Heavy[] = {shard(0.1, 0.1), shard(1.2, 1.2)};
  DOCTEST_CHECK(findCapacityShortage(Heavy, Domain));
  ShardLoad Alone = shard(0.1, 0.1);
  Alone.Replicas[1].Capacity = 0;
  const ShardLoad Single[] = {Alone};
  DOCTEST_CHECK(*findCapacityShortage(Single, Domain) ==
                "bench shard 0: no replica would be left");
  const DrainTarget Other{DrainTarget::Kind::Vm, "up-c"};
  DOCTEST_CHECK(!findCapacityShortage(Heavy, Other));
}

DOCTEST_TEST_CASE("a drain document survives serialization, and the state "
                  "alone is sufficient") {
  for (const auto Phase : {DrainPhase::InService, DrainPhase::Draining,
                           DrainPhase::Drained, DrainPhase::Returning}) {
    DrainDocument Document;
    Document.Phase = Phase;
    Document.Reason = "why";
    DOCTEST_CHECK(drainFromJson(toJson(Document), "doc") == Document);
  }
  const auto Out = parseJson(R"({"state": "out"})", "doc");
  DOCTEST_CHECK(drainFromJson(Out, "doc").Phase == DrainPhase::Drained);
  const auto Mismatched =
      parseJson(R"({"state": "in", "phase": "out"})", "doc");
  DOCTEST_CHECK_THROWS_AS(drainFromJson(Mismatched, "doc"), SettingsError);
}
