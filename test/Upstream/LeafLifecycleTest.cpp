#include "citronlever/Upstream"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

void succeed(LeafLifecycle &State, int Times, TimePoint Now) {
  for (int Count = 0; Count < Times; ++Count)
    State.succeeded(Now);
}

LeafLifecycle warm(LeafLifecycleSettings Settings = {}) {
  LeafLifecycle Result(Settings, Start);
  succeed(Result, 100, Start + Seconds(1));
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a cold leaf widens by successes, not by time") {
  LeafLifecycleSettings Settings;
  Settings.Slots = 4;
  LeafLifecycle State(Settings, Start);
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
  State.tick(Start + Seconds(60));
  DOCTEST_CHECK(State.allowed(Start + Seconds(60)) == 1);
  succeed(State, Settings.ColdSuccesses, Start + Seconds(60));
  DOCTEST_CHECK((State.phase() == LeafPhase::Ramping));
  DOCTEST_CHECK(State.allowed(Start + Seconds(60)) == 1);
  succeed(State, Settings.RampSuccesses, Start + Seconds(61));
  DOCTEST_CHECK(State.allowed(Start + Seconds(61)) == 2);
  succeed(State, 3 * Settings.RampSuccesses, Start + Seconds(61));
  DOCTEST_CHECK((State.phase() == LeafPhase::Warm));
  DOCTEST_CHECK(State.allowed(Start + Seconds(61)) == 4);
}

DOCTEST_TEST_CASE("many quick successes do not end the cold phase at once") {
  LeafLifecycle State({}, Start);
  succeed(State, 1000, Start + Milliseconds(1));
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE("a restart sign turns a warm leaf cold") {
  LeafLifecycle State = warm();
  DOCTEST_CHECK((State.phase() == LeafPhase::Warm));
  State.turnedCold(Start + Seconds(2));
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
  DOCTEST_CHECK(State.allowed(Start + Seconds(2)) == 1);
}

DOCTEST_TEST_CASE("a failing leaf gets single probes, ever more rarely") {
  const LeafLifecycleSettings Settings;
  LeafLifecycle State = warm();
  TimePoint Now = Start + Seconds(2);
  for (int Count = 0; Count < Settings.FailuresToFail; ++Count)
    State.failed(Now);
  DOCTEST_CHECK((State.phase() == LeafPhase::Failed));
  DOCTEST_CHECK(State.allowed(Now) == 0);
  Now += Settings.ProbeMin;
  DOCTEST_CHECK(State.allowed(Now) == 1);
  State.probed(Now);
  DOCTEST_CHECK(State.allowed(Now) == 0);
  State.failed(Now);
  DOCTEST_CHECK(State.allowed(Now + Settings.ProbeMin) == 0);
  Now += 2 * Settings.ProbeMin;
  DOCTEST_CHECK(State.allowed(Now) == 1);
  State.succeeded(Now);
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE("what is out stays out until it is put in, then is cold") {
  LeafLifecycle State = warm();
  State.takenOut(Start + Seconds(2));
  succeed(State, 100, Start + Seconds(3));
  State.tick(Start + Seconds(1000));
  DOCTEST_CHECK((State.phase() == LeafPhase::Out));
  DOCTEST_CHECK(State.allowed(Start + Seconds(1000)) == 0);
  State.putIn(Start + Seconds(1001));
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
}

DOCTEST_TEST_CASE("a draining leaf gets nothing, then one cold try") {
  const LeafLifecycleSettings Settings;
  LeafLifecycle State = warm();
  State.draining(Start + Seconds(2));
  DOCTEST_CHECK(State.allowed(Start + Seconds(2)) == 0);
  State.tick(Start + Seconds(2) + Settings.DrainRetry - Milliseconds(1));
  DOCTEST_CHECK((State.phase() == LeafPhase::Draining));
  State.tick(Start + Seconds(2) + Settings.DrainRetry);
  DOCTEST_CHECK((State.phase() == LeafPhase::Cold));
}
