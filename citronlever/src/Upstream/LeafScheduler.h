#pragma once

#include "citronlever/src/Core/QuantileWindow.h"
#include "citronlever/src/Upstream/CustomerHedgeBudgets.h"
#include "citronlever/src/Upstream/ExtraRequestBudget.h"
#include "citronlever/src/Upstream/HedgePolicy.h"
#include "citronlever/src/Upstream/LeafTable.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <memory>
#include <queue>
#include <unordered_map>
#include <vector>

namespace citronlever {

/// Decides which leaf gets which request and when, for the leaves of one
/// service that this process owns. Without I/O, clock or lock of its own.
///
/// A job waits in the owner's queue until one of its replicas has a free slot;
/// it is hedged to another replica after an observed quantile, retried within
/// the same budget, and never sent twice if it is not idempotent and may have
/// run.
/// \tparam Hedging from when a hedge's wait counts.
template <HedgePolicy Hedging> class LeafScheduler {
public:
  explicit LeafScheduler(SchedulerSettings Settings);
  ~LeafScheduler();

  /// The leaves, to be added and taken out or back.
  LeafTable &leaves() { return this->Table; }
  const LeafTable &leaves() const { return this->Table; }
  /// Time for which this process lets replies lie unread: leaves are not judged
  /// by it.
  void setReplyReadDelay(Duration Mean) { this->ReplyReadDelay = Mean; }
  void setExtraRequestShare(double Share) { this->Budget.setShare(Share); }

  /// Takes over the share of hedges that a customer's contract allows.
  void setCustomerHedgeShare(std::string_view Customer, double Share) {
    this->CustomerBudgets.setShare(Customer, Share);
  }

  void submit(ShardJob &&Spec, TimePoint Now, ActionList &Out);
  /// The caller does not want the answer any more. Finishes the job.
  void cancel(JobId Job, TimePoint Now, ActionList &Out);
  /// A request to a leaf is over.
  void onReply(AttemptId Attempt, const LeafReply &Reply, TimePoint Now,
               ActionList &Out);
  /// Runs what has become due.
  void tick(TimePoint Now, ActionList &Out);
  /// \returns when tick() has something to do.
  TimePoint nextWake() const;

  /// Finishes every job that waits in the queue, as not run.
  void shedQueued(TimePoint Now, ActionList &Out);

  /// \returns the job that \p Attempt was sent for, or 0.
  JobId jobOf(AttemptId Attempt) const;
  /// \returns whether anything was sent for \p Which, a job in hand.
  bool wasSent(JobId Job) const { return this->Jobs.at(Job).Sends > 0; }
  const LeafTracker &leaf(LeafIndex Index) const { return this->Table[Index]; }
  std::size_t leafCount() const { return this->Table.size(); }
  std::size_t jobCount() const { return this->Jobs.size(); }
  const ExtraRequestBudget &budget() const { return this->Budget; }
  /// \returns the present wait before a hedge.
  Duration hedgeDelay(std::uint32_t Route, TimePoint Now);
  void dump(boost::json::object &Into, TimePoint Now) const;

private:
  struct ActiveAttempt {
    JobId Job = 0;
    LeafIndex Leaf = 0;
    std::uint32_t Route = 0;
    TimePoint SentAt{};
    TimePoint Deadline{};
    /// Set once the attempt's answer is no longer wanted.
    TimePoint CancelledAt{};
    bool CountsAsLoss = false;
    /// Sent to learn of the leaf.
    bool Probe = false;
    /// Lost, but left to finish.
    bool LeftRunning = false;
    bool Abandoned = false;
    bool Idempotent = true;
  };
  struct ActiveJob {
    ShardJob Spec;
    TimePoint SubmittedAt{};
    TimePoint HedgeAt = TimePoint::max();
    std::vector<AttemptId> Running;
    std::vector<LeafIndex> Tried;
    std::uint32_t Sends = 0;
    Verdict RunVerdict = Verdict::NotRun;
    JobOutcome LastOutcome = JobOutcome::Failed;
    bool Enqueued = false;
    /// Failed, and waits for the budget to be sent again.
    bool RetryPending = false;
  };
  enum class TimerKind : std::uint8_t { Job, Attempt, Leaf };
  struct TimerEntry {
    TimePoint At;
    TimerKind Kind;
    std::uint64_t Id;
    bool operator>(const TimerEntry &Other) const {
      return this->At > Other.At;
    }
  };

  void scheduleTimer(TimePoint At, TimerKind Kind, std::uint64_t Id);
  void scheduleLeafTimer(LeafIndex Index, TimePoint Now);
  void dispatch(ActiveJob &Job, TimePoint Now, ActionList &Out);
  void enqueue(ActiveJob &Job, TimePoint Now);
  void dequeue(ActiveJob &Job);
  void send(ActiveJob &Job, LeafIndex To, TimePoint Now, ActionList &Out,
            bool Probe = false);
  void redispatchWaiting(LeafIndex Failed, TimePoint Now, ActionList &Out);
  void sendQueued(LeafIndex Index, TimePoint Now, ActionList &Out);
  void handleJobTimer(JobId Id, TimePoint Now, ActionList &Out);
  void handleAttemptTimer(AttemptId Id, TimePoint Now, ActionList &Out);
  bool tryTakeHedgeToken(const ActiveJob &Job);
  void hedge(ActiveJob &Job, TimePoint Now, ActionList &Out);
  void retryOrFinish(ActiveJob &Job, LeafIndex From, const LeafReply &Reply,
                     TimePoint Now, ActionList &Out);
  void retry(ActiveJob &Job, TimePoint Now, ActionList &Out);
  void finish(JobId Id, JobOutcome Outcome, Verdict RunVerdict,
              AttemptId Winner, TimePoint Now, ActionList &Out);
  void cancelAttempt(AttemptId Id, bool CountsAsLoss, TimePoint Now,
                     ActionList &Out);

  SchedulerSettings Settings;
  Duration ReplyReadDelay{};
  ExtraRequestBudget Budget;
  CustomerHedgeBudgets CustomerBudgets;
  LeafTable Table;
  std::unordered_map<JobId, ActiveJob> Jobs;
  std::unordered_map<AttemptId, ActiveAttempt> Attempts;
  std::map<std::uint32_t, QuantileWindow> LatencyQuantiles;
  std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>>
      Timers;
  AttemptId LastAttempt = 0;
};

extern template class LeafScheduler<HedgeDelayFromSend>;
extern template class LeafScheduler<HedgeDelayFromSubmit>;
extern template class LeafScheduler<NoHedging>;

} // namespace citronlever
