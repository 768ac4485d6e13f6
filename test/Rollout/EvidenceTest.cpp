#include "citronlever/Rollout"
#include "citronlever/src/Wire/Codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

DOCTEST_TEST_CASE("the recorder counts every call, and each leaf once") {
  EvidenceRecorder Recorder;
  const TimePoint Start{Seconds(10)};
  for (int Call = 0; Call < 6; ++Call)
    Recorder.add(
        {"lookup", Call % 2 ? "a" : "b", VersionSide::Old, Call % 2 == 1, 5},
        Start);
  const auto First = Recorder.takeInterval(Start + Milliseconds(200));
  DOCTEST_REQUIRE(First.size() == 1);
  DOCTEST_CHECK(First[0].Calls == 6);
  DOCTEST_CHECK(First[0].Failures == 3);
  DOCTEST_CHECK(First[0].LeavesSeen == 2);
  DOCTEST_CHECK(First[0].LeavesFailing == 1);
  DOCTEST_CHECK(First[0].Latency.total() == 3);
  DOCTEST_CHECK(Recorder.takeInterval(Start + Seconds(3)).empty());
  Recorder.add({"lookup", "c", VersionSide::Old, false, 5}, Start + Seconds(3));
  DOCTEST_CHECK(Recorder.takeInterval(Start + Seconds(3))[0].LeavesSeen == 1);
}

DOCTEST_TEST_CASE("merged evidence equals the evidence of all calls together") {
  DOCTEST_CHECK(rc::check([](const std::vector<bool> &Calls) {
    EvidenceRecorder One;
    EvidenceRecorder Other;
    EvidenceRecorder All;
    const TimePoint Now{Seconds(10)};
    for (std::size_t Index = 0; Index < Calls.size(); ++Index) {
      const bool Left = Index % 3 == 0;
      const LeafCallSample Sample{"lookup", Left ? "a" : "b", VersionSide::Old,
                                  Calls[Index], 1.0 + double(Index)};
      (Left ? One : Other).add(Sample, Now);
      All.add(Sample, Now);
    }
    auto Merged = One.takeInterval(Now);
    mergeEvidence(Merged, Other.takeInterval(Now));
    RC_ASSERT(Merged == All.takeInterval(Now));
  }));
}

DOCTEST_TEST_CASE(
    "a report survives serialization, and surplus buckets are dropped") {
  EvidenceReport Report;
  Report.Service = "bench";
  Report.RolloutId = "r1";
  Report.OfDomain = true;
  RouteEvidence Evidence;
  Evidence.Route = "lookup";
  Evidence.Calls = 1;
  Evidence.Latency.add(1e12);
  Report.Routes.push_back(Evidence);
  const auto Back = decode<EvidenceReport>(encode(Report));
  DOCTEST_CHECK(Back.Routes == Report.Routes);
  DOCTEST_CHECK(Back.OfDomain);
  std::vector<RouteEvidence> Sum;
  mergeEvidence(Sum, Back.Routes);
  DOCTEST_CHECK(Sum[0].Latency.quantileBucket(1) <
                LatencyHistogram::MaxBuckets);
}

DOCTEST_TEST_CASE("a cold leaf's failures count and its latency does not") {
  EvidenceRecorder Recorder;
  const TimePoint Now{Seconds(1)};
  LeafCallSample Sample{"lookup", "leaf1", VersionSide::New, false, 50};
  Sample.Stage = LeafStage::Cold;
  Recorder.add(Sample, Now);
  Sample.Failed = true;
  Recorder.add(Sample, Now);
  const auto Recorded = Recorder.takeInterval(Now);
  DOCTEST_REQUIRE(Recorded.size() == 1);
  DOCTEST_CHECK(Recorded[0].Calls == 2);
  DOCTEST_CHECK(Recorded[0].Failures == 1);
  DOCTEST_CHECK(Recorded[0].Latency.total() == 0);
}

DOCTEST_TEST_CASE("the latency of a starting leaf is scaled to the baseline") {
  EvidenceRecorder Recorder;
  const TimePoint Begin{Seconds(1)};
  for (std::uint64_t Call = 0; Call < EvidenceRecorder::CallsPerBaseline;
       ++Call)
    Recorder.add({"lookup", "old", VersionSide::Old, false, 5}, Begin);
  Recorder.takeInterval(Begin);
  const auto Bucket = [&](LeafCallSample Sample, TimePoint Now) {
    Recorder.add(Sample, Now);
    return Recorder.takeInterval(Now)[0].Latency.quantileBucket(1);
  };
  LeafCallSample Sample{"lookup", "new", VersionSide::New, false, 15};
  Sample.ExpectedStartMs = 15;
  const std::size_t Usual = LatencyHistogram::bucketOf(5);
  DOCTEST_CHECK(Bucket(Sample, Begin) <= Usual + 1);
  Sample.ColdFactor = 30;
  DOCTEST_CHECK(Bucket(Sample, Begin) < Usual);
  // After MinStartTime the latency is no longer scaled.
  DOCTEST_CHECK(Bucket(Sample, Begin + EvidenceRecorder::MinStartTime) ==
                LatencyHistogram::bucketOf(15));
  Sample.Stage = LeafStage::Ramping;
  Sample.ColdFactor = 0;
  DOCTEST_CHECK(Bucket(Sample, Begin + EvidenceRecorder::MinStartTime) <=
                Usual + 1);
}

DOCTEST_TEST_CASE(
    "a version whose leaves all fail is found despite the limit per leaf") {
  RouteEvidence Old;
  Old.Route = "lookup";
  Old.Calls = 100;
  RouteEvidence New = Old;
  New.Side = VersionSide::New;
  New.LeavesSeen = New.LeavesFailing = 4;
  // More failures of each leaf than are counted.
  New.Calls = New.Failures = 24;
  RegressionDetector Detector;
  int Intervals = 0;
  const std::vector<RouteEvidence> Interval{Old, New};
  while (Intervals < 10 && !Detector.add(Interval))
    ++Intervals;
  DOCTEST_CHECK(Intervals == 2);
}
