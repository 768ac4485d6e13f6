#pragma once

#include "citronlever/src/Core/Verdict.h"
#include "citronlever/src/Gateway/LeafPool.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// Result of calling one service.
struct ReplicaResult {
  /// Whether the response is a leaf's answer that can be passed on unchanged.
  bool Answered = false;
  HttpResponse Response;
  /// Whether a leaf may have run the request.
  Verdict Ran = Verdict::NotRun;
  std::string Reason;
};

/// Gets one answer from one service. Chooses a replica, hedges slow calls and
/// retries failed ones, within the route's attempts and the fleet's extra
/// sends. Never repeats a non-idempotent request that may have run.
class ReplicaCall : public std::enable_shared_from_this<ReplicaCall> {
public:
  using Handler = std::function<void(ReplicaResult)>;
  using RescheduleHandler = std::function<void(TimePoint WakeAt)>;

  /// \p Route must outlive the call. \p OnRescheduled is called when wakeAt()
  /// changes because a leaf answered or failed, that is, outside of start() and
  /// wake().
  ReplicaCall(LeafPool &Pool, const RouteSpec &Route, std::string Service,
              LeafRequestPtr Request, Handler OnResult,
              RescheduleHandler OnRescheduled = {});

  /// Sends the first call.
  void start(TimePoint Now);

  /// \returns when wake() must be called, or TimePoint::max().
  TimePoint wakeAt() const { return this->WakeAt; }
  /// Hedges, retries or moves an unsent call, whichever is due.
  void wake(TimePoint Now);

  /// Cancels the call because its answer is no longer needed. \p OnResult is
  /// not called.
  void abandon();

  bool isFinished() const { return this->Finished; }
  /// \returns whether a leaf may have run the request so far.
  Verdict ran() const { return this->Ran; }

private:
  /// One send to one leaf.
  struct Attempt {
    LeafChannelPtr Leaf;
    ChannelCallPtr Call;
    bool Extra = false;
  };

  bool sendNext(bool Extra, TimePoint Now);
  void send(const LeafChannelPtr &Leaf, bool Extra, TimePoint Now);
  void onCallEnded(const ChannelCallPtr &Call, ChannelAnswer Answer);
  void handleAnswer(const Attempt &From, ChannelAnswer Answer, TimePoint Now);
  void retry(TimePoint Now);
  /// Waits a short time for an extra send, then fails the call.
  void awaitBudget(TimePoint Now);
  /// Moves a call that still waits for a connection to another leaf.
  void reroute(TimePoint Now);
  void hedge(TimePoint Now);
  void finish(ReplicaResult Result);
  void fail();
  bool canRepeat() const;
  /// \returns whether the route's attempts allow one more leaf.
  bool canUseAnotherLeaf() const;
  LeafCriteria criteria(std::span<const LeafChannelPtr> Avoid,
                        VersionSide Side);
  /// During a rollout, counts the end of the call for the version of the leaf.
  void observeForRollout(const LeafChannelPtr &Leaf, ChannelCall &Call);
  /// \returns a leaf for a retry, or null.
  LeafChannelPtr chooseForRetry(TimePoint Now);

  LeafPool &Pool;
  const RouteSpec &Route;
  std::string Service;
  LeafRequestPtr Request;
  Handler OnResult;
  RescheduleHandler OnRescheduled;
  std::vector<Attempt> InFlight;
  /// Leaves that are avoided as long as there are others.
  std::vector<LeafChannelPtr> TriedLeaves;
  /// Leaves that may have started to work on the request. The route limits
  /// their number.
  std::vector<LeafChannelPtr> UsedLeaves;
  /// Calls that ended without being sent.
  int UnsentCalls = 0;
  int SendCount = 0;
  Verdict Ran = Verdict::NotRun;
  HttpResponse LastFailure;
  bool HasFailure = false;
  bool RetryPending = false;
  bool Finished = false;
  std::string Reason;
  TimePoint WakeAt = TimePoint::max();
  /// When a pending retry fails the call unless the budget allows it first.
  TimePoint GiveUpAt = TimePoint::max();
};

} // namespace citronlever
