#include "citronlever/Dispatch"

#include "citronlever/src/Core/Hash.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace citronlever;

namespace {

TimePoint at(double Time) {
  return TimePoint{} + Seconds(3600) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Time));
}

int sendAll(StatedRateLimiter &Limiter, TimePoint Now) {
  int Sent = 0;
  while (Sent < 1000 && Limiter.canSend(Now)) {
    Limiter.countSend(Now);
    ++Sent;
  }
  return Sent;
}

} // namespace

DOCTEST_TEST_CASE("a stated rate is a decimal number of at least 0") {
  const std::vector<std::pair<std::string, std::optional<double>>> Cases = {
      {"1.9", 1.9},
      {"0", 0.0},
      {" 12 ", 12.0},
      {"1e3", 1000.0},
      {"1e300", 1e9},
      {"-1", std::nullopt},
      {"", std::nullopt},
      {"x", std::nullopt},
      {"nan", std::nullopt},
      {"inf", std::nullopt},
      {"1.9 a second", std::nullopt},
      {"1e999", std::nullopt},
      {"-0", std::nullopt}};
  for (const auto &Case : Cases) {
    DOCTEST_CAPTURE(Case.first);
    DOCTEST_CHECK(parseStatedRate(Case.first) == Case.second);
  }
}

DOCTEST_TEST_CASE("without a statement any rate is sent") {
  StatedRateLimiter Limiter;
  DOCTEST_CHECK(sendAll(Limiter, at(0)) == 1000);
  DOCTEST_CHECK(Limiter.canSendCopy(at(0)));
}

DOCTEST_TEST_CASE("a process alone sends the rate and a second's worth more") {
  StatedRateLimiter Limiter;
  Limiter.onStated({10, at(0)}, at(0));
  int Sent = 0;
  for (int Tick = 0; Tick < 400; ++Tick)
    Sent += sendAll(Limiter, at(Tick * 0.01));
  DOCTEST_CHECK(Sent == 49);
  DOCTEST_CHECK(sendAll(Limiter, at(60)) == 12);
}

DOCTEST_TEST_CASE("a limit that falls takes what was saved up") {
  StatedRateLimiter Limiter;
  Limiter.onStated({100, at(0)}, at(0));
  Limiter.onStated({10, at(30)}, at(30));
  DOCTEST_CHECK(sendAll(Limiter, at(30)) == 12);
}

DOCTEST_TEST_CASE("a limit of zero is tried now and then") {
  StatedRateLimiter Limiter;
  Limiter.onStated({0, at(0)}, at(0));
  DOCTEST_CHECK(sendAll(Limiter, at(2.9)) == 0);
  DOCTEST_CHECK(sendAll(Limiter, at(4.1)) == 1);
}

DOCTEST_TEST_CASE("an answer without a limit ends it, an older one doesn't") {
  StatedRateLimiter Limiter;
  Limiter.onStated({1, at(2)}, at(2));
  DOCTEST_CHECK_FALSE(Limiter.onStated({std::nullopt, at(1)}, at(2)));
  DOCTEST_CHECK(Limiter.isLimited());
  DOCTEST_CHECK(Limiter.onStated({std::nullopt, at(3)}, at(3)));
  DOCTEST_CHECK(sendAll(Limiter, at(3)) == 1000);
}

DOCTEST_TEST_CASE("processes without a share take turns after long silence") {
  StatedRateLimiter Limiter;
  Limiter.setPlace({7, 8}, at(0));
  Limiter.onStated({0.1, at(0)}, at(0));
  DOCTEST_CHECK(Limiter.ownRate() == 0);
  DOCTEST_CHECK(sendAll(Limiter, at(16.9)) == 0);
  DOCTEST_CHECK(sendAll(Limiter, at(17.1)) == 1);
  DOCTEST_CHECK_FALSE(Limiter.canSendCopy(at(17.1)));
}

DOCTEST_TEST_CASE("copies need half of the burst, first sends do not") {
  StatedRateLimiter Limiter;
  Limiter.onStated({10, at(0)}, at(0));
  DOCTEST_CHECK(Limiter.canSendCopy(at(60)));
  for (int Call = 0; Call < 7; ++Call)
    Limiter.countSend(at(60));
  DOCTEST_CHECK_FALSE(Limiter.canSendCopy(at(60)));
  DOCTEST_CHECK(Limiter.canSend(at(60)));
}

DOCTEST_TEST_CASE("a call that was not sent is given back") {
  StatedRateLimiter Limiter;
  Limiter.onStated({0, at(0)}, at(0));
  Limiter.countSend(at(60));
  const int Left = sendAll(Limiter, at(60));
  Limiter.refund();
  DOCTEST_CHECK(sendAll(Limiter, at(60)) == 1);
  DOCTEST_CHECK(Left == 1);
}
