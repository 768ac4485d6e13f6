#include "citronlever/Dispatch"

#include <doctest/doctest.h>

#include <deque>
#include <queue>
#include <random>

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
  AdmissionGate Gate;
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

DOCTEST_TEST_CASE("below capacity the gate turns nobody away") {
  const double Served = Overload(0.7, true, 5).run();
  DOCTEST_CHECK(Served > 0.65);
  DOCTEST_CHECK(Served == Overload(0.7, false, 5).run());
}

DOCTEST_TEST_CASE("urgent requests go first, then who came back, then who has "
                  "the least time") {
  AdmissionGate Gate;
  while (Gate.tryEnter()) {
  }
  Gate.wait(waiting(1, 2, true, 10));
  Gate.wait(waiting(2, 1, false, 30));
  Gate.wait(waiting(3, 1, false, 20));
  Gate.wait(waiting(4, 1, true, 40));
  DOCTEST_CHECK(Gate.next() == 0);
  for (const std::uint64_t Id : {4, 3, 2, 1}) {
    Gate.leave();
    DOCTEST_CHECK(Gate.next() == Id);
  }
}

DOCTEST_TEST_CASE("a full line turns away the last in order") {
  AdmissionGate Gate;
  while (Gate.tryEnter()) {
  }
  for (std::uint64_t Id = 1; Id <= AdmissionGate::MostWaiting; ++Id)
    DOCTEST_CHECK(Gate.wait(waiting(Id, 1, false, static_cast<int>(Id))) == 0);
  DOCTEST_CHECK(Gate.wait(waiting(100, 0, false, 1)) ==
                AdmissionGate::MostWaiting);
  DOCTEST_CHECK(Gate.wait(waiting(101, 9, false, 1)) == 101);
}

DOCTEST_TEST_CASE("nobody passes those who wait") {
  AdmissionGate Gate;
  while (Gate.tryEnter()) {
  }
  Gate.wait(waiting(1, 1, false, 1));
  Gate.leave();
  DOCTEST_CHECK(!Gate.tryEnter());
  DOCTEST_CHECK(Gate.next() == 1);
}
