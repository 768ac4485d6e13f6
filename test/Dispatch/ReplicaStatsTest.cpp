#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <numeric>

using namespace citronlever;

namespace {

constexpr Duration TypicalLatency = Milliseconds(10);

struct Leaf {
  ReplicaStats Stats;
  ReplicaStats::CallId Last = 0;

  void answer(Duration CallTime, TimePoint &Now) {
    this->Stats.onSent(++this->Last, Now);
    Now += CallTime;
    this->Stats.onAnswer(this->Last, TypicalLatency, Now);
  }
};

} // namespace

DOCTEST_TEST_CASE(
    "slow leaf: it costs more than a healthy one after three answers") {
  TimePoint Now{Seconds(100)};
  Leaf Slow;
  Leaf Healthy;
  Healthy.answer(TypicalLatency, Now);
  for (int Count = 0; Count < 3; ++Count)
    Slow.answer(8 * TypicalLatency, Now);
  DOCTEST_CHECK(Slow.Stats.cost(TypicalLatency, Now) >
                1.5 * Healthy.Stats.cost(TypicalLatency, Now));
}

DOCTEST_TEST_CASE(
    "pausing leaf: an overdue call raises the cost before its answer") {
  TimePoint Now{Seconds(100)};
  Leaf Pausing;
  Pausing.answer(TypicalLatency, Now);
  const double Before = Pausing.Stats.cost(TypicalLatency, Now);
  Pausing.Stats.onSent(100, Now);
  DOCTEST_CHECK(Pausing.Stats.cost(TypicalLatency, Now + 4 * TypicalLatency) >
                3 * Before);
}

DOCTEST_TEST_CASE("one pause does not make a leaf slow") {
  TimePoint Now{Seconds(100)};
  Leaf Paused;
  Paused.answer(TypicalLatency, Now);
  Paused.answer(Milliseconds(120), Now);
  DOCTEST_CHECK(Paused.Stats.slowness(Now) < 2.2);
}

DOCTEST_TEST_CASE(
    "full leaf: determined by outstanding calls and by recent load reports") {
  TimePoint Now{Seconds(100)};
  Leaf Busy;
  DOCTEST_CHECK(!Busy.Stats.isFull(0, Now));
  DOCTEST_CHECK(Busy.Stats.isFull(1, Now));
  Busy.Stats.setInitialSlots(3);
  DOCTEST_CHECK(!Busy.Stats.isFull(2, Now));
  Busy.Stats.onLoadReport({1, 0, 2}, Now);
  DOCTEST_CHECK(!Busy.Stats.isFull(0, Now));
  DOCTEST_CHECK(Busy.Stats.isFull(1, Now));
  Busy.Stats.onLoadReport({2, 1, 2}, Now);
  DOCTEST_CHECK(Busy.Stats.isFull(0, Now));
  DOCTEST_CHECK(!Busy.Stats.isFull(0, Now + Milliseconds(100)));
  Busy.Stats.onSent(1, Now);
  Busy.Stats.onSent(2, Now);
  DOCTEST_CHECK(Busy.Stats.isFull(0, Now + Milliseconds(100)));
}

DOCTEST_TEST_CASE("slow leaf: one probe per period detects its recovery") {
  TimePoint Now{Seconds(100)};
  Leaf Slow;
  for (int Count = 0; Count < 5; ++Count)
    Slow.answer(8 * TypicalLatency, Now);
  DOCTEST_CHECK(!Slow.Stats.tryTakeProbe(Now));
  Now += ReplicaStats::ProbePeriod;
  DOCTEST_CHECK(Slow.Stats.tryTakeProbe(Now));
  DOCTEST_CHECK(!Slow.Stats.tryTakeProbe(Now));
  for (int Count = 0; Count < 8; ++Count)
    Slow.answer(TypicalLatency, Now);
  DOCTEST_CHECK(Slow.Stats.slowness(Now) < 1.3);
}

DOCTEST_TEST_CASE(
    "unresponsive leaf: it is excluded, then gets one call at a time") {
  TimePoint Now{Seconds(100)};
  Leaf Unresponsive;
  for (int Count = 0; Count < 2; ++Count) {
    Unresponsive.Stats.onSent(++Unresponsive.Last, Now);
    Now += 20 * TypicalLatency;
    Unresponsive.Stats.onAbandon(Unresponsive.Last, TypicalLatency, Now);
  }
  DOCTEST_CHECK(!Unresponsive.Stats.isAvailable(Now));
  Now += Seconds(2);
  DOCTEST_CHECK(Unresponsive.Stats.isAvailable(Now));
  Unresponsive.Stats.onSent(++Unresponsive.Last, Now);
  DOCTEST_CHECK(!Unresponsive.Stats.isAvailable(Now));
  Unresponsive.Stats.onAnswer(Unresponsive.Last, TypicalLatency,
                              Now + TypicalLatency);
  DOCTEST_CHECK(Unresponsive.Stats.isAvailable(Now + TypicalLatency));
}

DOCTEST_TEST_CASE("lost answers: the leaf costs more but is not excluded, "
                  "since the other replica may lose as many") {
  TimePoint Now{Seconds(100)};
  Leaf Losing;
  Losing.answer(TypicalLatency, Now);
  const double Before = Losing.Stats.cost(TypicalLatency, Now);
  for (int Count = 0; Count < 3; ++Count) {
    Losing.Stats.onSent(++Losing.Last, Now);
    Losing.Stats.onFailure(Losing.Last);
  }
  DOCTEST_CHECK(Losing.Stats.isAvailable(Now));
  DOCTEST_CHECK(Losing.Stats.cost(TypicalLatency, Now) > Before + 2);
}

DOCTEST_TEST_CASE("cold leaf: all senders together stay below its rate") {
  constexpr double PerSecond = 20;
  constexpr std::size_t Senders = 8;
  std::vector<ColdRateLimiter> Limiters(Senders);
  const TimePoint Start{Seconds(100)};
  for (ColdRateLimiter &Limiter : Limiters)
    Limiter.configure(Start + Seconds(10), PerSecond, Senders, Start);
  int Sent = 0;
  for (int Ms = 0; Ms < 1000; ++Ms)
    for (ColdRateLimiter &Limiter : Limiters) {
      const TimePoint Now = Start + Milliseconds(Ms);
      if (!Limiter.canSend(Now))
        continue;
      Limiter.countSend(Now);
      ++Sent;
    }
  DOCTEST_CHECK(Sent <= PerSecond * 1.5 + 5);
  DOCTEST_CHECK(Sent >= PerSecond / 2);
  DOCTEST_CHECK(Limiters[0].canSend(Start + Seconds(11)));
}

DOCTEST_TEST_CASE(
    "connections of all senders together stay within a leaf's cap") {
  for (const int Cap : {26, 36, 51, 110})
    for (std::size_t Senders = 1; Senders <= static_cast<std::size_t>(Cap);
         ++Senders)
      DOCTEST_CHECK(connectionShare(Cap, Senders) * static_cast<int>(Senders) <=
                    Cap);
}

DOCTEST_TEST_CASE(
    "the hedge delay follows the observed quantile, bounded by the objective") {
  RouteLatency Latency(Milliseconds(100));
  TimePoint Now{Seconds(100)};
  DOCTEST_CHECK(Latency.hedgeDelay(Now) <= Milliseconds(30));
  for (int Count = 0; Count < 200; ++Count) {
    Now += Milliseconds(5);
    Latency.addSample(Milliseconds(10 + Count % 10), Now);
  }
  DOCTEST_CHECK(Latency.hedgeDelay(Now) >= Milliseconds(16));
  DOCTEST_CHECK(Latency.hedgeDelay(Now) <= Milliseconds(21));
  DOCTEST_CHECK(Latency.typical() > Milliseconds(9));
  DOCTEST_CHECK(Latency.typical() < Milliseconds(20));
}
