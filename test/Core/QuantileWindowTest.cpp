#include "citronlever/Core"

#include <doctest/doctest.h>

#include <random>

using namespace citronlever;

DOCTEST_TEST_CASE("the estimate adapts to a change within two periods") {
  QuantileWindow Window(0.9, Seconds(1));
  std::mt19937 Random(7);
  std::uniform_real_distribution<double> Slow(0, 100);
  std::uniform_real_distribution<double> Fast(0, 10);
  TimePoint Now{Seconds(10)};
  for (int I = 0; I < 2000; ++I)
    Window.add(Slow(Random), Now += Milliseconds(1));
  DOCTEST_CHECK(Window.value(Now) == doctest::Approx(90).epsilon(0.1));
  for (int I = 0; I < 2500; ++I)
    Window.add(Fast(Random), Now += Milliseconds(1));
  DOCTEST_CHECK(Window.value(Now) == doctest::Approx(9).epsilon(0.15));
}
