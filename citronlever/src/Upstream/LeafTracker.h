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

/// A waiting job's place: by priority, then by deadline.
struct QueueKey {
  std::uint32_t Priority;
  TimePoint Deadline;
  JobId Job;

  bool operator<(const QueueKey &Other) const {
    return std::tie(this->Priority, this->Deadline, this->Job) <
           std::tie(Other.Priority, Other.Deadline, Other.Job);
  }
};

/// How long an attempt took, and what of it was not the leaf's doing.
struct AttemptTimes {
  /// From sending to reply.
  Duration Latency{};
  /// Time for which replies lie unread in this process.
  Duration ReplyReadDelay{};
  /// Time that the leaf was given.
  Duration TimeBudget = Duration::max();
};

/// What an owner knows of one leaf: life cycle, limit, work in hand, queue.
class LeafTracker {
public:
  /// \param Typical latency of the service's warm leaves, shared by all.
  LeafTracker(Leaf Info, const LeafLimits &Limits,
              std::shared_ptr<LatencyBaseline> ServiceBaseline, TimePoint Now);

  /// \returns how many more requests may be sent now.
  int freeSlots(TimePoint Now) const;
  /// \returns the most requests in work at once.
  int limit(TimePoint Now) const;
  /// \returns whether the leaf may be given work at all.
  bool acceptsWork() const;

  /// \returns the expected time in milliseconds for one more request.
  double costMs(TimePoint Now) const;
  /// \returns the expected time in milliseconds for a request that joins the
  /// end of the queue.
  double queuedLatencyMs(TimePoint Now) const;

  void onSent(TimePoint Now);
  /// An attempt is over at the leaf as well.
  void onEnded();
  /// An attempt was given up without word from the leaf, which may work on it
  /// until \p Until: the slot stays taken.
  void onEndedUnknown(TimePoint Until);
  void releaseExpiredHolds(TimePoint Now);

  /// Learns from a reply that took \p Took; \p Losing: it was given up for
  /// another replica's answer.
  void onReply(const LeafReply &Reply, const AttemptTimes &Times,
               bool CountsAsLoss, TimePoint Now);
  /// Notes that a cancelled attempt had not answered in \p Waited.
  void onHedgeLost(Duration Waited, int HedgeLossesToFail, TimePoint Now);

  /// The leaf closed a connection: with what it had answered before, a sign
  /// that it is restarting.
  void onClosedByPeer(TimePoint Now);

  /// \returns the latency to expect, in ms: that of the service's warm leaves
  /// until this one has answered, 0 if there is none either.
  double expectedLatencyMs() const;
  /// \returns whether the leaf was warm at its last answer, which is recent
  /// enough to count although another owner may have served it since.
  bool isKnownWarm(TimePoint Now) const;
  /// \returns whether it failed or gave a sign of a cold start of late.
  bool hasRecentColdSign(TimePoint Now) const;

  TimePoint lastSent() const { return this->LastSent; }
  int inFlight() const { return this->InFlight; }
  int heldSlots() const { return static_cast<int>(this->HeldUntil.size()); }
  /// \returns when a hold ends or, after \p Now, the state changes by itself.
  TimePoint nextWake(TimePoint Now) const;
  void dump(boost::json::object &Into, TimePoint Now) const;

  Leaf Info;
  LeafLifecycle Lifecycle;
  ConcurrencyLimit Limit;
  /// Jobs that this leaf may take when a slot frees.
  std::set<QueueKey> Queue;
  /// Pooled connections were silent: use new ones until one answers.
  bool SuspectConnections = false;
  /// Notes of the most in work since the last reported load.
  int PeakInFlight = 0;
  /// The same for the time before \c PeakSince.
  int PreviousPeak = 0;
  TimePoint PeakStart{};
  /// Mean requests in work over the last seconds.
  MeanConcurrency MeanInFlight;

private:
  /// \returns the latency that the leaf is judged by.
  Duration attributableLatency(const AttemptTimes &Times) const;
  /// \returns whether the leaf had too little time to answer.
  bool hadTooLittleTime(const AttemptTimes &Times) const;
  void rollPeak(Duration ReplyReadDelay, TimePoint Now);
  void markCold(TimePoint Now);
  void markFailed(TimePoint Now);
  void handleConnectionFailure(const LeafReply &Reply, TimePoint Now);
  void onAnswer(Duration Latency, TimePoint Now);
  /// \returns whether the leaf is below its slots and gets too little work to
  /// show that it bears more.
  bool isStarved(TimePoint Now) const;

  int Slots;
  int InFlight = 0;
  TimePoint LastSent{};
  TimePoint LastAnswer{};
  /// When the leaf last failed or gave a sign of a cold start.
  TimePoint LastColdSign{};
  int HedgeLosses = 0;
  std::multiset<TimePoint> HeldUntil;
  std::string Instance;
  std::shared_ptr<LatencyBaseline> ServiceBaseline;
  /// Latency baseline from when the leaf was last warm, 0 if unknown.
  double WarmBaselineMs = 0;
  /// A refused or closed connection is a restart sign only after an answer.
  bool AnsweredSinceRefusal = false;
  double RecentErrors = 0;
};

} // namespace citronlever
