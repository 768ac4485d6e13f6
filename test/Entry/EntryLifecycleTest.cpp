#include "citronlever/Entry"

#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "a planned stop waits for discovery answers, then for requests") {
  const TimePoint Start{Seconds(100)};
  EntryLifecycle Life(Seconds(5));
  const auto PhaseAt = [&](Duration Since, std::size_t InFlight) {
    Life.tick(InFlight, Start + Since);
    return std::string(toString(Life.phase()));
  };
  DOCTEST_CHECK(PhaseAt(Seconds(0), 0) == "serving");
  Life.drain(Milliseconds(150), Start);
  DOCTEST_CHECK(PhaseAt(Seconds(0), 0) == "leaving");
  DOCTEST_CHECK(PhaseAt(Milliseconds(15149), 0) == "leaving");
  DOCTEST_CHECK(PhaseAt(Milliseconds(15150), 3) == "refusing");
  DOCTEST_CHECK(PhaseAt(Milliseconds(15200), 1) == "refusing");
  // A second call of drain() has no effect.
  Life.drain(Seconds(10), Start + Seconds(16));
  DOCTEST_CHECK(PhaseAt(Milliseconds(16000), 1) == "refusing");
  DOCTEST_CHECK(PhaseAt(Milliseconds(16010), 0) == "stopped");
}
