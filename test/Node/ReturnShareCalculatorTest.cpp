#include "citronlever/src/Node/ReturnShareCalculator.h"
#include "citronlever/src/Rollout/DrainDocument.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

namespace {

ConfigState stateWith(const std::string &Name, DrainPhase Phase) {
  DrainDocument Move;
  Move.Phase = Phase;
  const ConfigDocument Document{Name, 1, "p1", false,
                                boost::json::serialize(toJson(Move))};
  ConfigState Result;
  DOCTEST_CHECK(Result.advance({1, 0, "p1", "l"}, {&Document, 1}, {}, true));
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("the share of a returning failure domain rises to 1") {
  const ConfigState State = stateWith("domains/fd1", DrainPhase::Returning);
  const TimePoint Start{Seconds(100)};
  ReturnShareCalculator Calculator;
  DOCTEST_CHECK(Calculator.shares(State, Start).shareOf("fd1", "a") ==
                doctest::Approx(0.1));
  DOCTEST_CHECK(
      Calculator.shares(State, Start + Seconds(5)).shareOf("fd1", "a") ==
      doctest::Approx(0.5));
  DOCTEST_CHECK(
      Calculator.shares(State, Start + Seconds(12)).shareOf("fd1", "a") == 1);
  DOCTEST_CHECK(Calculator.shares(State, Start).shareOf("fd2", "a") == 1);
}

DOCTEST_TEST_CASE("the smaller share of failure domain and VM applies") {
  const ConfigState State = stateWith("vms/up1", DrainPhase::Returning);
  ReturnShareCalculator Calculator;
  const ReturnShares Shares = Calculator.shares(State, TimePoint{Seconds(1)});
  DOCTEST_CHECK(Shares.shareOf("fd1", "up1") == doctest::Approx(0.1));
  DOCTEST_CHECK(Shares.shareOf("fd1", "up2") == 1);
}

DOCTEST_TEST_CASE("a failure domain in service has its full share") {
  ReturnShareCalculator Calculator;
  const ConfigState State = stateWith("domains/fd1", DrainPhase::InService);
  DOCTEST_CHECK(Calculator.shares(State, TimePoint{Seconds(1)}).empty());
}
