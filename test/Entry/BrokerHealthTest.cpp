#include "test/Entry/QueryFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "a silent broker is unhealthy until it answers or the delay ends") {
  BrokerHealth Health;
  TimePoint Now{Seconds(100)};
  const auto Unanswered = [&](TimePoint At) {
    return Health.recordUnanswered("b", At - Milliseconds(150), At, At);
  };
  DOCTEST_CHECK(Unanswered(Now));
  DOCTEST_CHECK(!Health.isUnhealthy("b", Now));
  DOCTEST_CHECK(Unanswered(Now));
  DOCTEST_CHECK(Health.isUnhealthy("b", Now));
  DOCTEST_CHECK(!Health.isUnhealthy("b", Now + Milliseconds(1000)));
  DOCTEST_CHECK(Unanswered(Now + Milliseconds(1100)));
  DOCTEST_CHECK(Health.isUnhealthy("b", Now + Milliseconds(1100)));
  Health.recordMessage("b", Now + Milliseconds(1100));
  DOCTEST_CHECK(!Health.isUnhealthy("b", Now + Milliseconds(1100)));
}

DOCTEST_TEST_CASE("a slow broker is not taken for a silent one") {
  BrokerHealth Health;
  const TimePoint Due{Seconds(100)};
  const TimePoint Sent = Due - Milliseconds(150);
  Health.recordMessage("answering", Due - Milliseconds(50));
  for (int Call = 0; Call < 10; ++Call) {
    DOCTEST_CHECK(!Health.recordUnanswered("answering", Sent, Due, Due));
    // The deadline is noticed late: replies may wait unread in this process.
    DOCTEST_CHECK(
        !Health.recordUnanswered("unread", Sent, Due, Due + Milliseconds(60)));
  }
  DOCTEST_CHECK(!Health.isUnhealthy("answering", Due));
  DOCTEST_CHECK(!Health.isUnhealthy("unread", Due + Milliseconds(60)));
}

DOCTEST_TEST_CASE("an unreachable owner is tried last and stays the owner") {
  QueryFixture Query(3, 8);
  BrokerHealth Health;
  Health.recordUnreachable("vm0/broker", Query.Now);
  QueryPlan Plan = Query.plan();
  Health.moveUnhealthyLast(Plan, Query.Now);
  DOCTEST_CHECK(Plan.Groups[0].Candidates.front().Name == "vm1/broker");
  DOCTEST_CHECK(Plan.Groups[0].Candidates.front().StandBy);
  DOCTEST_CHECK(Plan.Groups[0].Candidates.back().Name == "vm0/broker");
  DOCTEST_CHECK(!Plan.Groups[0].Candidates.back().StandBy);
  DOCTEST_CHECK(Plan.Groups[1].Candidates.front().Name == "vm1/broker");
  DOCTEST_CHECK(!Plan.Groups[1].Candidates.front().StandBy);
}
