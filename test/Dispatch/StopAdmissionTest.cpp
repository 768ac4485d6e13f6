#include "citronlever/Dispatch"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr ServiceTimeEstimate Order{false, Seconds(6), Milliseconds(400),
                                    Duration::zero()};

ServiceTimeEstimate seen(ServiceTimeEstimate From, Duration Longest) {
  From.Longest = Longest;
  return From;
}

} // namespace

DOCTEST_TEST_CASE("a request that cannot be repeated needs all of its time "
                  "until the route is known, then twice the longest seen") {
  DOCTEST_CHECK((timeNeededToServe(Order) == Seconds(6)));
  DOCTEST_CHECK(
      (timeNeededToServe(seen(Order, Milliseconds(90))) == Milliseconds(180)));
  DOCTEST_CHECK((timeNeededToServe(seen(Order, Seconds(4))) == Seconds(6)));
}

DOCTEST_TEST_CASE("an idempotent request needs the longest time seen, or the "
                  "objective") {
  ServiceTimeEstimate Query = Order;
  Query.Idempotent = true;
  DOCTEST_CHECK((timeNeededToServe(Query) == Milliseconds(400)));
  DOCTEST_CHECK(
      (timeNeededToServe(seen(Query, Milliseconds(90))) == Milliseconds(90)));
  Query.Timeout = Milliseconds(300);
  DOCTEST_CHECK((timeNeededToServe(Query) == Milliseconds(300)));
}

DOCTEST_TEST_CASE("the longest recent time is forgotten after two periods") {
  constexpr TimePoint Now{Seconds(100)};
  RecentMaximum Longest(Seconds(10));
  DOCTEST_CHECK(Longest.value() == Duration::zero());
  Longest.add(Seconds(3), Now);
  Longest.add(Seconds(1), Now + Seconds(11));
  DOCTEST_CHECK((Longest.value() == Seconds(3)));
  Longest.add(Seconds(1), Now + Seconds(22));
  DOCTEST_CHECK((Longest.value() == Seconds(1)));
}
