#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Index of a leaf within one scheduler.
using LeafIndex = std::uint32_t;
/// Identifies a job: one shard of one call.
using JobId = std::uint64_t;
/// Identifies an attempt: one request to a leaf for a job. 0 is no attempt.
using AttemptId = std::uint64_t;

/// One shard of a call; any one of its replicas can answer it.
struct ShardJob {
  JobId Id = 0;
  /// Number of the route; latency quantiles are kept per route.
  std::uint32_t Route = 0;
  std::vector<LeafIndex> Replicas;
  bool Idempotent = true;
  /// 0 is the highest priority.
  std::uint32_t Priority = 1;
  /// The customer whose contract limits the hedges; empty if none does.
  std::string Customer;
  TimePoint Deadline{};
};

/// How a job ended.
enum class JobOutcome : std::uint8_t {
  Answered,
  /// Refused, or its deadline passed, before anything was sent.
  Shed,
  TimedOut,
  /// No replica holds the snapshot or shard.
  NotHeld,
  Failed,
  Cancelled,
  /// No replica is in service.
  NoReplica
};

/// Send an attempt to a leaf.
struct SendAction {
  AttemptId Attempt;
  JobId Job;
  LeafIndex Leaf;
  /// Use a new connection because a pooled one was silent.
  bool NewConnection;
};

/// Ask the leaf to drop an attempt.
struct CancelAction {
  AttemptId Attempt;
  LeafIndex Leaf;
};

/// Close the connection of an attempt.
struct AbandonAction {
  AttemptId Attempt;
  LeafIndex Leaf;
  /// Close the leaf's idle connections as well.
  bool CloseIdle;
};

/// A job has ended.
struct FinishAction {
  JobId Job;
  JobOutcome Outcome;
  /// Whether a leaf may have executed the job.
  Verdict RunVerdict;
  /// The attempt whose reply is the answer; 0 if none.
  AttemptId Winner;
  /// Requests sent to leaves for this job.
  std::uint32_t Attempts;
};

/// The actions that the scheduler requests; each list is in order.
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

/// Settings of a scheduler.
struct SchedulerSettings {
  /// Disabled in experiments only; failed requests are still retried.
  bool Hedging = true;
  /// A job is hedged after this quantile of the time from sending to reply.
  double HedgeQuantile = 0.97;
  /// Period over which the quantile is observed.
  Duration QuantilePeriod = Seconds(5);
  /// Hedge delay while too few replies have been observed.
  Duration DefaultHedgeDelay = Milliseconds(20);
  Duration MinHedgeDelay = Milliseconds(1);
  std::uint32_t MaxHedgesPerJob = 3;
  /// A replica counts as slow if its latency exceeds the best replica's by more
  /// than this factor. A hedge may go to a replica that was already tried
  /// unless that replica is slow.
  double SlowLatencyRatio = 1.5;
  /// Time within which a leaf has to answer a cancelled request before the
  /// connection is closed.
  Duration CancelGrace = Milliseconds(30);
  /// Lets cold and slow leaves recover: a leaf that is not warm may complete an
  /// attempt that lost to a hedge, and a leaf avoided as slow gets an
  /// occasional request that is hedged at once. Otherwise such a leaf would
  /// never warm up or show that it has recovered. Disabled in tests and
  /// benchmarks only.
  bool RecoveryProbes = true;
  /// Minimum interval between requests to a slow leaf.
  Duration RecoveryProbeInterval = Milliseconds(100);
  /// A connection counts as silent if a request gets no answer for this long.
  Duration ReplyTimeout = Seconds(1);
  /// Maximum time, from sending, for which an abandoned request is assumed to
  /// occupy a slot of the leaf.
  Duration MaxSlotHold = Seconds(1);
  /// Hedges and retries per first send, and how many may accumulate unused.
  double ExtraRequestShare = 0.05;
  double ExtraRequestBurst = 20;
  /// Interval at which a retry without a budget token checks for one again.
  Duration RetryPollInterval = Milliseconds(2);
  /// Jobs are not queued at a replica whose expected time exceeds the best
  /// replica's by more than this factor.
  double OutlierRatio = 3;
  /// Consecutive attempts lost to a hedge or to the deadline after which the
  /// leaf counts as failing.
  int HedgeLossesToFail = 5;
};

} // namespace citronlever
