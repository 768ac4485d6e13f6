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

/// Decides when each request is sent and to which leaf, for the leaves of one
/// service that this process owns. Performs no I/O and has no clock or lock:
/// methods get the current time and append the actions to be performed to an
/// ActionList.
///
/// A job waits in the owner's queue until one of its replicas has a free slot.
/// It is hedged after an observed quantile of the reply time and retried within
/// the same budget. A job that is not idempotent is never sent again once it
/// may have run. \tparam Hedging whether to hedge, and from when the hedge
/// delay counts.
template <HedgePolicy Hedging> class LeafScheduler {
public:
  explicit LeafScheduler(SchedulerSettings Settings);
  ~LeafScheduler();

  /// Access to the leaves, for adding them and changing their state.
  LeafTable &leaves() { return this->Table; }
  const LeafTable &leaves() const { return this->Table; }
  /// Sets the mean time for which replies wait unread in this process. It is
  /// not attributed to the leaves.
  void setReplyReadDelay(Duration Mean) { this->ReplyReadDelay = Mean; }
  /// Sets the number of hedges and retries allowed per first send.
  void setExtraRequestShare(double Share) { this->Budget.setShare(Share); }

  /// Sets the hedges per first send that a customer's contract allows.
  void setCustomerHedgeShare(std::string_view Customer, double Share) {
    this->CustomerBudgets.setShare(Customer, Share);
  }

  /// Adds a job: sends it, queues it, or finishes it at once if no replica is
  /// in service or can answer it by its deadline.
  void submit(ShardJob &&Spec, TimePoint Now, ActionList &Out);
  /// Finishes a job whose caller no longer wants the answer.
  void cancel(JobId Job, TimePoint Now, ActionList &Out);
  /// Handles the end of an attempt, with or without an answer of the leaf.
  void onReply(AttemptId Attempt, const LeafReply &Reply, TimePoint Now,
               ActionList &Out);
  /// Handles the timers that are due.
  void tick(TimePoint Now, ActionList &Out);
  /// \returns when tick() is to be called next, TimePoint::max() if never.
  TimePoint nextWake() const;

  /// Finishes every queued job without a running attempt as shed.
  void shedQueued(TimePoint Now, ActionList &Out);

  /// \returns the job that \p Attempt was sent for, or 0.
  JobId jobOf(AttemptId Attempt) const;
  /// \returns whether a request was sent for \p Job, which must be unfinished.
  bool wasSent(JobId Job) const { return this->Jobs.at(Job).Sends > 0; }
  const LeafTracker &leaf(LeafIndex Index) const { return this->Table[Index]; }
  std::size_t leafCount() const { return this->Table.size(); }
  std::size_t jobCount() const { return this->Jobs.size(); }
  const ExtraRequestBudget &budget() const { return this->Budget; }
  /// \returns the current delay before a hedge.
  Duration hedgeDelay(std::uint32_t Route, TimePoint Now);
  /// Adds the state of the leaves and of the budget to \p Into.
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
    /// Cancelled because another attempt was faster or the deadline passed.
    bool CountsAsLoss = false;
    /// Sent to test a failed or slow leaf; hedged at once.
    bool Probe = false;
    /// Not wanted any more, but may complete so that the leaf can recover.
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
    /// Combined over the attempts that have ended.
    Verdict RunVerdict = Verdict::NotRun;
    /// Of the last attempt that failed.
    JobOutcome LastOutcome = JobOutcome::Failed;
    bool Enqueued = false;
    /// All attempts failed; waits for a budget token to be sent again.
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

  /// Timers are never removed; one that has become obsolete has no effect.
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
