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
  void setOwnDelay(Duration Mean) { this->OwnDelay = Mean; }
  void setExtraShare(double Share) { this->Budget.setShare(Share); }

  /// Takes over the share of hedges that a customer's contract allows.
  void setCustomerShare(std::string_view Customer, double Share) {
    this->Customers.setShare(Customer, Share);
  }

  void submit(ShardJob &&Spec, TimePoint Now, ActionList &Out);
  /// The caller does not want the answer any more. Finishes the job.
  void cancel(JobId Job, TimePoint Now, ActionList &Out);
  /// A request to a leaf is over.
  void replied(AttemptId Attempt, const LeafReply &Reply, TimePoint Now,
               ActionList &Out);
  /// Runs what has become due.
  void tick(TimePoint Now, ActionList &Out);
  /// \returns when tick() has something to do.
  TimePoint nextWake() const;

  /// Finishes every job that waits in the queue, as not run.
  void giveUpQueued(TimePoint Now, ActionList &Out);

  /// \returns the job that \p Attempt was sent for, or 0.
  JobId jobOf(AttemptId Attempt) const;
  /// \returns whether anything was sent for \p Which, a job in hand.
  bool wasSent(JobId Which) const { return this->Jobs.at(Which).Sends > 0; }
  const LeafTracker &leaf(LeafIndex Which) const { return this->Table[Which]; }
  std::size_t leafCount() const { return this->Table.size(); }
  std::size_t jobCount() const { return this->Jobs.size(); }
  const ExtraRequestBudget &budget() const { return this->Budget; }
  /// \returns the present wait before a hedge.
  Duration hedgeDelay(std::uint32_t Route, TimePoint Now);
  void dump(boost::json::object &Into, TimePoint Now) const;

private:
  struct Attempt {
    JobId Job = 0;
    LeafIndex Leaf = 0;
    std::uint32_t Route = 0;
    TimePoint SentAt{};
    TimePoint Deadline{};
    /// Set once the attempt's answer is no longer wanted.
    TimePoint CancelledAt{};
    bool Losing = false;
    /// Sent to learn of the leaf.
    bool Probe = false;
    /// Lost, but left to finish.
    bool Left = false;
    bool Abandoned = false;
    bool Idempotent = true;
  };
  struct Job {
    ShardJob Spec;
    TimePoint Queued{};
    TimePoint HedgeAt = TimePoint::max();
    std::vector<AttemptId> Running;
    std::vector<LeafIndex> Tried;
    std::uint32_t Sends = 0;
    Verdict Ran = Verdict::NotRun;
    JobEnd LastEnd = JobEnd::Failed;
    bool Waiting = false;
    /// Failed, and waits for the budget to be sent again.
    bool RetryDue = false;
  };
  enum class WakeKind : std::uint8_t { Job, Attempt, Leaf };
  struct Wake {
    TimePoint At;
    WakeKind Kind;
    std::uint64_t Id;
    bool operator>(const Wake &Other) const { return this->At > Other.At; }
  };

  void wakeAt(TimePoint At, WakeKind Kind, std::uint64_t Id);
  void wakeLeaf(LeafIndex Which, TimePoint Now);
  void place(Job &Of, TimePoint Now, ActionList &Out);
  void enqueue(Job &Of, TimePoint Now);
  void unqueue(Job &Of);
  void send(Job &Of, LeafIndex To, TimePoint Now, ActionList &Out,
            bool Probe = false);
  void placeAgain(LeafIndex Failed, TimePoint Now, ActionList &Out);
  void drainQueue(LeafIndex Which, TimePoint Now, ActionList &Out);
  void checkJob(JobId Id, TimePoint Now, ActionList &Out);
  void checkAttempt(AttemptId Id, TimePoint Now, ActionList &Out);
  bool tryTakeHedge(const Job &Of);
  void hedge(Job &Of, TimePoint Now, ActionList &Out);
  void retryOrFinish(Job &Of, LeafIndex From, const LeafReply &Reply,
                     TimePoint Now, ActionList &Out);
  void retry(Job &Of, TimePoint Now, ActionList &Out);
  void finish(JobId Id, JobEnd End, Verdict Outcome, AttemptId Winner,
              TimePoint Now, ActionList &Out);
  void cancelAttempt(AttemptId Id, bool Losing, TimePoint Now, ActionList &Out);

  SchedulerSettings Settings;
  Duration OwnDelay{};
  ExtraRequestBudget Budget;
  CustomerHedgeBudgets Customers;
  LeafTable Table;
  std::unordered_map<JobId, Job> Jobs;
  std::unordered_map<AttemptId, Attempt> Attempts;
  std::map<std::uint32_t, QuantileWindow> Quantiles;
  std::priority_queue<Wake, std::vector<Wake>, std::greater<>> Wakes;
  AttemptId LastAttempt = 0;
};

extern template class LeafScheduler<HedgeFromSending>;
extern template class LeafScheduler<HedgeFromQueueing>;
extern template class LeafScheduler<NoHedge>;

} // namespace citronlever
