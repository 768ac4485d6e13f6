#include "citronlever/Edge"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};
constexpr Duration Timeout = Seconds(6);

} // namespace

DOCTEST_TEST_CASE("a planned stop serves until callers have dropped the "
                  "address, then ends with its last request") {
  const Duration TimeToLive = PlannedStop::longestTimeToLive(Timeout);
  PlannedStop Stop(Timeout, TimeToLive);
  Stop.begin(Start);
  DOCTEST_CHECK(!Stop.isDone(0, Start + 3 * TimeToLive));
  DOCTEST_CHECK(Stop.addressesExpireAt() >= Start + 3 * TimeToLive);
  DOCTEST_CHECK(!Stop.isDone(1, Stop.addressesExpireAt()));
  DOCTEST_CHECK(Stop.isDone(0, Stop.addressesExpireAt()));
}

DOCTEST_TEST_CASE("a planned stop ends before the process is killed, whatever "
                  "is left") {
  for (const Duration Limit : {Milliseconds(0), Milliseconds(500),
                               Milliseconds(6000), Milliseconds(60'000)}) {
    PlannedStop Stop(Limit, Seconds(2));
    Stop.begin(Start);
    DOCTEST_CHECK(Stop.isDone(5, Stop.deadline()));
    DOCTEST_CHECK(Stop.deadline() <= Start + Limit);
    DOCTEST_CHECK(Stop.addressesExpireAt() <= Stop.lastAnswersAt());
    DOCTEST_CHECK(Stop.lastAnswersAt() <= Stop.deadline());
    DOCTEST_CHECK(!Stop.isDone(5, Stop.deadline() - Milliseconds(1)));
  }
}

DOCTEST_TEST_CASE("the time to live follows from the time for a stop") {
  DOCTEST_CHECK(
      (PlannedStop::longestTimeToLive(Seconds(6)) == Milliseconds(1600)));
  DOCTEST_CHECK(
      (PlannedStop::longestTimeToLive(Seconds(0)) == Milliseconds(100)));
  DOCTEST_CHECK((PlannedStop::longestTimeToLive(Seconds(600)) == Seconds(5)));
}
