#include "citronlever/src/Broker/internal/LeafDescription.h"

#include <doctest/doctest.h>

#include <memory>

using namespace citronlever;
using namespace citronlever::internal;

namespace {

const TimePoint Begin{Seconds(100)};
const TimePoint Later = Begin + Milliseconds(1500);

LeafTracker tracker() {
  return {{"leaf1", {}, "up1", "fd1", "v1"},
          LeafLimits(),
          std::make_shared<LatencyBaseline>(),
          Begin};
}

std::string wordsOf(const LeafTracker &Of, const LeafNotes &Notes) {
  std::string Result;
  for (const std::string &Each : leafWords(Of, Notes, Later))
    Result += Each + "; ";
  return Result;
}

bool says(const LeafTracker &Of, const LeafNotes &Notes, const char *Wanted) {
  const std::string Words = wordsOf(Of, Notes);
  DOCTEST_INFO(Words);
  return Words.find(Wanted) != std::string::npos;
}

} // namespace

DOCTEST_TEST_CASE("a cold leaf's words say since when and what it gets") {
  LeafNotes Notes;
  DOCTEST_CHECK(says(tracker(), Notes,
                     "cold since this broker took it over: "
                     "gets at most 1 at once"));
  Notes.PhaseSince = Begin;
  Notes.PhaseAfter = "failed";
  DOCTEST_CHECK(says(tracker(), Notes,
                     "cold for 1.5 s, after a call that ended as failed"));
}

DOCTEST_TEST_CASE("the words say why a leaf is out") {
  LeafTracker Of = tracker();
  LeafNotes Notes;
  Of.Lifecycle.onDraining(Begin);
  DOCTEST_CHECK(says(Of, Notes, "out: it said that it is draining"));
  Of.Lifecycle.takeOutOfService(Begin);
  Notes.OperatorsOut = true;
  DOCTEST_CHECK(says(Of, Notes, "out: operators took"));
  Notes.VmLeaving = true;
  DOCTEST_CHECK(says(Of, Notes, "its VM is leaving"));
}

DOCTEST_TEST_CASE("the words say why a slow leaf is avoided") {
  LeafTracker Of = tracker();
  LeafNotes Notes;
  Notes.QuickestMs = 5;
  Notes.AvoidRatio = 1.5;
  DOCTEST_CHECK_FALSE(says(Of, Notes, "avoided"));
  Of.onSent(Begin);
  Of.onEnded();
  LeafReply Reply;
  Reply.Outcome = LeafOutcome::Ok;
  Of.onReply(Reply, {Milliseconds(60)}, false, Begin);
  DOCTEST_CHECK(says(Of, Notes,
                     "avoided: 60 ms against 5 ms of the quickest replica; "
                     "last call 1.5 s ago"));
}
