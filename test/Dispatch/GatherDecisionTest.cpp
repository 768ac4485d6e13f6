#include "citronlever/Dispatch"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

GatherProgress state(std::size_t Parts, std::size_t Open) {
  return {20, Parts, Open, 0.89, Start + Milliseconds(80), Start + Seconds(1)};
}

} // namespace

DOCTEST_TEST_CASE("all parts are answered at once") {
  DOCTEST_CHECK(nextStep(state(20, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("missing parts are worth waiting for until the objective") {
  DOCTEST_CHECK(nextStep(state(19, 1), Start) == GatherDecision::Wait);
  DOCTEST_CHECK(nextStepAt(state(19, 1), Start) == Start + Milliseconds(80));
  DOCTEST_CHECK(nextStep(state(19, 1), Start + Milliseconds(80)) ==
                GatherDecision::Answer);
}

DOCTEST_TEST_CASE("below the least coverage the objective is passed") {
  DOCTEST_CHECK(nextStep(state(17, 3), Start + Milliseconds(90)) ==
                GatherDecision::Wait);
  DOCTEST_CHECK(nextStep(state(18, 2), Start + Milliseconds(90)) ==
                GatherDecision::Answer);
  DOCTEST_CHECK(nextStep(state(17, 3), Start + Seconds(1)) ==
                GatherDecision::GiveUp);
}

DOCTEST_TEST_CASE(
    "coverage that can't be reached any more is given up at once") {
  DOCTEST_CHECK(nextStep(state(10, 7), Start) == GatherDecision::GiveUp);
  DOCTEST_CHECK(nextStep(state(10, 8), Start) == GatherDecision::Wait);
}

DOCTEST_TEST_CASE("nothing is waited for that can't come") {
  DOCTEST_CHECK(nextStep(state(18, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("a share is reached exactly, and never without a part") {
  DOCTEST_CHECK(covers(89, 100, 0.89));
  DOCTEST_CHECK(!covers(88, 100, 0.89));
  DOCTEST_CHECK(!covers(0, 100, 0));
}
