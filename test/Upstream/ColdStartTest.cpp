#include "test/Upstream/SimulatedLeaves.h"

#include <doctest/doctest.h>

#include <cstdio>

using namespace citronlever;
using test::SimulatedLeaves;

namespace {

constexpr int Shards = 20;
constexpr unsigned Seed = 20261204;
constexpr double QueriesPerSecond = 200;
/// Every second leaf belongs to the failure domain that turns cold.
constexpr LeafIndex DomainStep = 2;

using Leaves = SimulatedLeaves<HedgeDelayFromSend>;

struct Result {
  int Overloads = 0;
  int Unanswered = 0;
  /// Time until every leaf of the domain is warm again.
  Duration RecoveryTime{};
};

void warmUp(Leaves &All) {
  All.run(QueriesPerSecond / 4, Seconds(3));
  All.run(QueriesPerSecond, Seconds(2));
  All.forgetTimes();
  All.Overloads = 0;
}

bool allWarm(const Leaves &All) {
  for (LeafIndex Leaf = 0; Leaf < 2 * Shards; ++Leaf)
    if (All.Behaviours[Leaf].ColdAnswers > 0 ||
        All.Scheduler.leaf(Leaf).Lifecycle.phase() != LeafPhase::Warm)
      return false;
  return true;
}

/// Turns a whole failure domain cold.
/// \param RestartSigns the leaves close their connections, as a restarted
/// process does, and the owner sees it.
Result turnDomainCold(bool RestartSigns) {
  Leaves All(Shards, Seed);
  warmUp(All);
  for (LeafIndex Leaf = 0; Leaf < 2 * Shards; Leaf += DomainStep) {
    All.Behaviours[Leaf].ColdAnswers = Leaves::ColdAnswers;
    if (RestartSigns)
      All.Scheduler.leaves().onClosedByPeer(Leaf, All.Now);
  }
  const TimePoint Begin = All.Now;
  Result Measured;
  do
    All.run(QueriesPerSecond, Milliseconds(50));
  while (!allWarm(All) && All.Now - Begin < Seconds(20));
  Measured.RecoveryTime = All.Now - Begin;
  All.run(QueriesPerSecond, Seconds(2));
  Measured.Overloads = All.Overloads;
  Measured.Unanswered = All.Unanswered;
  return Measured;
}

} // namespace

DOCTEST_TEST_CASE(
    "a cold failure domain is not overloaded if its restart is seen") {
  const Result WithSigns = turnDomainCold(true);
  const Result WithoutSigns = turnDomainCold(false);
  std::printf("failure domain cold, seed %u: with restart signs %d overloads, "
              "warm after %lld ms; without signs %d overloads, warm after "
              "%lld ms\n",
              Seed, WithSigns.Overloads, toMs(WithSigns.RecoveryTime),
              WithoutSigns.Overloads, toMs(WithoutSigns.RecoveryTime));
  DOCTEST_CHECK(WithSigns.Overloads == 0);
  DOCTEST_CHECK(WithSigns.Unanswered == 0);
  DOCTEST_CHECK(WithSigns.RecoveryTime < Seconds(5));
  // Without signs only the first errors show that a leaf is cold. Each leaf is
  // overloaded at first but soon gets no more than it can serve, and every
  // shard is answered.
  DOCTEST_CHECK(WithoutSigns.Overloads > 0);
  DOCTEST_CHECK(WithoutSigns.Overloads <= 4 * Shards);
  DOCTEST_CHECK(WithoutSigns.Unanswered == 0);
  DOCTEST_CHECK(WithoutSigns.RecoveryTime < Seconds(5));
}
