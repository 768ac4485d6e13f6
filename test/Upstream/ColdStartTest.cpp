#include "test/Upstream/SimulatedLeaves.h"

#include <doctest/doctest.h>

#include <cstdio>

using namespace citronlever;
using test::SimulatedLeaves;

namespace {

constexpr int Shards = 20;
constexpr unsigned Seed = 20261204;
constexpr double QueriesPerSecond = 200;
/// One failure domain: every second leaf.
constexpr LeafIndex DomainStep = 2;

using Leaves = SimulatedLeaves<HedgeDelayFromSend>;

struct Result {
  int Overloads = 0;
  int Unanswered = 0;
  /// Time until every leaf of the domain bears its full share again.
  Duration Back{};
};

void warmUp(Leaves &All) {
  All.run(QueriesPerSecond / 4, Seconds(3));
  All.run(QueriesPerSecond, Seconds(2));
  All.forgetTimes();
  All.Overloads = 0;
}

bool allWarm(const Leaves &All) {
  for (LeafIndex Each = 0; Each < 2 * Shards; ++Each)
    if (All.Behaviours[Each].ColdAnswers > 0 ||
        All.Scheduler.leaf(Each).Lifecycle.phase() != LeafPhase::Warm)
      return false;
  return true;
}

/// A whole failure domain turns cold. \param Told the leaves closed their
/// connections, as a restarted process does, and the owner heeds it.
Result turnDomainCold(bool Told) {
  Leaves All(Shards, Seed);
  warmUp(All);
  for (LeafIndex Each = 0; Each < 2 * Shards; Each += DomainStep) {
    All.Behaviours[Each].ColdAnswers = Leaves::ColdAnswers;
    if (Told)
      All.Scheduler.leaves().onClosedByPeer(Each, All.Now);
  }
  const TimePoint Begin = All.Now;
  Result Seen;
  do
    All.run(QueriesPerSecond, Milliseconds(50));
  while (!allWarm(All) && All.Now - Begin < Seconds(20));
  Seen.Back = All.Now - Begin;
  All.run(QueriesPerSecond, Seconds(2));
  Seen.Overloads = All.Overloads;
  Seen.Unanswered = All.Unanswered;
  return Seen;
}

} // namespace

DOCTEST_TEST_CASE("a restarted failure domain is never overloaded") {
  const Result Heeded = turnDomainCold(true);
  const Result Silent = turnDomainCold(false);
  std::printf("domain cold, seed %u: restart signs heeded %d overloads, back "
              "in %lld ms; no sign %d overloads, back in %lld ms\n",
              Seed, Heeded.Overloads, toMs(Heeded.Back), Silent.Overloads,
              toMs(Silent.Back));
  DOCTEST_CHECK(Heeded.Overloads == 0);
  DOCTEST_CHECK(Heeded.Unanswered == 0);
  DOCTEST_CHECK(Heeded.Back < Seconds(5));
  // Without any sign only the first errors tell; each leaf falls, but soon
  // gets no more than it bears, and no shard goes unanswered.
  DOCTEST_CHECK(Silent.Overloads > 0);
  DOCTEST_CHECK(Silent.Overloads <= 4 * Shards);
  DOCTEST_CHECK(Silent.Unanswered == 0);
  DOCTEST_CHECK(Silent.Back < Seconds(5));
}
