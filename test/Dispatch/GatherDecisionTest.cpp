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

DOCTEST_TEST_CASE("with all parts, the answer is sent at once") {
  DOCTEST_CHECK(decideGather(progress(20, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("missing parts are awaited until the latency objective") {
  DOCTEST_CHECK(decideGather(progress(19, 1), Start) == GatherDecision::Wait);
  DOCTEST_CHECK(nextDecisionAt(progress(19, 1), Start) ==
                Start + Milliseconds(80));
  DOCTEST_CHECK(decideGather(progress(19, 1), Start + Milliseconds(80)) ==
                GatherDecision::Answer);
}

DOCTEST_TEST_CASE("below the minimum coverage, parts are awaited beyond the "
                  "latency objective") {
  DOCTEST_CHECK(decideGather(progress(17, 3), Start + Milliseconds(90)) ==
                GatherDecision::Wait);
  DOCTEST_CHECK(decideGather(progress(18, 2), Start + Milliseconds(90)) ==
                GatherDecision::Answer);
  DOCTEST_CHECK(decideGather(progress(17, 3), Start + Seconds(1)) ==
                GatherDecision::GiveUp);
}

DOCTEST_TEST_CASE(
    "a request fails at once when the minimum coverage is out of reach") {
  DOCTEST_CHECK(decideGather(progress(10, 7), Start) == GatherDecision::GiveUp);
  DOCTEST_CHECK(decideGather(progress(10, 8), Start) == GatherDecision::Wait);
}

DOCTEST_TEST_CASE("an answer does not wait for parts that cannot arrive") {
  DOCTEST_CHECK(decideGather(progress(18, 0), Start) == GatherDecision::Answer);
}

DOCTEST_TEST_CASE("coverage is compared without rounding errors, and zero "
                  "parts never reach it") {
  DOCTEST_CHECK(reachesCoverage(89, 100, 0.89));
  DOCTEST_CHECK(!reachesCoverage(88, 100, 0.89));
  DOCTEST_CHECK(!reachesCoverage(0, 100, 0));
}
