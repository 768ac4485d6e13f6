#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <array>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <vector>

using namespace citronlever;

namespace {

/// Leaves of one service as one pool of slots with a queue, callers who wait an
/// objective, and one process before them. Times in milliseconds.
class Overload {
public:
  Overload(double Load, bool Gated, unsigned Seed)
      : Load(Load), Gated(Gated), Random(Seed) {}

  /// \returns the share of capacity that was answered within the objective.
  double run() {
    std::exponential_distribution<double> Gap(this->Load * Slots / WorkMs);
    double NextArrival = Gap(this->Random);
    for (int Ms = 0; Ms < LengthMs; ++Ms) {
      this->Now = Ms;
      this->finishWork();
      while (NextArrival <= Ms) {
        this->arrive();
        NextArrival += Gap(this->Random);
      }
      this->startWork();
      this->adapt();
    }
    return this->InTime / (LengthMs * Slots / WorkMs);
  }

private:
  static constexpr int Slots = 32;
  static constexpr double WorkMs = 11;
  static constexpr double ObjectiveMs = 60;
  static constexpr int LengthMs = 4000;

  struct Job {
    double Arrived;
    double Ends;
    bool operator<(const Job &Other) const { return this->Ends > Other.Ends; }
  };

  TimePoint at(double Ms) const {
    return TimePoint(Seconds(100)) + Microseconds(static_cast<long>(Ms * 1000));
  }

  void arrive() {
    if (!this->Gated || this->Gate.tryEnter())
      this->Queue.push_back({this->Now, 0});
  }

  void startWork() {
    std::gamma_distribution<double> Work(8, WorkMs / 8);
    while (this->Busy.size() < Slots && !this->Queue.empty()) {
      Job Next = this->Queue.front();
      this->Queue.pop_front();
      Next.Ends = this->Now + Work(this->Random);
      this->Busy.push(Next);
    }
  }

  void finishWork() {
    while (!this->Busy.empty() && this->Busy.top().Ends <= this->Now) {
      if (this->Now - this->Busy.top().Arrived <= ObjectiveMs)
        ++this->InTime;
      this->Busy.pop();
      if (this->Gated)
        this->Gate.leave();
    }
  }

  void adapt() {
    if (this->Gated && this->Gate.due(this->at(this->Now)))
      this->Gate.adapt(static_cast<double>(this->Queue.size()) / Slots,
                       this->at(this->Now));
  }

  double Load;
  bool Gated;
  std::mt19937 Random;
  double Now = 0;
  double InTime = 0;
  std::deque<Job> Queue;
  std::priority_queue<Job> Busy;
  AdmissionController Gate;
};

/// Queries to every shard, through several processes with a gate each; times in
/// parts of a millisecond. The leaves' queues are known a little later.
class FanOutOverload {
public:
  FanOutOverload(double PerSecond, bool Gated, unsigned Seed)
      : PerSecond(PerSecond), Gated(Gated), Random(Seed) {
    std::uniform_real_distribution<double> Phase(0, PauseEveryMs);
    for (Leaf &One : this->Leaves)
      One.NextPause = Phase(this->Random);
  }

  /// \returns queries a second that were answered within the objective.
  double run() {
    std::exponential_distribution<double> Gap(this->PerSecond / 1000);
    double NextArrival = Gap(this->Random);
    for (double Ms = 0; Ms < LengthMs; Ms += StepMs) {
      this->Now = Ms;
      for (Leaf &One : this->Leaves)
        this->work(One);
      for (; NextArrival <= Ms; NextArrival += Gap(this->Random))
        this->arrive();
      this->report();
    }
    return this->InTime * 1000 / LengthMs;
  }

private:
  static constexpr std::size_t Processes = 8;
  static constexpr std::size_t Shards = 20;
  static constexpr std::size_t Enough = 18;
  static constexpr std::size_t Slots = 2;
  static constexpr double WorkMs = 9.2;
  static constexpr double ObjectiveMs = 85;
  static constexpr double PauseEveryMs = 3000;
  static constexpr double PauseMs = 120;
  static constexpr double ReportDelayMs = 40;
  static constexpr double LengthMs = 4000;
  static constexpr double StepMs = 0.5;

  struct Query {
    std::size_t Process;
    double Arrived;
    std::size_t Parts = 0;
    bool Done = false;
  };
  struct Job {
    std::shared_ptr<Query> Of;
    double Ends;
  };
  struct Leaf {
    std::deque<std::shared_ptr<Query>> Queue;
    std::vector<Job> Busy;
    double NextPause = 0;
    double PausedUntil = 0;
  };

  TimePoint at(double Ms) const {
    return TimePoint(Seconds(100)) + Microseconds(static_cast<long>(Ms * 1000));
  }

  void arrive() {
    const std::size_t Process = this->Random() % Processes;
    if (this->Gated && !this->Gates[Process].tryEnter())
      return;
    auto New = std::make_shared<Query>(Query{Process, this->Now});
    for (std::size_t Shard = 0; Shard < Shards; ++Shard) {
      Leaf &A = this->Leaves[2 * Shard];
      Leaf &B = this->Leaves[2 * Shard + 1];
      const bool First =
          A.Queue.size() + A.Busy.size() <= B.Queue.size() + B.Busy.size();
      (First ? A : B).Queue.push_back(New);
    }
    this->Open.push_back(New);
  }

  void work(Leaf &One) {
    if (this->Now >= One.NextPause) {
      One.NextPause += PauseEveryMs;
      One.PausedUntil = this->Now + PauseMs;
      for (Job &Busy : One.Busy)
        Busy.Ends += PauseMs;
    }
    std::erase_if(One.Busy, [&](const Job &Busy) {
      if (Busy.Ends > this->Now)
        return false;
      ++Busy.Of->Parts;
      return true;
    });
    std::gamma_distribution<double> Work(8, WorkMs / 8);
    while (this->Now >= One.PausedUntil && One.Busy.size() < Slots &&
           !One.Queue.empty()) {
      const auto Next = One.Queue.front();
      One.Queue.pop_front();
      // A call whose query is over has been cancelled.
      if (!Next->Done)
        One.Busy.push_back({Next, this->Now + Work(this->Random)});
    }
  }

  /// Ends queries that are whole, or have enough parts at their objective.
  void report() {
    double Waiting = 0;
    for (const Leaf &One : this->Leaves)
      Waiting += static_cast<double>(One.Queue.size()) / Slots;
    this->Reports.push_back(Waiting / static_cast<double>(this->Leaves.size()));
    std::erase_if(this->Open, [&](const std::shared_ptr<Query> &One) {
      const bool Late = this->Now - One->Arrived > ObjectiveMs;
      if (One->Parts < Shards && !(Late && One->Parts >= Enough) &&
          this->Now - One->Arrived < 3 * ObjectiveMs)
        return false;
      One->Done = true;
      if (this->Now - One->Arrived <= ObjectiveMs + StepMs)
        ++this->InTime;
      if (this->Gated)
        this->Gates[One->Process].leave();
      return true;
    });
    const auto Delay = static_cast<std::size_t>(ReportDelayMs / StepMs);
    if (!this->Gated || this->Reports.size() <= Delay)
      return;
    for (AdmissionController &Gate : this->Gates)
      if (Gate.due(this->at(this->Now)))
        Gate.adapt(this->Reports[this->Reports.size() - 1 - Delay],
                   this->at(this->Now));
  }

  double PerSecond;
  bool Gated;
  std::mt19937 Random;
  double Now = 0;
  double InTime = 0;
  std::array<Leaf, 2 * Shards> Leaves;
  std::array<AdmissionController, Processes> Gates;
  std::vector<std::shared_ptr<Query>> Open;
  std::vector<double> Reports;
};

WaitingRequest waiting(std::uint64_t Id, int Priority, bool Returning,
                       int AnswerByMs) {
  return {Returning, Priority, TimePoint(Milliseconds(AnswerByMs)), Id};
}

} // namespace

DOCTEST_TEST_CASE(
    "overload of two and five times: most of the capacity is still "
    "answered in time, without the gate next to none") {
  for (const unsigned Seed : {1U, 2U, 3U})
    for (const double Load : {2.0, 5.0}) {
      DOCTEST_INFO("seed " << Seed << " load " << Load);
      DOCTEST_CHECK(Overload(Load, true, Seed).run() > 0.8);
      DOCTEST_CHECK(Overload(Load, false, Seed).run() < 0.2);
    }
}

DOCTEST_TEST_CASE("queries to every shard through eight processes: overload "
                  "leaves as much in time as the leaves bear without it") {
  // About 430 a second keep all slots busy.
  const double Borne = FanOutOverload(300, false, 1).run();
  for (const unsigned Seed : {1U, 2U, 3U})
    for (const double PerSecond : {600.0, 1200.0}) {
      const double Gated = FanOutOverload(PerSecond, true, Seed).run();
      const double Open = FanOutOverload(PerSecond, false, Seed).run();
      DOCTEST_MESSAGE("seed " << Seed << ", " << PerSecond
                              << "/s: in time with the gate " << Gated
                              << "/s, without " << Open << "/s, of " << Borne
                              << "/s at 300/s");
      DOCTEST_CHECK(Gated > 0.8 * Borne);
      DOCTEST_CHECK(Open < 0.2 * Borne);
    }
}

DOCTEST_TEST_CASE("below capacity the gate turns nobody away") {
  const double Served = Overload(0.7, true, 5).run();
  DOCTEST_CHECK(Served > 0.65);
  DOCTEST_CHECK(Served == Overload(0.7, false, 5).run());
}

DOCTEST_TEST_CASE("urgent requests go first, then those that are not late yet, "
                  "then who has the least time") {
  AdmissionController Gate;
  while (Gate.tryEnter()) {
  }
  Gate.wait(waiting(1, 2, true, 10));
  Gate.wait(waiting(2, 1, false, 30));
  Gate.wait(waiting(3, 1, false, 20));
  Gate.wait(waiting(4, 1, true, 40));
  DOCTEST_CHECK(Gate.next() == 0);
  for (const std::uint64_t Id : {3, 2, 4, 1}) {
    Gate.leave();
    DOCTEST_CHECK(Gate.next() == Id);
  }
}

DOCTEST_TEST_CASE("a full line turns away the last in order") {
  AdmissionController Gate;
  while (Gate.tryEnter()) {
  }
  for (std::uint64_t Id = 1; Id <= AdmissionController::MostWaiting; ++Id)
    DOCTEST_CHECK(Gate.wait(waiting(Id, 1, false, static_cast<int>(Id))) == 0);
  DOCTEST_CHECK(Gate.wait(waiting(100, 0, false, 1)) ==
                AdmissionController::MostWaiting);
  DOCTEST_CHECK(Gate.wait(waiting(101, 9, false, 1)) == 101);
}

DOCTEST_TEST_CASE("nobody passes those who wait") {
  AdmissionController Gate;
  while (Gate.tryEnter()) {
  }
  Gate.wait(waiting(1, 1, false, 1));
  Gate.leave();
  DOCTEST_CHECK(!Gate.tryEnter());
  DOCTEST_CHECK(Gate.next() == 1);
}
