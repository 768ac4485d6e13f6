#pragma once

#include "citronlever/Upstream"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace citronlever::test {

/// What a simulated leaf does with a request: how long it takes.
struct LeafBehaviour {
  double MeanMs = 5;
  /// Share of slow requests and how many times longer they take.
  double SlowShare = 0.01;
  double SlowTimes = 20;
  /// Never answers, nor confirms a cancellation.
  bool Stalled = false;
  /// Answers still to be given until the leaf is warm; while it is cold, a
  /// second request at once makes it fail and start anew.
  int ColdAnswers = 0;
};

/// Drives a scheduler against leaves of known behaviour on a fake clock:
/// queries arrive at random times and ask every shard.
template <HedgePolicy Hedging> class SimulatedLeaves {
public:
  SimulatedLeaves(int Shards, unsigned Seed, SchedulerSettings Settings = {})
      : Scheduler(Settings), Shards(Shards), Random(Seed) {
    for (int Index = 0; Index < 2 * Shards; ++Index) {
      Leaf Info;
      Info.Id = std::to_string(Index);
      this->Scheduler.leaves().add(Info, LeafLimits{}, this->Now);
    }
    this->Behaviours.resize(2 * Shards);
    this->InFlight.resize(2 * Shards);
  }

  /// Runs queries at \p PerSecond for \p Length.
  void run(double PerSecond, Duration Length) {
    const TimePoint End = this->Now + Length;
    std::exponential_distribution<double> Gap(PerSecond);
    TimePoint Arrival = this->Now;
    while (this->Now < End) {
      while (Arrival <= this->Now) {
        this->query();
        Arrival += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(Gap(this->Random)));
      }
      TimePoint Next = std::min(Arrival, this->Scheduler.nextWake());
      if (!this->Replies.empty())
        Next = std::min(Next, this->Replies.top().At);
      this->Now = std::max(this->Now, Next);
      this->deliver();
      this->Scheduler.tick(this->Now, this->Out);
      this->perform();
    }
  }

  /// \returns the quantile of finished queries' times in milliseconds.
  double quantile(double Probability) {
    std::ranges::sort(this->Times);
    const auto Index = static_cast<std::size_t>(
        Probability * static_cast<double>(this->Times.size() - 1));
    return this->Times.at(Index);
  }
  double extraShare() const {
    const ExtraRequestBudget &Budget = this->Scheduler.budget();
    return static_cast<double>(Budget.extraSends()) /
           static_cast<double>(Budget.firstSends());
  }
  void forgetTimes() {
    this->Times.clear();
    this->Unanswered = 0;
  }

  LeafScheduler<Hedging> Scheduler;
  std::vector<LeafBehaviour> Behaviours;
  Duration Deadline = Seconds(2);
  std::vector<double> Times;
  int Unanswered = 0;
  /// Requests that a cold leaf could not bear.
  int Overloads = 0;
  TimePoint Now{Seconds(1)};

  /// Answers that a cold leaf gives before it is warm.
  static constexpr int ColdAnswers = 20;

private:
  struct Reply {
    TimePoint At;
    AttemptId Attempt;
    LeafOutcome Outcome;
    bool operator>(const Reply &Other) const { return this->At > Other.At; }
  };
  struct Query {
    TimePoint Started;
    int Open;
  };

  void query() {
    const int Number = static_cast<int>(this->Queries.size());
    this->Queries.push_back({this->Now, this->Shards});
    for (int Shard = 0; Shard < this->Shards; ++Shard) {
      ShardJob Job;
      Job.Id = static_cast<JobId>(Number) * this->Shards + Shard + 1;
      Job.Replicas = {static_cast<LeafIndex>(2 * Shard),
                      static_cast<LeafIndex>(2 * Shard + 1)};
      Job.Deadline = this->Now + this->Deadline;
      this->Scheduler.submit(std::move(Job), this->Now, this->Out);
    }
    this->perform();
  }

  void perform() {
    for (const SendAction &Each : this->Out.Sends)
      this->serve(Each);
    for (const CancelAction &Each : this->Out.Cancels)
      this->end(Each.Attempt, Each.Leaf, LeafOutcome::Cancelled);
    for (const AbandonAction &Each : this->Out.Abandons)
      this->Replies.push({this->Now, Each.Attempt, LeafOutcome::Abandoned});
    for (const FinishAction &Each : this->Out.Finishes) {
      Query &Of = this->Queries[(Each.Job - 1) / this->Shards];
      if (Each.Outcome != JobOutcome::Answered)
        ++this->Unanswered;
      if (--Of.Open == 0)
        this->Times.push_back(
            std::chrono::duration<double, std::milli>(this->Now - Of.Started)
                .count());
    }
    this->Out.clear();
  }
  void serve(const SendAction &Sent) {
    LeafBehaviour &How = this->Behaviours[Sent.Leaf];
    if (Sent.NewConnection)
      this->FreshSends.insert(Sent.Attempt);
    if (How.Stalled)
      return;
    if (How.ColdAnswers > 0 && !this->InFlight[Sent.Leaf].empty()) {
      ++this->Overloads;
      How.ColdAnswers = ColdAnswers;
      this->Replies.push(
          {this->Now + Milliseconds(1), Sent.Attempt, LeafOutcome::Failed});
      return;
    }
    this->InFlight[Sent.Leaf].insert(Sent.Attempt);
    How.ColdAnswers = std::max(0, How.ColdAnswers - 1);
    std::uniform_real_distribution<double> Unit(0, 1);
    std::uniform_real_distribution<double> Spread(0.8, 1.2);
    double Ms = How.MeanMs * Spread(this->Random);
    if (Unit(this->Random) < How.SlowShare)
      Ms *= How.SlowTimes;
    const auto Takes = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
    this->Replies.push({this->Now + Takes, Sent.Attempt, LeafOutcome::Ok});
  }
  void end(AttemptId Attempt, LeafIndex Leaf, LeafOutcome Outcome) {
    this->InFlight[Leaf].erase(Attempt);
    if (!this->Behaviours[Leaf].Stalled)
      this->Replies.push({this->Now + Milliseconds(1), Attempt, Outcome});
  }
  void deliver() {
    while (!this->Replies.empty() && this->Replies.top().At <= this->Now) {
      const Reply Next = this->Replies.top();
      this->Replies.pop();
      for (std::set<AttemptId> &Each : this->InFlight)
        Each.erase(Next.Attempt);
      LeafReply Given;
      Given.Outcome = Next.Outcome;
      Given.RunVerdict =
          Next.Outcome == LeafOutcome::Ok ? Verdict::Ran : Verdict::MayHaveRun;
      Given.Pooled = this->FreshSends.erase(Next.Attempt) == 0;
      this->Scheduler.onReply(Next.Attempt, Given, this->Now, this->Out);
      this->perform();
    }
  }

  int Shards;
  std::mt19937 Random;
  ActionList Out;
  std::vector<Query> Queries;
  std::vector<std::set<AttemptId>> InFlight;
  /// Sent on a new connection.
  std::set<AttemptId> FreshSends;
  std::priority_queue<Reply, std::vector<Reply>, std::greater<>> Replies;
};

} // namespace citronlever::test
