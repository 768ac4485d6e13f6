#include "citronlever/Dispatch"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

GatherProgress progress(std::size_t Received, std::size_t Pending) {
  return {20,
          Received,
          Pending,
          0.89,
          Start + Milliseconds(80),
          Start + Seconds(1)};
}

} // namespace

DOCTEST_TEST_CASE("all parts are answered at once") {
  DOCTEST_CHECK(decideGather(progress(20, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("missing parts are worth waiting for until the objective") {
  DOCTEST_CHECK(decideGather(progress(19, 1), Start) == GatherDecision::Wait);
  DOCTEST_CHECK(nextDecisionAt(progress(19, 1), Start) ==
                Start + Milliseconds(80));
  DOCTEST_CHECK(decideGather(progress(19, 1), Start + Milliseconds(80)) ==
                GatherDecision::Answer);
}

DOCTEST_TEST_CASE("below the least coverage the objective is passed") {
  DOCTEST_CHECK(decideGather(progress(17, 3), Start + Milliseconds(90)) ==
                GatherDecision::Wait);
  DOCTEST_CHECK(decideGather(progress(18, 2), Start + Milliseconds(90)) ==
                GatherDecision::Answer);
  DOCTEST_CHECK(decideGather(progress(17, 3), Start + Seconds(1)) ==
                GatherDecision::GiveUp);
}

DOCTEST_TEST_CASE(
    "coverage that can't be reached any more is given up at once") {
  DOCTEST_CHECK(decideGather(progress(10, 7), Start) == GatherDecision::GiveUp);
  DOCTEST_CHECK(decideGather(progress(10, 8), Start) == GatherDecision::Wait);
}

DOCTEST_TEST_CASE("nothing is waited for that can't come") {
  DOCTEST_CHECK(decideGather(progress(18, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("a share is reached exactly, and never without a part") {
  DOCTEST_CHECK(reachesCoverage(89, 100, 0.89));
  DOCTEST_CHECK(!reachesCoverage(88, 100, 0.89));
  DOCTEST_CHECK(!reachesCoverage(0, 100, 0));
}
