#include "citronlever/Upstream"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr Duration ServiceTime = Milliseconds(5);
constexpr TimePoint Begin{Seconds(100)};

LeafReply reply(LeafOutcome Outcome) {
  LeafReply Result;
  Result.Outcome = Outcome;
  Result.RunVerdict = Verdict::Ran;
  Result.Status = 200;
  Result.Pooled = true;
  return Result;
}

/// A scheduler with one warm leaf, to which jobs are sent one after the other.
struct SingleLeaf {
  LeafScheduler<NoHedging> Scheduler{SchedulerSettings()};
  TimePoint Now = Begin;
  LeafIndex Which;
  JobId Jobs = 0;

  SingleLeaf() {
    Leaf Info;
    Info.Id = "leaf";
    this->Which = this->Scheduler.leaves().add(Info, LeafLimits{}, this->Now);
    for (int Call = 0; Call < 1000; ++Call)
      this->call(ServiceTime);
  }

  ActionList submit(Duration TimeBudget) {
    ShardJob Job;
    Job.Id = ++this->Jobs;
    Job.Replicas = {this->Which};
    Job.Deadline = this->Now + TimeBudget;
    ActionList Out;
    this->Scheduler.submit(std::move(Job), this->Now, Out);
    return Out;
  }

  void call(Duration Latency, Duration TimeBudget = Seconds(1),
            LeafOutcome Outcome = LeafOutcome::Ok) {
    ActionList Out = this->submit(TimeBudget);
    DOCTEST_REQUIRE(Out.Sends.size() == 1);
    this->Now += Latency;
    this->Scheduler.onReply(Out.Sends[0].Attempt, reply(Outcome), this->Now,
                            Out);
  }

  bool isWarm() const {
    return this->Scheduler.leaf(this->Which).Lifecycle.phase() ==
           LeafPhase::Warm;
  }
};

} // namespace

DOCTEST_TEST_CASE("replies that waited unread do not turn a leaf cold") {
  SingleLeaf Busy;
  DOCTEST_REQUIRE(Busy.isWarm());
  Busy.Scheduler.setReplyReadDelay(Milliseconds(50));
  for (int Call = 0; Call < 50; ++Call)
    Busy.call(ServiceTime + Milliseconds(50));
  DOCTEST_CHECK(Busy.isWarm());
  DOCTEST_CHECK(Busy.Scheduler.leaf(Busy.Which).limit(Busy.Now) == 2);
  SingleLeaf Cold;
  for (int Call = 0; Call < 4; ++Call)
    Cold.call(ServiceTime + Milliseconds(50));
  DOCTEST_CHECK(!Cold.isWarm());
}

DOCTEST_TEST_CASE("replies read out of order do not show a second sender") {
  SingleLeaf Busy;
  for (int Pair = 0; Pair < 20; ++Pair) {
    ActionList First = Busy.submit(Seconds(1));
    ActionList Second = Busy.submit(Seconds(1));
    Busy.Now += ServiceTime;
    LeafReply Earlier = reply(LeafOutcome::Ok);
    LeafReply Later = Earlier;
    Earlier.LoadInFlight = 2;
    Later.LoadInFlight = 1;
    Busy.Scheduler.onReply(Second.Sends[0].Attempt, Later, Busy.Now, Second);
    Busy.Scheduler.onReply(First.Sends[0].Attempt, Earlier, Busy.Now, First);
  }
  DOCTEST_CHECK(Busy.Scheduler.leaf(Busy.Which).limit(Busy.Now) == 2);
}

DOCTEST_TEST_CASE(
    "a deadline too short for the leaf does not count against it") {
  SingleLeaf ShortDeadline;
  for (int Call = 0; Call < 10; ++Call)
    ShortDeadline.call(Milliseconds(6), Milliseconds(6),
                       LeafOutcome::DeadlinePassed);
  DOCTEST_CHECK(ShortDeadline.isWarm());
  SingleLeaf Slow;
  for (int Call = 0; Call < 2; ++Call)
    Slow.call(Milliseconds(100), Milliseconds(100),
              LeafOutcome::DeadlinePassed);
  DOCTEST_CHECK(!Slow.isWarm());
}

DOCTEST_TEST_CASE("a job that was never sent ends as shed at its deadline") {
  SingleLeaf Busy;
  Busy.submit(Seconds(1));
  Busy.submit(Seconds(1));
  DOCTEST_REQUIRE(Busy.submit(Milliseconds(100)).empty());
  ActionList Out;
  Busy.Scheduler.tick(Busy.Now + Milliseconds(100), Out);
  DOCTEST_REQUIRE(Out.Finishes.size() == 1);
  const FinishAction &Finish = Out.Finishes[0];
  DOCTEST_CHECK((Finish.Outcome == JobOutcome::Shed &&
                 Finish.RunVerdict == Verdict::NotRun));
}
