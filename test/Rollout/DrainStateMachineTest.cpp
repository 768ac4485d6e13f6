#include "citronlever/Core"
#include "citronlever/Rollout"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;
using Wish = DrainInput::Wish;

namespace {

DrainInput input(Wish Operator, Duration Elapsed) {
  DrainInput Input;
  Input.Operator = Operator;
  Input.Elapsed = Elapsed;
  Input.Fence = 1;
  return Input;
}

ShardLoad shard(double InWorkA, double InWorkB) {
  return {"bench",
          0,
          {{"a", "up-a", "fd1", InWorkA, 2, 0},
           {"b", "up-b", "fd2", InWorkB, 2, 0}}};
}

} // namespace

DOCTEST_TEST_CASE("a domain is out once nothing is in flight after 3 s") {
  const auto Leaving =
      decideDrain(DrainDocument{}, input(Wish::Out, Duration{}));
  DOCTEST_REQUIRE(Leaving);
  DOCTEST_CHECK(!Leaving->inService());
  DrainInput Early = input(Wish::None, Seconds(2));
  Early.InFlight = 0;
  DOCTEST_CHECK(!decideDrain(*Leaving, Early));
  DrainInput Unknown = input(Wish::None, Seconds(4));
  DOCTEST_CHECK(!decideDrain(*Leaving, Unknown));
  DrainInput Busy = Unknown;
  Busy.InFlight = 1;
  DOCTEST_CHECK(!decideDrain(*Leaving, Busy));
  DrainInput Idle = Unknown;
  Idle.InFlight = 0;
  DOCTEST_CHECK(decideDrain(*Leaving, Idle)->Phase == DrainPhase::Out);
}

DOCTEST_TEST_CASE("a move out is refused, or taken back, with the reason") {
  DrainInput Start = input(Wish::Out, Duration{});
  Start.CannotCarry = "bench shard 0: no replica would be left";
  const auto Refused = decideDrain(DrainDocument{}, Start);
  DOCTEST_REQUIRE(Refused);
  DOCTEST_CHECK(Refused->Phase == DrainPhase::In);
  DOCTEST_CHECK(Refused->Reason == Start.CannotCarry);

  DrainDocument Leaving;
  Leaving.Phase = DrainPhase::Leaving;
  DrainInput Later = input(Wish::None, Seconds(1));
  Later.CannotCarry = "load";
  DOCTEST_CHECK(decideDrain(Leaving, Later)->Phase == DrainPhase::In);
  DOCTEST_CHECK(decideDrain(Leaving, Later)->Reason == "load");
  const auto Stuck =
      decideDrain(Leaving, input(Wish::None, DrainTiming::LeaveTimeout));
  DOCTEST_CHECK(Stuck->Reason == "work in flight did not end in time");
}

DOCTEST_TEST_CASE("a return ramps up and ends in service") {
  DrainDocument Out;
  Out.Phase = DrainPhase::Out;
  const auto Returning = decideDrain(Out, input(Wish::In, Seconds(50)));
  DOCTEST_REQUIRE(Returning);
  DOCTEST_CHECK(Returning->Phase == DrainPhase::Returning);
  DOCTEST_CHECK(Returning->Elapsed == Duration{});
  DOCTEST_CHECK(DrainTiming::returnShare(Seconds(0)) < 0.2);
  DOCTEST_CHECK(DrainTiming::returnShare(Seconds(5)) == doctest::Approx(0.5));
  DOCTEST_CHECK(!decideDrain(*Returning, input(Wish::None, Seconds(9))));
  const auto In = decideDrain(*Returning, input(Wish::None, Seconds(10)));
  DOCTEST_CHECK(In->Phase == DrainPhase::In);
}

DOCTEST_TEST_CASE("the rest carries the load only shard by shard") {
  const DrainTarget Domain{DrainTarget::Kind::Domain, "fd1"};
  const ShardLoad Light[] = {shard(0.5, 0.5)};
  DOCTEST_CHECK(!whyRestCannotCarry(Light, Domain));
  const ShardLoad Heavy[] = {shard(0.1, 0.1), shard(1.2, 1.2)};
  DOCTEST_CHECK(whyRestCannotCarry(Heavy, Domain));
  ShardLoad Alone = shard(0.1, 0.1);
  Alone.Replicas[1].Bears = 0;
  const ShardLoad Single[] = {Alone};
  DOCTEST_CHECK(*whyRestCannotCarry(Single, Domain) ==
                "bench shard 0: no replica would be left");
  const DrainTarget Other{DrainTarget::Kind::Vm, "up-c"};
  DOCTEST_CHECK(!whyRestCannotCarry(Heavy, Other));
}

DOCTEST_TEST_CASE("a move document reads back as it was written, and the "
                  "state alone is enough") {
  for (const auto Phase : {DrainPhase::In, DrainPhase::Leaving, DrainPhase::Out,
                           DrainPhase::Returning}) {
    DrainDocument Document;
    Document.Phase = Phase;
    Document.Reason = "why";
    DOCTEST_CHECK(drainFromJson(toJson(Document), "doc") == Document);
  }
  const auto Out = parseJson(R"({"state": "out"})", "doc");
  DOCTEST_CHECK(drainFromJson(Out, "doc").Phase == DrainPhase::Out);
  const auto Odd = parseJson(R"({"state": "in", "phase": "out"})", "doc");
  DOCTEST_CHECK_THROWS_AS(drainFromJson(Odd, "doc"), SettingsError);
}
