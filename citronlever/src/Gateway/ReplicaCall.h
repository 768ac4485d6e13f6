#pragma once

#include "citronlever/src/Core/Verdict.h"
#include "citronlever/src/Gateway/LeafPool.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// What became of asking one service.
struct ReplicaResult {
  /// Whether a leaf's answer may be given to the caller as it is.
  bool Answered = false;
  HttpResponse Response;
  /// Whether the request may have run at any leaf.
  Verdict Ran = Verdict::NotRun;
  std::string Reason;
};

/// Asks one service for one answer: chooses a replica, hedges, sends again
/// after failures within the route's attempts and the fleet's extra sends, and
/// never repeats a non-idempotent request that may have run.
class ReplicaCall : public std::enable_shared_from_this<ReplicaCall> {
public:
  using Handler = std::function<void(ReplicaResult)>;

  /// \p Route must outlive the call.
  ReplicaCall(LeafPool &Pool, const RouteSpec &Route, std::string Service,
              LeafRequestPtr Request, Handler OnResult);

  void start(TimePoint Now);

  /// \returns when wake() has something to do, or TimePoint::max().
  TimePoint wakeAt() const { return this->WakeAt; }
  void wake(TimePoint Now);

  /// The answer is no longer needed; \p OnResult will not run.
  void abandon();

  bool isFinished() const { return this->Finished; }
  /// \returns whether the request may have run at any leaf so far.
  Verdict ran() const { return this->Ran; }

private:
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
  void reroute(TimePoint Now);
  void hedge(TimePoint Now);
  void finish(ReplicaResult Result);
  void fail();
  bool canRepeat() const;
  bool canUseAnotherLeaf() const;
  LeafCriteria criteria(std::span<const LeafChannelPtr> Avoid,
                        VersionSide Side);
  /// While the service is moved to another version, has the call's end counted
  /// for the version of \p Leaf.
  void observeForRollout(const LeafChannelPtr &Leaf, ChannelCall &Call);
  /// \returns a leaf for one more send after a failure, or null.
  LeafChannelPtr chooseForRetry(TimePoint Now);

  LeafPool &Pool;
  const RouteSpec &Route;
  std::string Service;
  LeafRequestPtr Request;
  Handler OnResult;
  std::vector<Attempt> InFlight;
  /// Leaves that are not asked again while there are others.
  std::vector<LeafChannelPtr> TriedLeaves;
  /// Leaves that may have begun to work; the route bounds their number.
  std::vector<LeafChannelPtr> UsedLeaves;
  int UnsentCalls = 0;
  int SendCount = 0;
  Verdict Ran = Verdict::NotRun;
  HttpResponse LastFailure;
  bool HasFailure = false;
  bool RetryPending = false;
  bool Finished = false;
  std::string Reason;
  TimePoint WakeAt = TimePoint::max();
};

} // namespace citronlever
