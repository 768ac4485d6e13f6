#include "citronlever/Upstream"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr int Slots = 4;

/// Records \p Count answers of one latency, 5 ms apart.
/// \returns whether the limit reported a cold leaf.
bool recordAnswers(ConcurrencyLimit &Limit, int Count, Duration Latency,
                   TimePoint &Now) {
  bool Cold = false;
  for (int Index = 0; Index < Count; ++Index) {
    Now += Milliseconds(5);
    Cold = Limit.onAnswer(Latency, Now) || Cold;
  }
  return Cold;
}

} // namespace

DOCTEST_TEST_CASE("shed replies lower the limit, answers raise it again") {
  TimePoint Now{Seconds(1)};
  ConcurrencyLimit Limit(Slots);
  recordAnswers(Limit, 50, Milliseconds(5), Now);
  DOCTEST_CHECK(Limit.limit(Now) == Slots);
  for (int Count = 0; Count < 10; ++Count) {
    Now += Milliseconds(100);
    Limit.onShed(Now);
  }
  DOCTEST_CHECK(Limit.limit(Now) == 1);
  recordAnswers(Limit, 50, Milliseconds(5), Now);
  DOCTEST_CHECK(Limit.limit(Now) == Slots);
}

DOCTEST_TEST_CASE("a lasting rise of the latency lowers the limit") {
  TimePoint Now{Seconds(1)};
  ConcurrencyLimit Limit(Slots);
  recordAnswers(Limit, 100, Milliseconds(5), Now);
  const bool Cold = recordAnswers(Limit, 60, Milliseconds(18), Now);
  DOCTEST_CHECK(!Cold);
  DOCTEST_CHECK(Limit.limit(Now) < Slots);
}

DOCTEST_TEST_CASE(
    "single stragglers neither lower the limit nor show a cold leaf") {
  TimePoint Now{Seconds(1)};
  ConcurrencyLimit Limit(Slots);
  recordAnswers(Limit, 100, Milliseconds(5), Now);
  for (int Round = 0; Round < 20; ++Round) {
    DOCTEST_CHECK(!recordAnswers(Limit, 1, Milliseconds(100), Now));
    DOCTEST_CHECK(Limit.limit(Now) == Slots);
    recordAnswers(Limit, 20, Milliseconds(5), Now);
  }
}

DOCTEST_TEST_CASE("several answers far above the baseline show a cold leaf") {
  TimePoint Now{Seconds(1)};
  ConcurrencyLimit Limit(Slots);
  recordAnswers(Limit, 100, Milliseconds(5), Now);
  DOCTEST_CHECK(recordAnswers(Limit, 5, Milliseconds(60), Now));
}

DOCTEST_TEST_CASE("another sender's load halves the limit until it ends") {
  TimePoint Now{Seconds(1)};
  ConcurrencyLimit Limit(Slots);
  Limit.onReportedLoad(3, 2, Now);
  DOCTEST_CHECK(Limit.limit(Now) == Slots);
  Limit.onReportedLoad(3, 2, Now);
  Limit.onReportedLoad(3, 2, Now);
  DOCTEST_CHECK(Limit.limit(Now) == Slots / 2);
  Limit.onReportedLoad(2, 2, Now);
  DOCTEST_CHECK(Limit.limit(Now + Seconds(3)) == Slots);
}
