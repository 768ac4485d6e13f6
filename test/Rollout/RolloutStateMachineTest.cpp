#include "citronlever/Core"
#include "citronlever/Rollout"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

constexpr Duration Deadline = Seconds(100);

RolloutDocument runningRollout() {
  return makeRolloutDocument("r1", "bench", "v1", "v2", Deadline, 5);
}

RolloutInput inputAt(Duration Elapsed) {
  RolloutInput Input;
  Input.Elapsed = Elapsed;
  Input.FencingToken = 5;
  return Input;
}

RolloutInput provedInputAt(Duration Elapsed) {
  RolloutInput Input = inputAt(Elapsed);
  Input.ProvedGood = true;
  return Input;
}

} // namespace

DOCTEST_TEST_CASE(
    "the share of a proved version rises step by step until it completes") {
  RolloutDocument Document = runningRollout();
  double Share = Document.Share;
  for (Duration Now{}; Now < Deadline; Now += Milliseconds(500)) {
    RolloutInput Input = provedInputAt(Now);
    Input.ServiceSwitched = Document.Phase == RolloutPhase::Completing;
    const auto Next = decideRollout(Document, Input);
    if (!Next)
      continue;
    Document = *Next;
    DOCTEST_CHECK(Document.Share >= Share);
    Share = Document.Share;
  }
  DOCTEST_CHECK(Document.Phase == RolloutPhase::Completed);
}

DOCTEST_TEST_CASE(
    "without proof the share stays, and the deadline rolls back") {
  const RolloutDocument Document = runningRollout();
  DOCTEST_CHECK(!decideRollout(Document, inputAt(Seconds(90))));
  const auto Ended = decideRollout(Document, inputAt(Deadline));
  DOCTEST_REQUIRE(Ended);
  DOCTEST_CHECK(Ended->Phase == RolloutPhase::RolledBack);
  DOCTEST_CHECK(Ended->Share == 0);
  DOCTEST_CHECK(Ended->Reason ==
                "the deadline passed before the version proved good");
}

DOCTEST_TEST_CASE("a bad reason takes precedence over all other inputs") {
  RolloutDocument Document = runningRollout();
  for (const auto Phase : {RolloutPhase::Canary, RolloutPhase::Ramping,
                           RolloutPhase::Completing}) {
    Document.Phase = Phase;
    RolloutInput Input = provedInputAt(Deadline);
    Input.ServiceSwitched = true;
    Input.BadReason = "fails";
    const auto Next = decideRollout(Document, Input);
    DOCTEST_REQUIRE(Next);
    DOCTEST_CHECK(Next->Phase == RolloutPhase::RolledBack);
    DOCTEST_CHECK(Next->Reason == "fails");
  }
}

DOCTEST_TEST_CASE("completion waits for the service document, past the "
                  "deadline if necessary") {
  RolloutDocument Document = runningRollout();
  Document.Phase = RolloutPhase::Completing;
  DOCTEST_CHECK(!decideRollout(Document, inputAt(Deadline + Seconds(60))));
  RolloutInput Input = inputAt(Deadline + Seconds(61));
  Input.ServiceSwitched = true;
  DOCTEST_CHECK(decideRollout(Document, Input)->Phase ==
                RolloutPhase::Completed);
}

DOCTEST_TEST_CASE("a controller with an older lease decides nothing") {
  RolloutInput Input = inputAt(Deadline);
  Input.FencingToken = 4;
  DOCTEST_CHECK(!decideRollout(runningRollout(), Input));
}

DOCTEST_TEST_CASE(
    "any sequence of decisions ends in time, and final phases are final") {
  DOCTEST_CHECK(rc::check([] {
    RolloutDocument Document = runningRollout();
    Duration Now{};
    while (Now < Deadline + Seconds(1)) {
      Now += Milliseconds(*rc::gen::inRange(100, 5000));
      RolloutInput Input = inputAt(Now);
      Input.ProvedGood = *rc::gen::arbitrary<bool>();
      Input.BadReason = *rc::gen::inRange(0, 40) == 0 ? "bad" : "";
      Input.ServiceSwitched = *rc::gen::arbitrary<bool>();
      const bool Ended = Document.isFinished();
      const auto Next = decideRollout(Document, Input);
      RC_ASSERT(!(Ended && Next));
      if (!Next)
        continue;
      RC_ASSERT(Next->Step <= Document.Step + 1);
      RC_ASSERT(Input.BadReason.empty() || Next->Share == 0);
      Document = *Next;
    }
    RC_ASSERT(Document.isFinished() ||
              Document.Phase == RolloutPhase::Completing);
  }));
}

DOCTEST_TEST_CASE("a rollout document survives serialization") {
  RolloutDocument Document = runningRollout();
  Document.Phase = RolloutPhase::Ramping;
  Document.Step = 2;
  Document.Share = 0.4;
  Document.Elapsed = Milliseconds(70123);
  Document.Reason = "why";
  DOCTEST_CHECK(rolloutFromJson(toJson(Document), "doc") == Document);
  const auto Text = parseJson(R"({"id": "r", "state": "odd"})", "doc");
  DOCTEST_CHECK_THROWS_AS(rolloutFromJson(Text, "doc"), SettingsError);
}
