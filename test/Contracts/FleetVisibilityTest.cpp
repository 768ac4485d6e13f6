#include "citronlever/Contracts"

#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "the visible fractions of two sides of a partition add up to one") {
  FleetVisibility Left;
  FleetVisibility Right;
  TimePoint Now{Seconds(10)};
  Left.update(8, Now);
  Right.update(8, Now);
  Now += Seconds(3);
  DOCTEST_CHECK(Left.update(5, Now) + Right.update(3, Now) ==
                doctest::Approx(1));
  Now += Seconds(61);
  DOCTEST_CHECK(Left.update(5, Now) == 1);
}
