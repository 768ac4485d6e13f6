#include "citronlever/Upstream"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

void succeed(LeafLifecycle &Lifecycle, int Times, TimePoint Now) {
  for (int Count = 0; Count < Times; ++Count)
    Lifecycle.onSuccess(Now);
}

LeafLifecycle warmLeaf(LeafLifecycleSettings Settings = {}) {
  LeafLifecycle Result(Settings, Start);
  succeed(Result, 100, Start + Seconds(1));
  return Result;
}

} // namespace

DOCTEST_TEST_CASE(
    "the limit of a cold leaf rises with successes, not with time") {
  LeafLifecycleSettings Settings;
  Settings.Slots = 4;
  LeafLifecycle Lifecycle(Settings, Start);
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
  Lifecycle.tick(Start + Seconds(60));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(60)) == 1);
  succeed(Lifecycle, Settings.ColdSuccesses, Start + Seconds(60));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Ramping));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(60)) == 1);
  succeed(Lifecycle, Settings.SuccessesPerSlot, Start + Seconds(61));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(61)) == 2);
  succeed(Lifecycle, 3 * Settings.SuccessesPerSlot, Start + Seconds(61));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Warm));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(61)) == 4);
}

DOCTEST_TEST_CASE(
    "many successes do not end the cold phase before its minimum time") {
  LeafLifecycle Lifecycle({}, Start);
  succeed(Lifecycle, 1000, Start + Milliseconds(1));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE("a restart sign turns a warm leaf cold") {
  LeafLifecycle Lifecycle = warmLeaf();
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Warm));
  Lifecycle.onColdSign(Start + Seconds(2));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(2)) == 1);
}

DOCTEST_TEST_CASE("a failed leaf gets single probes at increasing intervals") {
  const LeafLifecycleSettings Settings;
  LeafLifecycle Lifecycle = warmLeaf();
  TimePoint Now = Start + Seconds(2);
  for (int Count = 0; Count < Settings.ConsecutiveFailuresToFail; ++Count)
    Lifecycle.onFailure(Now);
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Failed));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Now) == 0);
  Now += Settings.MinProbeInterval;
  DOCTEST_CHECK(Lifecycle.maxInFlight(Now) == 1);
  Lifecycle.onProbeSent(Now);
  DOCTEST_CHECK(Lifecycle.maxInFlight(Now) == 0);
  Lifecycle.onFailure(Now);
  DOCTEST_CHECK(Lifecycle.maxInFlight(Now + Settings.MinProbeInterval) == 0);
  Now += 2 * Settings.MinProbeInterval;
  DOCTEST_CHECK(Lifecycle.maxInFlight(Now) == 1);
  Lifecycle.onSuccess(Now);
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE(
    "a leaf out of service stays so until returned, then it is cold") {
  LeafLifecycle Lifecycle = warmLeaf();
  Lifecycle.takeOutOfService(Start + Seconds(2));
  succeed(Lifecycle, 100, Start + Seconds(3));
  Lifecycle.tick(Start + Seconds(1000));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::OutOfService));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(1000)) == 0);
  Lifecycle.returnToService(Start + Seconds(1001));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE("a draining leaf gets no requests, then is retried as cold") {
  const LeafLifecycleSettings Settings;
  LeafLifecycle Lifecycle = warmLeaf();
  Lifecycle.onDraining(Start + Seconds(2));
  DOCTEST_CHECK(Lifecycle.maxInFlight(Start + Seconds(2)) == 0);
  Lifecycle.tick(Start + Seconds(2) + Settings.DrainRetryDelay -
                 Milliseconds(1));
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Draining));
  Lifecycle.tick(Start + Seconds(2) + Settings.DrainRetryDelay);
  DOCTEST_CHECK((Lifecycle.phase() == LeafPhase::Cold));
}
