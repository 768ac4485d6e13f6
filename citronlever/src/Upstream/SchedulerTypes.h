#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Index of a leaf within one scheduler.
using LeafIndex = std::uint32_t;
/// One shard of one call.
using JobId = std::uint64_t;
/// One request to a leaf for a job.
using AttemptId = std::uint64_t;

/// One shard of a call, to be answered by any one of its replicas.
struct ShardJob {
  JobId Id = 0;
  /// Interned route, for the observed quantiles.
  std::uint32_t Route = 0;
  std::vector<LeafIndex> Replicas;
  bool Idempotent = true;
  /// 0 goes first.
  std::uint32_t Priority = 1;
  /// Whose contract bounds the hedges; empty if none does.
  std::string Customer;
  TimePoint Deadline{};
};

/// How a job ended.
enum class JobOutcome : std::uint8_t {
  Answered,
  /// Refused early, nothing sent.
  Shed,
  TimedOut,
  /// No replica holds the snapshot or shard.
  NotHeld,
  Failed,
  Cancelled,
  /// No replica is in service.
  NoReplica
};

struct SendAction {
  AttemptId Attempt;
  JobId Job;
  LeafIndex Leaf;
  /// On a new connection, since a pooled one was silent.
  bool NewConnection;
};

/// Ask the leaf to drop the attempt.
struct CancelAction {
  AttemptId Attempt;
  LeafIndex Leaf;
};

/// Close the attempt's connection.
struct AbandonAction {
  AttemptId Attempt;
  LeafIndex Leaf;
  /// Close the leaf's idle connections as well.
  bool CloseIdle;
};

struct FinishAction {
  JobId Job;
  JobOutcome Outcome;
  Verdict RunVerdict;
  /// The attempt whose reply is the answer; 0 if none.
  AttemptId Winner;
  /// Requests sent to leaves for this job.
  std::uint32_t Attempts;
};

/// What the scheduler wants done, in order of each list.
struct ActionList {
  std::vector<SendAction> Sends;
  std::vector<CancelAction> Cancels;
  std::vector<AbandonAction> Abandons;
  std::vector<FinishAction> Finishes;

  void clear() {
    this->Sends.clear();
    this->Cancels.clear();
    this->Abandons.clear();
    this->Finishes.clear();
  }
  bool empty() const {
    return this->Sends.empty() && this->Cancels.empty() &&
           this->Abandons.empty() && this->Finishes.empty();
  }
};

/// Bounds of a scheduler.
struct SchedulerSettings {
  /// Off in experiments alone; retries remain.
  bool Hedging = true;
  /// Quantile of the time from sending to reply after which a job is hedged.
  double HedgeQuantile = 0.97;
  Duration QuantilePeriod = Seconds(5);
  /// Wait for a hedge while too few replies were seen.
  Duration DefaultHedgeDelay = Milliseconds(20);
  Duration MinHedgeDelay = Milliseconds(1);
  /// Hedges of one job.
  std::uint32_t MaxHedgesPerJob = 3;
  /// A tried replica may be tried again by a hedge while its latency is at
  /// most this many times the best replica's.
  double SlowLatencyRatio = 1.5;
  /// Time for a cancelled request to be answered before its connection is
  /// closed.
  Duration CancelGrace = Milliseconds(30);
  /// A leaf that is not warm may finish what it has lost to a hedge, and one
  /// that is avoided as slow gets a request now and then, hedged at once: else
  /// it never warms up or shows that it is well again. Off in tests alone.
  bool RecoveryProbes = true;
  /// Pause between two such requests to a leaf.
  Duration RecoveryProbeInterval = Milliseconds(100);
  /// A request without answer for this long means a silent connection.
  Duration ReplyTimeout = Seconds(1);
  /// Time from sending for which an abandoned request may still hold a slot
  /// of the leaf.
  Duration MaxSlotHold = Seconds(1);
  double ExtraRequestShare = 0.05;
  double ExtraRequestBurst = 20;
  /// Pause before a retry that found no budget looks again.
  Duration RetryPollInterval = Milliseconds(2);
  /// A replica this many times slower than the best gets no queued work.
  double OutlierRatio = 3;
  /// Hedges lost in a row that count as a failure of the leaf.
  int HedgeLossesToFail = 5;
};

} // namespace citronlever
