#include "citronlever/Contracts"

#include <doctest/doctest.h>

#include <algorithm>

using namespace citronlever;

namespace {

struct ServedFractions {
  double High = 0;
  double Low = 0;
  double RefusedByBroker = 0;
};

/// Offers twice the load that the broker can serve, half of it in each
/// priority.
/// \param Shed whether the entry sheds load.
ServedFractions overload(bool Shed) {
  constexpr int CapacityPerTick = 10;
  LoadShedder Shedder;
  TimePoint Now{Seconds(10)};
  ServedFractions Result;
  int Count[2] = {0, 0};
  int Total = 0;
  for (int Tick = 0; Tick < 3000; ++Tick) {
    Now += Milliseconds(10);
    int Taken = 0;
    for (int Call = 0; Call < 2 * CapacityPerTick; ++Call) {
      const std::uint32_t Priority = Call % 2 == 0 ? 1 : 5;
      if (Shed && !Shedder.admit(Priority, Now))
        continue;
      const bool Overloaded = Taken >= CapacityPerTick;
      Taken += Overloaded ? 0 : 1;
      Shedder.recordCompletion(Overloaded, Now);
      if (Tick < 1000)
        continue;
      ++Total;
      Result.RefusedByBroker += Overloaded ? 1 : 0;
      Count[Priority == 1 ? 0 : 1] += Overloaded ? 0 : 1;
    }
  }
  constexpr double Offered = 2000.0 * CapacityPerTick;
  Result.High = Count[0] / Offered;
  Result.Low = Count[1] / Offered;
  Result.RefusedByBroker /= Total;
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("overload is shed at the entry, low priority first") {
  const ServedFractions With = overload(true);
  const ServedFractions Without = overload(false);
  DOCTEST_INFO("with ", With.High, " ", With.Low, " ", With.RefusedByBroker);
  DOCTEST_INFO("without ", Without.High, " ", Without.Low, " ",
               Without.RefusedByBroker);
  DOCTEST_CHECK(With.High >= 0.95);
  DOCTEST_CHECK(With.RefusedByBroker <= 0.05);
  DOCTEST_CHECK(Without.High <= 0.6);
  DOCTEST_CHECK(Without.RefusedByBroker >= 0.45);
}

DOCTEST_TEST_CASE("shedding ends once brokers stop refusing requests") {
  LoadShedder Shedder;
  TimePoint Now{Seconds(10)};
  for (int Step = 0; Step < 1000; ++Step) {
    Now += Milliseconds(2);
    Shedder.admit(1, Now);
    Shedder.recordCompletion(true, Now);
  }
  DOCTEST_CHECK(Shedder.shedFraction(Now) > 0.5);
  for (int Step = 0; Step < 6000; ++Step) {
    Now += Milliseconds(2);
    Shedder.admit(1, Now);
    Shedder.recordCompletion(false, Now);
  }
  DOCTEST_CHECK(Shedder.shedFraction(Now) == 0);
}

DOCTEST_TEST_CASE(
    "half the capacity is fully admitted soon after an overload") {
  constexpr int Capacity = 40;
  LoadShedder Shedder;
  TimePoint Now{Seconds(10)};
  // Ends the requests of the last window, those above the capacity as lost, and
  // offers new ones. \returns the number admitted.
  const auto Window = [&](int Offer, int &Waiting) {
    Now += LoadShedderSettings().Window;
    for (int Ended = 0; Ended < Waiting; ++Ended)
      Shedder.recordCompletion(Ended >= Capacity, Now);
    Waiting = 0;
    for (int Request = 0; Request < Offer; ++Request)
      Waiting += Shedder.admit(1, Now) ? 1 : 0;
    return Waiting;
  };
  int Waiting = 0;
  int Served = 0;
  for (int Round = 0; Round < 50; ++Round)
    Served += std::min(Capacity, Window(5 * Capacity, Waiting));
  DOCTEST_CHECK(Served >= 0.8 * 50 * Capacity);
  int Refused = 0;
  for (int Round = 0; Round < 20; ++Round)
    Refused += Capacity / 2 - Window(Capacity / 2, Waiting);
  DOCTEST_CHECK(Window(Capacity / 2, Waiting) == Capacity / 2);
  // The moving average of the load follows within half a second.
  DOCTEST_CHECK(Refused <= 5 * Capacity / 2);
}
