#pragma once

#include "citronlever/src/Config/Service.h"
#include "citronlever/src/Upstream/ConcurrencyLimit.h"
#include "citronlever/src/Upstream/LatencyBaseline.h"
#include "citronlever/src/Upstream/LeafLifecycle.h"
#include "citronlever/src/Upstream/LeafReply.h"
#include "citronlever/src/Upstream/MeanConcurrency.h"
#include "citronlever/src/Upstream/SchedulerTypes.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace citronlever {

/// Orders queued jobs by priority, then by deadline.
struct QueueKey {
  std::uint32_t Priority;
  TimePoint Deadline;
  JobId Job;

  bool operator<(const QueueKey &Other) const {
    return std::tie(this->Priority, this->Deadline, this->Job) <
           std::tie(Other.Priority, Other.Deadline, Other.Job);
  }
};

/// Duration of an attempt, and what is needed to attribute it to the leaf.
struct AttemptTimes {
  /// From sending to reply.
  Duration Latency{};
  /// Mean time for which replies wait unread in this process.
  Duration ReplyReadDelay{};
  /// Time that the leaf had until the deadline.
  Duration TimeBudget = Duration::max();
};

/// The state that an owner keeps for one leaf: life cycle, concurrency limit,
/// requests in flight and the queue of jobs that it can answer.
class LeafTracker {
public:
  /// \param ServiceBaseline latency of the service's warm leaves, shared by all
  /// trackers of the service.
  LeafTracker(Leaf Info, const LeafLimits &Limits,
              std::shared_ptr<LatencyBaseline> ServiceBaseline, TimePoint Now);

  /// \returns how many more requests may be sent now.
  int freeSlots(TimePoint Now) const;
  /// \returns the maximum number of requests in flight.
  int limit(TimePoint Now) const;
  /// \returns whether the leaf is neither draining nor out of service.
  bool acceptsWork() const;

  /// \returns the expected time in milliseconds for a request sent now.
  double costMs(TimePoint Now) const;
  /// \returns the expected time in milliseconds for a request that joins the
  /// end of the queue.
  double queuedLatencyMs(TimePoint Now) const;

  /// An attempt was sent.
  void onSent(TimePoint Now);
  /// An attempt ended, and the leaf does not work on it any longer.
  void onEnded();
  /// An attempt ended without an answer. The leaf may still work on it, so its
  /// slot stays occupied until \p Until.
  void onEndedUnknown(TimePoint Until);
  /// Frees the slots that were held until \p Now or earlier.
  void releaseExpiredHolds(TimePoint Now);

  /// Updates life cycle and limit after an attempt.
  /// \param CountsAsLoss the attempt was cancelled because another one was
  /// faster or the deadline passed.
  void onReply(const LeafReply &Reply, const AttemptTimes &Times,
               bool CountsAsLoss, TimePoint Now);
  /// Records that an attempt lost, to a hedge or to the deadline, after
  /// \p Waited. The leaf counts as failing after \p HedgeLossesToFail
  /// consecutive losses.
  void onHedgeLost(Duration Waited, int HedgeLossesToFail, TimePoint Now);

  /// The leaf closed a connection. If it has answered since it last refused or
  /// closed one, this is a sign of a restart.
  void onClosedByPeer(TimePoint Now);

  /// \returns the recent mean latency in milliseconds; until the leaf has
  /// answered, that of the service's warm leaves, 0 if unknown.
  double expectedLatencyMs() const;
  /// \returns whether the leaf is warm and its last answer recent enough to
  /// rely on, although another owner may have used the leaf since.
  bool isKnownWarm(TimePoint Now) const;
  /// \returns whether the leaf recently failed or gave a sign of a cold start.
  bool hasRecentColdSign(TimePoint Now) const;

  /// \returns when the last request was sent.
  TimePoint lastSent() const { return this->LastSent; }
  int inFlight() const { return this->InFlight; }
  /// \returns the slots assumed to be occupied by abandoned attempts.
  int heldSlots() const { return static_cast<int>(this->HeldUntil.size()); }
  /// \returns when the next held slot is released or, if that is after \p Now,
  /// the life cycle changes by time.
  TimePoint nextWake(TimePoint Now) const;
  void dump(boost::json::object &Into, TimePoint Now) const;

  Leaf Info;
  LeafLifecycle Lifecycle;
  ConcurrencyLimit Limit;
  /// Jobs that may be sent to this leaf when a slot becomes free.
  std::set<QueueKey> Queue;
  /// A pooled connection failed: use new connections until one answers.
  bool SuspectConnections = false;
  /// Maximum of requests in flight and held slots since \c PeakStart.
  int PeakInFlight = 0;
  /// The same for the period before \c PeakStart.
  int PreviousPeak = 0;
  TimePoint PeakStart{};
  /// Mean number of requests in flight over the last seconds.
  MeanConcurrency MeanInFlight;

private:
  /// \returns the latency without ReplyReadDelay, but not less than the leaf's
  /// known latency.
  Duration attributableLatency(const AttemptTimes &Times) const;
  /// \returns whether the deadline was too short for the leaf to answer.
  bool hadTooLittleTime(const AttemptTimes &Times) const;
  /// Starts a new period for PeakInFlight if the current one is long enough.
  void rollPeak(Duration ReplyReadDelay, TimePoint Now);
  void markCold(TimePoint Now);
  void markFailed(TimePoint Now);
  /// Suspects the pooled connections, or counts a failure of the leaf.
  void handleConnectionFailure(const LeafReply &Reply, TimePoint Now);
  void onAnswer(Duration Latency, TimePoint Now);
  /// \returns whether the leaf is limited to fewer than its slots and gets too
  /// few requests to show that it can take more.
  bool isStarved(TimePoint Now) const;

  int Slots;
  int InFlight = 0;
  TimePoint LastSent{};
  TimePoint LastAnswer{};
  /// When the leaf last failed or gave a sign of a cold start.
  TimePoint LastColdSign{};
  /// Consecutive attempts lost to a hedge or to the deadline.
  int HedgeLosses = 0;
  /// When the slots of abandoned attempts become free.
  std::multiset<TimePoint> HeldUntil;
  std::string Instance;
  std::shared_ptr<LatencyBaseline> ServiceBaseline;
  /// Latency baseline when the leaf was last warm, in milliseconds, 0 if
  /// unknown.
  double WarmBaselineMs = 0;
  /// A refused or closed connection is a sign of a restart only after an
  /// answer.
  bool AnsweredSinceRefusal = false;
  /// Errors, of which every answer cancels a fraction.
  double RecentErrors = 0;
};

} // namespace citronlever
