#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <numeric>

using namespace citronlever;

namespace {

constexpr Duration Typical = Milliseconds(10);

struct Leaf {
  ReplicaStats Stats;
  ReplicaStats::CallId Last = 0;

  void answer(Duration Latency, TimePoint &Now) {
    this->Stats.sent(++this->Last, Now);
    Now += Latency;
    this->Stats.answered(this->Last, Typical, Now);
  }
};

} // namespace

DOCTEST_TEST_CASE("slow leaf: it is left within three answers") {
  TimePoint Now{Seconds(100)};
  Leaf Slow;
  Leaf Sound;
  Sound.answer(Typical, Now);
  for (int At = 0; At < 3; ++At)
    Slow.answer(8 * Typical, Now);
  DOCTEST_CHECK(Slow.Stats.cost(Typical, Now) >
                1.5 * Sound.Stats.cost(Typical, Now));
}

DOCTEST_TEST_CASE(
    "pausing leaf: a call that is out too long shows it before its "
    "answer") {
  TimePoint Now{Seconds(100)};
  Leaf Pausing;
  Pausing.answer(Typical, Now);
  const double Before = Pausing.Stats.cost(Typical, Now);
  Pausing.Stats.sent(100, Now);
  DOCTEST_CHECK(Pausing.Stats.cost(Typical, Now + 4 * Typical) > 3 * Before);
}

DOCTEST_TEST_CASE("one pause does not make a leaf slow") {
  TimePoint Now{Seconds(100)};
  Leaf Paused;
  Paused.answer(Typical, Now);
  Paused.answer(Milliseconds(120), Now);
  DOCTEST_CHECK(Paused.Stats.slowness(Now) < 2.2);
}

DOCTEST_TEST_CASE("full leaf: by what is out, and by what it said of late") {
  TimePoint Now{Seconds(100)};
  Leaf Busy;
  DOCTEST_CHECK(!Busy.Stats.full(0, Now));
  DOCTEST_CHECK(Busy.Stats.full(1, Now));
  Busy.Stats.expectSlots(3);
  DOCTEST_CHECK(!Busy.Stats.full(2, Now));
  Busy.Stats.reported({1, 0, 2}, Now);
  DOCTEST_CHECK(!Busy.Stats.full(0, Now));
  DOCTEST_CHECK(Busy.Stats.full(1, Now));
  Busy.Stats.reported({2, 1, 2}, Now);
  DOCTEST_CHECK(Busy.Stats.full(0, Now));
  DOCTEST_CHECK(!Busy.Stats.full(0, Now + Milliseconds(100)));
  Busy.Stats.sent(1, Now);
  Busy.Stats.sent(2, Now);
  DOCTEST_CHECK(Busy.Stats.full(0, Now + Milliseconds(100)));
}

DOCTEST_TEST_CASE("slow leaf: one copy in each period shows its recovery") {
  TimePoint Now{Seconds(100)};
  Leaf Slow;
  for (int At = 0; At < 5; ++At)
    Slow.answer(8 * Typical, Now);
  DOCTEST_CHECK(!Slow.Stats.takeProbe(Now));
  Now += ReplicaStats::ProbePeriod;
  DOCTEST_CHECK(Slow.Stats.takeProbe(Now));
  DOCTEST_CHECK(!Slow.Stats.takeProbe(Now));
  for (int At = 0; At < 8; ++At)
    Slow.answer(Typical, Now);
  DOCTEST_CHECK(Slow.Stats.slowness(Now) < 1.3);
}

DOCTEST_TEST_CASE("dark leaf: silence sets it aside, then one call at a time") {
  TimePoint Now{Seconds(100)};
  Leaf Dark;
  for (int At = 0; At < 2; ++At) {
    Dark.Stats.sent(++Dark.Last, Now);
    Now += 20 * Typical;
    Dark.Stats.abandoned(Dark.Last, Typical, Now);
  }
  DOCTEST_CHECK(!Dark.Stats.available(Now));
  Now += Seconds(2);
  DOCTEST_CHECK(Dark.Stats.available(Now));
  Dark.Stats.sent(++Dark.Last, Now);
  DOCTEST_CHECK(!Dark.Stats.available(Now));
  Dark.Stats.answered(Dark.Last, Typical, Now + Typical);
  DOCTEST_CHECK(Dark.Stats.available(Now + Typical));
}

DOCTEST_TEST_CASE(
    "lost answers: the leaf costs more but is not set aside, since "
    "its sibling may lose as many") {
  TimePoint Now{Seconds(100)};
  Leaf Losing;
  Losing.answer(Typical, Now);
  const double Before = Losing.Stats.cost(Typical, Now);
  for (int At = 0; At < 3; ++At) {
    Losing.Stats.sent(++Losing.Last, Now);
    Losing.Stats.failed(Losing.Last);
  }
  DOCTEST_CHECK(Losing.Stats.available(Now));
  DOCTEST_CHECK(Losing.Stats.cost(Typical, Now) > Before + 2);
}

DOCTEST_TEST_CASE("cold leaf: all senders together stay under what it bears") {
  constexpr double PerSecond = 20;
  constexpr std::size_t Senders = 8;
  std::vector<ColdRateLimiter> Gates(Senders);
  const TimePoint Start{Seconds(100)};
  for (ColdRateLimiter &Gate : Gates)
    Gate.set(Start + Seconds(10), PerSecond, Senders, Start);
  int Sent = 0;
  for (int Ms = 0; Ms < 1000; ++Ms)
    for (ColdRateLimiter &Gate : Gates) {
      const TimePoint Now = Start + Milliseconds(Ms);
      if (!Gate.mayTake(Now))
        continue;
      Gate.take(Now);
      ++Sent;
    }
  DOCTEST_CHECK(Sent <= PerSecond * 1.5 + 5);
  DOCTEST_CHECK(Sent >= PerSecond / 2);
  DOCTEST_CHECK(Gates[0].mayTake(Start + Seconds(11)));
}

DOCTEST_TEST_CASE("every sender at once stays within a leaf's connections") {
  for (const int Cap : {26, 36, 51, 110})
    for (std::size_t Senders = 1; Senders <= static_cast<std::size_t>(Cap);
         ++Senders)
      DOCTEST_CHECK(connectionShare(Cap, Senders) * static_cast<int>(Senders) <=
                    Cap);
}

DOCTEST_TEST_CASE(
    "a hedge waits for the observed quantile, within the objective") {
  RouteLatency Figures(Milliseconds(100));
  TimePoint Now{Seconds(100)};
  DOCTEST_CHECK(Figures.hedgeAfter(Now) <= Milliseconds(30));
  for (int At = 0; At < 200; ++At) {
    Now += Milliseconds(5);
    Figures.answered(Milliseconds(10 + At % 10), Now);
  }
  DOCTEST_CHECK(Figures.hedgeAfter(Now) >= Milliseconds(16));
  DOCTEST_CHECK(Figures.hedgeAfter(Now) <= Milliseconds(21));
  DOCTEST_CHECK(Figures.typical() > Milliseconds(9));
  DOCTEST_CHECK(Figures.typical() < Milliseconds(20));
}
