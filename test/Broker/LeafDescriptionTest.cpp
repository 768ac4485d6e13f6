#include "citronlever/src/Broker/internal/LeafDescription.h"

#include <doctest/doctest.h>

#include <memory>

using namespace citronlever;
using namespace citronlever::internal;

namespace {

const TimePoint PhaseStart{Seconds(100)};
const TimePoint Later = PhaseStart + Milliseconds(1500);

LeafTracker makeTracker() {
  return {{"leaf1", {}, "up1", "fd1", "v1"},
          LeafLimits(),
          std::make_shared<LatencyBaseline>(),
          PhaseStart};
}

std::string descriptionOf(const LeafTracker &Tracker,
                          const LeafDescriptionContext &Context) {
  std::string Result;
  for (const std::string &Sentence : describeLeaf(Tracker, Context, Later))
    Result += Sentence + "; ";
  return Result;
}

bool contains(const LeafTracker &Tracker, const LeafDescriptionContext &Context,
              const char *Wanted) {
  const std::string Description = descriptionOf(Tracker, Context);
  DOCTEST_INFO(Description);
  return Description.find(Wanted) != std::string::npos;
}

} // namespace

DOCTEST_TEST_CASE(
    "the description of a cold leaf gives its phase and its limit") {
  LeafDescriptionContext Context;
  DOCTEST_CHECK(contains(makeTracker(), Context,
                         "cold since this broker took it over: "
                         "gets at most 1 at once"));
  Context.PhaseSince = PhaseStart;
  Context.PhaseChangeOutcome = "failed";
  DOCTEST_CHECK(contains(makeTracker(), Context,
                         "cold for 1.5 s, after a call that ended as failed"));
}

DOCTEST_TEST_CASE("the description says why a leaf is out of service") {
  LeafTracker Tracker = makeTracker();
  LeafDescriptionContext Context;
  Tracker.Lifecycle.onDraining(PhaseStart);
  DOCTEST_CHECK(contains(Tracker, Context, "out: it said that it is draining"));
  Tracker.Lifecycle.takeOutOfService(PhaseStart);
  Context.OutByOperators = true;
  DOCTEST_CHECK(contains(Tracker, Context, "out: operators took"));
  Context.VmLeaving = true;
  DOCTEST_CHECK(contains(Tracker, Context, "its VM is leaving"));
}

DOCTEST_TEST_CASE("the description says why a slow leaf is avoided") {
  LeafTracker Tracker = makeTracker();
  LeafDescriptionContext Context;
  Context.FastestReplicaMs = 5;
  Context.AvoidRatio = 1.5;
  DOCTEST_CHECK_FALSE(contains(Tracker, Context, "avoided"));
  Tracker.onSent(PhaseStart);
  Tracker.onEnded();
  LeafReply Reply;
  Reply.Outcome = LeafOutcome::Ok;
  Tracker.onReply(Reply, {Milliseconds(60)}, false, PhaseStart);
  DOCTEST_CHECK(contains(Tracker, Context,
                         "avoided: 60 ms against 5 ms of the quickest replica; "
                         "last call 1.5 s ago"));
}
