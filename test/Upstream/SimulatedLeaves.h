#pragma once

#include "citronlever/Upstream"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace citronlever::test {

/// How a simulated leaf answers requests.
struct LeafBehaviour {
  double MeanMs = 5;
  /// Share of slow requests and the factor by which they take longer.
  double SlowShare = 0.01;
  double SlowFactor = 20;
  /// Never answers and never confirms a cancellation.
  bool Stalled = false;
  /// Answers left until the leaf is warm. A cold leaf fails a second concurrent
  /// request and has to warm up from the start.
  int ColdAnswers = 0;
};

/// Runs a scheduler with simulated leaves and a simulated clock. Queries arrive
/// at random times, and each asks every shard. Each shard has two replicas.
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

  /// Simulates queries at a mean rate of \p PerSecond for \p Length.
  void run(double PerSecond, Duration Length) {
    const TimePoint End = this->Now + Length;
    std::exponential_distribution<double> Gap(PerSecond);
    TimePoint Arrival = this->Now;
    while (this->Now < End) {
      while (Arrival <= this->Now) {
        this->startQuery();
        Arrival += std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(Gap(this->Random)));
      }
      TimePoint Next = std::min(Arrival, this->Scheduler.nextWake());
      if (!this->Replies.empty())
        Next = std::min(Next, this->Replies.top().At);
      this->Now = std::max(this->Now, Next);
      this->deliverReplies();
      this->Scheduler.tick(this->Now, this->Out);
      this->performActions();
    }
  }

  /// \returns a quantile of the latencies of finished queries, in milliseconds.
  double quantile(double Probability) {
    std::ranges::sort(this->LatenciesMs);
    const auto Index = static_cast<std::size_t>(
        Probability * static_cast<double>(this->LatenciesMs.size() - 1));
    return this->LatenciesMs.at(Index);
  }
  /// \returns the number of hedges and retries per first send.
  double extraShare() const {
    const ExtraRequestBudget &Budget = this->Scheduler.budget();
    return static_cast<double>(Budget.extraSends()) /
           static_cast<double>(Budget.firstSends());
  }
  /// Discards the latencies and the count of unanswered jobs.
  void forgetTimes() {
    this->LatenciesMs.clear();
    this->Unanswered = 0;
  }

  LeafScheduler<Hedging> Scheduler;
  std::vector<LeafBehaviour> Behaviours;
  Duration Deadline = Seconds(2);
  /// Latencies of the finished queries in milliseconds.
  std::vector<double> LatenciesMs;
  int Unanswered = 0;
  /// Requests that failed because their leaf was cold.
  int Overloads = 0;
  TimePoint Now{Seconds(1)};

  /// Number of answers after which a cold leaf is warm.
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
    int OpenShards;
  };

  void startQuery() {
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
    this->performActions();
  }

  void performActions() {
    for (const SendAction &Each : this->Out.Sends)
      this->handleSend(Each);
    for (const CancelAction &Each : this->Out.Cancels)
      this->finishAttempt(Each.Attempt, Each.Leaf, LeafOutcome::Cancelled);
    for (const AbandonAction &Each : this->Out.Abandons)
      this->Replies.push({this->Now, Each.Attempt, LeafOutcome::Abandoned});
    for (const FinishAction &Each : this->Out.Finishes) {
      Query &Of = this->Queries[(Each.Job - 1) / this->Shards];
      if (Each.Outcome != JobOutcome::Answered)
        ++this->Unanswered;
      if (--Of.OpenShards == 0)
        this->LatenciesMs.push_back(
            std::chrono::duration<double, std::milli>(this->Now - Of.Started)
                .count());
    }
    this->Out.clear();
  }
  void handleSend(const SendAction &Sent) {
    LeafBehaviour &Behaviour = this->Behaviours[Sent.Leaf];
    if (Sent.NewConnection)
      this->FreshSends.insert(Sent.Attempt);
    if (Behaviour.Stalled)
      return;
    if (Behaviour.ColdAnswers > 0 && !this->InFlight[Sent.Leaf].empty()) {
      ++this->Overloads;
      Behaviour.ColdAnswers = ColdAnswers;
      this->Replies.push(
          {this->Now + Milliseconds(1), Sent.Attempt, LeafOutcome::Failed});
      return;
    }
    this->InFlight[Sent.Leaf].insert(Sent.Attempt);
    Behaviour.ColdAnswers = std::max(0, Behaviour.ColdAnswers - 1);
    std::uniform_real_distribution<double> Unit(0, 1);
    std::uniform_real_distribution<double> Spread(0.8, 1.2);
    double Ms = Behaviour.MeanMs * Spread(this->Random);
    if (Unit(this->Random) < Behaviour.SlowShare)
      Ms *= Behaviour.SlowFactor;
    const auto ServiceTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
    this->Replies.push(
        {this->Now + ServiceTime, Sent.Attempt, LeafOutcome::Ok});
  }
  void finishAttempt(AttemptId Attempt, LeafIndex Leaf, LeafOutcome Outcome) {
    this->InFlight[Leaf].erase(Attempt);
    if (!this->Behaviours[Leaf].Stalled)
      this->Replies.push({this->Now + Milliseconds(1), Attempt, Outcome});
  }
  void deliverReplies() {
    while (!this->Replies.empty() && this->Replies.top().At <= this->Now) {
      const Reply Next = this->Replies.top();
      this->Replies.pop();
      for (std::set<AttemptId> &Each : this->InFlight)
        Each.erase(Next.Attempt);
      LeafReply Delivered;
      Delivered.Outcome = Next.Outcome;
      Delivered.RunVerdict =
          Next.Outcome == LeafOutcome::Ok ? Verdict::Ran : Verdict::MayHaveRun;
      Delivered.Pooled = this->FreshSends.erase(Next.Attempt) == 0;
      this->Scheduler.onReply(Next.Attempt, Delivered, this->Now, this->Out);
      this->performActions();
    }
  }

  int Shards;
  std::mt19937 Random;
  ActionList Out;
  std::vector<Query> Queries;
  std::vector<std::set<AttemptId>> InFlight;
  /// Attempts sent on a new connection.
  std::set<AttemptId> FreshSends;
  std::priority_queue<Reply, std::vector<Reply>, std::greater<>> Replies;
};

} // namespace citronlever::test
