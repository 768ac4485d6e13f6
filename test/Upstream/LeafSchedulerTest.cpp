#include "citronlever/Upstream"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <set>

using namespace citronlever;

namespace {

LeafReply okReply() {
  LeafReply Result;
  Result.Outcome = LeafOutcome::Ok;
  Result.RunVerdict = Verdict::Ran;
  Result.Status = 200;
  return Result;
}

LeafReply outcome(LeafOutcome Value, Verdict RunVerdict) {
  LeafReply Result;
  Result.Outcome = Value;
  Result.RunVerdict = RunVerdict;
  return Result;
}

/// Sends random events to a scheduler and checks its invariants after each one.
template <HedgePolicy Hedging> struct RandomRun {
  explicit RandomRun(int Leaves) : Scheduler(settings()) {
    for (int Index = 0; Index < Leaves; ++Index) {
      Leaf Info;
      Info.Id = "leaf" + std::to_string(Index);
      Info.Address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + Index)};
      this->Scheduler.leaves().add(Info, LeafLimits{}, this->Now);
    }
  }
  static SchedulerSettings settings() {
    SchedulerSettings Result;
    Result.ExtraRequestBurst = 3;
    return Result;
  }

  void submit() {
    ShardJob Job;
    Job.Id = ++this->Jobs;
    Job.Idempotent = *rc::gen::inRange(0, 3) != 0;
    Job.Priority = static_cast<std::uint32_t>(*rc::gen::inRange(0, 3));
    Job.Deadline = this->Now + Milliseconds(*rc::gen::inRange(1, 200));
    const int First = *rc::gen::inRange<int>(0, this->Scheduler.leafCount());
    Job.Replicas = {
        static_cast<LeafIndex>(First),
        static_cast<LeafIndex>((First + 1) % this->Scheduler.leafCount())};
    this->Idempotent[Job.Id] = Job.Idempotent;
    this->Open.insert(Job.Id);
    this->Scheduler.submit(std::move(Job), this->Now, this->Out);
  }
  void reply() {
    if (this->Running.empty())
      return;
    auto Picked = this->Running.begin();
    std::advance(Picked, *rc::gen::inRange<int>(0, this->Running.size()));
    const AttemptId Attempt = Picked->first;
    const JobId Job = Picked->second;
    this->Running.erase(Picked);
    LeafReply Reply = okReply();
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
      Reply = outcome(LeafOutcome::Shed, Verdict::NotRun);
      break;
    case 1:
      Reply = outcome(LeafOutcome::ConnectionLost, Verdict::MayHaveRun);
      break;
    case 2:
      Reply = outcome(LeafOutcome::ConnectFailed, Verdict::NotRun);
      break;
    case 3:
      Reply = outcome(LeafOutcome::Abandoned, Verdict::MayHaveRun);
      Reply.Pooled = true;
      break;
    default:
      break;
    }
    if (Reply.RunVerdict != Verdict::NotRun)
      this->MayHaveRun.insert(Job);
    this->Scheduler.onReply(Attempt, Reply, this->Now, this->Out);
  }
  void step() {
    this->Now += Microseconds(*rc::gen::inRange(0, 4000));
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
      this->submit();
      break;
    case 1:
      this->reply();
      break;
    default:
      this->Scheduler.tick(this->Now, this->Out);
    }
    this->check();
  }
  void check() {
    for (const SendAction &Send : this->Out.Sends) {
      // A non-idempotent job has at most one request in flight and is never
      // sent again once it may have run.
      if (!this->Idempotent.at(Send.Job)) {
        RC_ASSERT(!this->MayHaveRun.contains(Send.Job));
        for (const auto &[Attempt, Job] : this->Running)
          RC_ASSERT(Job != Send.Job);
      }
      this->Running[Send.Attempt] = Send.Job;
    }
    for (const FinishAction &Finish : this->Out.Finishes) {
      RC_ASSERT(this->Open.erase(Finish.Job) == 1);
      if (Finish.RunVerdict == Verdict::NotRun)
        RC_ASSERT(!this->MayHaveRun.contains(Finish.Job));
    }
    this->Out.clear();
    const ExtraRequestBudget &Budget = this->Scheduler.budget();
    RC_ASSERT(Budget.extraSends() <= 3 + 0.05 * Budget.firstSends() + 1e-6);
    for (LeafIndex Leaf = 0; Leaf < this->Scheduler.leafCount(); ++Leaf) {
      const LeafTracker &Tracker = this->Scheduler.leaf(Leaf);
      RC_ASSERT(Tracker.inFlight() >= 0);
      RC_ASSERT(Tracker.inFlight() + Tracker.heldSlots() <= LeafLimits{}.Slots);
    }
  }

  LeafScheduler<Hedging> Scheduler;
  TimePoint Now{Seconds(1)};
  ActionList Out;
  JobId Jobs = 0;
  std::map<JobId, bool> Idempotent;
  std::set<JobId> Open;
  std::set<JobId> MayHaveRun;
  std::map<AttemptId, JobId> Running;
};

} // namespace

DOCTEST_TEST_CASE("random events never violate slots, budget or at-most-once") {
  DOCTEST_CHECK(rc::check([] {
    RandomRun<HedgeDelayFromSend> Run(4);
    for (int Step = 0; Step < 300; ++Step)
      Run.step();
    // Every job ends by its deadline.
    Run.Now += Seconds(1);
    Run.Scheduler.tick(Run.Now, Run.Out);
    Run.check();
    RC_ASSERT(Run.Open.empty());
  }));
}

namespace {

/// A warm leaf and a second one that has never answered.
struct WarmAndCold {
  WarmAndCold() {
    Leaf Second;
    Second.Id = "second";
    this->Warm = this->Scheduler.leaves().add(Leaf(), LeafLimits{}, this->Now);
    this->Cold = this->Scheduler.leaves().add(Second, LeafLimits{}, this->Now);
    for (int Count = 0; Count < 100; ++Count) {
      const AttemptId Sent = this->submit({this->Warm}, Seconds(1));
      this->Now += Milliseconds(10);
      this->Scheduler.onReply(Sent, okReply(), this->Now, this->Out);
    }
  }
  /// \returns the attempt, 0 if the job waits.
  AttemptId submit(std::vector<LeafIndex> Replicas, Duration Left) {
    ShardJob Job;
    Job.Id = ++this->Last;
    Job.Replicas = std::move(Replicas);
    Job.Deadline = this->Now + Left;
    this->Out.clear();
    this->Scheduler.submit(std::move(Job), this->Now, this->Out);
    return this->Out.Sends.empty() ? 0 : this->Out.Sends[0].Attempt;
  }
  void loseConnection(AttemptId Attempt) {
    const LeafReply Reply =
        outcome(LeafOutcome::ConnectionLost, Verdict::MayHaveRun);
    this->Scheduler.onReply(Attempt, Reply, this->Now, this->Out);
  }

  LeafScheduler<HedgeDelayFromSend> Scheduler{SchedulerSettings()};
  TimePoint Now{Seconds(100)};
  LeafIndex Warm = 0;
  LeafIndex Cold = 0;
  ActionList Out;
  JobId Last = 0;
};

} // namespace

DOCTEST_TEST_CASE("held slots are released by time alone") {
  WarmAndCold Run;
  const AttemptId First = Run.submit({Run.Warm}, Milliseconds(300));
  const AttemptId Second = Run.submit({Run.Warm}, Milliseconds(600));
  DOCTEST_REQUIRE(Second != 0);
  Run.loseConnection(First);
  Run.loseConnection(Second);
  DOCTEST_REQUIRE(Run.Scheduler.leaf(Run.Warm).heldSlots() == 2);
  const TimePoint End = Run.Now + Seconds(1);
  while (Run.Scheduler.nextWake() < End) {
    Run.Now = std::max(Run.Now, Run.Scheduler.nextWake());
    Run.Scheduler.tick(Run.Now, Run.Out);
  }
  DOCTEST_CHECK(Run.Scheduler.leaf(Run.Warm).heldSlots() == 0);
}

DOCTEST_TEST_CASE("no job is queued only at a leaf that has not answered") {
  WarmAndCold Run;
  // The only slot of the cold leaf is held after a lost connection.
  Run.loseConnection(Run.submit({Run.Cold}, Seconds(1)));
  DOCTEST_REQUIRE(Run.Scheduler.leaf(Run.Cold).heldSlots() == 1);
  while (Run.Scheduler.leaf(Run.Warm).freeSlots(Run.Now) > 0)
    DOCTEST_REQUIRE(Run.submit({Run.Warm, Run.Cold}, Seconds(1)) != 0);
  Run.submit({Run.Warm, Run.Cold}, Seconds(1));
  DOCTEST_CHECK(Run.Scheduler.leaf(Run.Warm).Queue.size() == 1);
}

DOCTEST_TEST_CASE(
    "a leaf limited below its slots is not starved by a faster one") {
  LeafScheduler<HedgeDelayFromSend> Scheduler{SchedulerSettings()};
  TimePoint Now{Seconds(100)};
  std::array<Duration, 2> Takes{Milliseconds(6), Milliseconds(15)};
  for (const char *Name : {"quick", "cold"}) {
    Leaf Info;
    Info.Id = Name;
    Scheduler.leaves().add(Info, LeafLimits{}, Now);
  }
  ActionList Out;
  const auto CompleteJob = [&](JobId Id) {
    ShardJob Job;
    Job.Id = Id;
    Job.Replicas = {0, 1};
    Job.Deadline = Now + Seconds(1);
    Scheduler.submit(std::move(Job), Now, Out);
    const SendAction First = Out.Sends.at(0);
    Out.clear();
    Now += Takes.at(First.Leaf);
    Scheduler.onReply(First.Attempt, okReply(), Now, Out);
    Out.clear();
    Now += Milliseconds(40);
    Scheduler.tick(Now, Out);
    Out.clear();
  };
  for (JobId Id = 1; Id <= 15; ++Id) {
    // The first answers of the cold leaf are slower.
    Takes[1] = Id < 5 ? Milliseconds(8) : Milliseconds(7);
    CompleteJob(Id);
  }
  for (JobId Id = 16; Id <= 300; ++Id)
    CompleteJob(Id);
  for (LeafIndex Leaf : {0U, 1U})
    DOCTEST_CHECK(Scheduler.leaf(Leaf).limit(Now) == LeafLimits{}.Slots);
}

DOCTEST_TEST_CASE("answers as slow as a cold leaf's do not raise its limit") {
  LeafScheduler<HedgeDelayFromSend> Scheduler{SchedulerSettings()};
  TimePoint Now{Seconds(100)};
  const Leaf Info;
  Scheduler.leaves().add(Info, LeafLimits{}, Now);
  ActionList Out;
  const auto Run = [&](int Requests, Duration Takes) {
    for (int Count = 0; Count < Requests; ++Count) {
      static JobId Id = 0;
      ShardJob Job;
      Job.Id = ++Id;
      Job.Replicas = {0};
      Job.Deadline = Now + Seconds(1);
      Scheduler.submit(std::move(Job), Now, Out);
      const AttemptId Sent = Out.Sends.at(0).Attempt;
      Out.clear();
      Now += Takes;
      Scheduler.onReply(Sent, okReply(), Now, Out);
      Out.clear();
      Now += Milliseconds(20);
    }
  };
  const auto Limit = [&] { return Scheduler.leaf(0).limit(Now); };
  Run(100, Milliseconds(5));
  DOCTEST_CHECK(Limit() == 2);
  Scheduler.leaves().onClosedByPeer(0, Now);
  Run(60, Milliseconds(15));
  DOCTEST_CHECK(Limit() == 1);
  Run(15, Milliseconds(5));
  DOCTEST_CHECK(Limit() == 2);
  // The limit of a leaf that stays slower rises in the end.
  Scheduler.leaves().onClosedByPeer(0, Now);
  Run(400, Milliseconds(15));
  DOCTEST_CHECK(Limit() == 2);
}

DOCTEST_TEST_CASE("a truncated reply frees the slot, a missing one does not") {
  for (const bool PartiallyReceived : {true, false}) {
    LeafScheduler<HedgeDelayFromSend> Scheduler{SchedulerSettings()};
    const TimePoint Now{Seconds(100)};
    Scheduler.leaves().add(Leaf(), LeafLimits{}, Now);
    ActionList Out;
    ShardJob Job;
    Job.Id = 1;
    Job.Replicas = {0};
    Job.Deadline = Now + Seconds(1);
    Scheduler.submit(std::move(Job), Now, Out);
    LeafReply Reply = outcome(LeafOutcome::ConnectionLost, Verdict::MayHaveRun);
    Reply.PartiallyReceived = PartiallyReceived;
    Scheduler.onReply(Out.Sends.at(0).Attempt, Reply, Now, Out);
    DOCTEST_CHECK(Scheduler.leaf(0).heldSlots() == (PartiallyReceived ? 0 : 1));
  }
}
