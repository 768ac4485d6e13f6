#include "citronlever/Core"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "a bucket never hands out more than burst plus rate times elapsed time") {
  DOCTEST_CHECK(rc::check([] {
    const double Rate = *rc::gen::inRange(1, 1000);
    const double Burst = *rc::gen::inRange(1, 50);
    TokenBucket Bucket(Rate, Burst);
    TimePoint Now{Seconds(1)};
    const TimePoint Start = Now;
    double Taken = 0;
    for (int Step = 0; Step < 200; ++Step) {
      Now += Milliseconds(*rc::gen::inRange(0, 20));
      if (Bucket.tryTake(1, Now))
        Taken += 1;
      const double Elapsed = std::chrono::duration<double>(Now - Start).count();
      RC_ASSERT(Taken <= Burst + Rate * Elapsed + 1e-6);
    }
  }));
}
