#include "citronlever/src/Broker/internal/LeafStartDetector.h"

#include <doctest/doctest.h>

using namespace citronlever;
using namespace citronlever::internal;

DOCTEST_TEST_CASE("the start of a leaf is distinguished from a takeover") {
  LeafStartDetector Detector;
  TimePoint Now{Seconds(100)};
  const auto Observe = [&](LeafPhase Phase, Duration Later) {
    Now += Later;
    return Detector.observe(3, Phase, Now);
  };
  using enum LeafStartEvent;
  DOCTEST_CHECK((Observe(LeafPhase::Cold, Seconds(0)) == FirstContact));
  DOCTEST_CHECK((Observe(LeafPhase::Cold, Milliseconds(10)) == None));
  DOCTEST_CHECK((Observe(LeafPhase::Warm, Milliseconds(10)) == None));
  DOCTEST_CHECK((Observe(LeafPhase::Cold, Milliseconds(10)) == Restarted));
  DOCTEST_CHECK((Observe(LeafPhase::Warm, Milliseconds(10)) == None));
  // After a longer pause the group may have had another owner.
  const Duration TooLong = LeafStartDetector::MaxCallGap + Milliseconds(1);
  DOCTEST_CHECK((Observe(LeafPhase::Cold, TooLong) == None));
}
