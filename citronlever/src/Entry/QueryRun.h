#pragma once

#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/Answer.h"
#include "citronlever/src/Entry/GroupRun.h"
#include "citronlever/src/Entry/QueryOutcome.h"
#include "citronlever/src/Entry/QueryPlan.h"
#include "citronlever/src/Entry/QuerySpec.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronlever {

/// Time limits and retry limits of one request at the entry.
struct QueryTimes {
  /// Subtracted from the time given to brokers, so that answers sent at their
  /// deadline still arrive before the caller's.
  Duration MergeMargin = Milliseconds(4);
  /// Time that a non-idempotent request waits past its deadline for the reply
  /// to its cancellation, which says whether it was sent to a leaf.
  Duration CancelGrace = Milliseconds(250);
  /// Delay before a group is retried when no broker accepted it, since the
  /// brokers name different owners for a short time after a change of members.
  Duration OwnerRetryDelay = Milliseconds(10);
  /// Delay before failed shards are retried, if the contract prefers coverage.
  Duration RetryDelay = Milliseconds(10);
  /// Retries of missing shards for each group, if the contract prefers
  /// coverage.
  int CoverageRetries = 3;
  /// Least time before the deadline for a restart on a newer snapshot.
  Duration MinRestartTime = Milliseconds(10);
  /// Most brokers called for one group, including those named by NotOwner
  /// replies.
  std::size_t MaxBrokersPerGroup = 4;
};

/// Switches that disable a mechanism, to measure its effect.
struct QueryPolicy {
  /// Call a stand-by when the owner is silent or its connection is lost.
  bool UseStandBys = true;
  /// Restart on a newer snapshot when the pinned one is gone.
  bool RestartOnNewer = true;
};

/// Call broker \c To for a group. The receiver must call QueryRun::claimCall()
/// right before it sends the message.
struct SendCall {
  std::uint32_t Group = 0;
  std::uint32_t Attempt = 0;
  BrokerTarget To;
};

/// Cancel a call at the broker connected by link \c LinkId.
struct SendCancel {
  std::uint64_t LinkId = 0;
  CancelCall Call;
};

/// The request is finished. Emitted exactly once.
struct Finish {
  Answer Result;
};

using QueryAction = std::variant<SendCall, SendCancel, Finish>;
using QueryActions = std::vector<QueryAction>;

/// Lookups in the current configuration and member view.
struct QueryLookups {
  /// Plans the request on a newer snapshot than \p Snapshot, if there is one.
  std::function<std::optional<QueryPlan>(const std::string &Snapshot)>
      NewerPlan;
  /// Finds the broker named by a NotOwner reply.
  std::function<std::optional<BrokerTarget>(std::string_view Name)>
      BrokerByName;
  /// Returns the current brokers of a group, the owner first.
  std::function<std::vector<BrokerTarget>(std::uint32_t Group)> Candidates;
};

/// Runs one request from its plan to the answer: chooses the brokers to call,
/// accepts or ignores replies, and computes coverage and verdict. It does no
/// I/O and reads no clock: each event is a call with the current time, and
/// appends the actions to take to \p Out. Not thread-safe.
class QueryRun {
public:
  QueryRun(QuerySpec Spec, QueryPlan Plan, RequestIdSource &Ids,
           QueryLookups Lookups, QueryTimes Times = {},
           QueryPolicy Policy = {});

  /// Starts the calls for all groups.
  void start(TimePoint Now, QueryActions &Out);

  /// Marks a call as sent over link \p LinkId; called just before it is sent.
  /// \returns the message, or nothing if the call is no longer wanted.
  std::optional<BrokerCall> claimCall(const SendCall &Call,
                                      std::uint64_t LinkId, TimePoint Now);

  /// Handles a call of which no byte was sent.
  void onNotSent(const SendCall &Call, TimePoint Now, QueryActions &Out);

  /// Handles a reply received over \p LinkId. \returns whether it answers an
  /// open call of this request; otherwise it is ignored.
  bool onReply(std::uint64_t LinkId, BrokerReply Reply, TimePoint Now,
               QueryActions &Out);

  /// Handles the reply to a cancellation. \returns whether it answers a
  /// cancelled call of this request; otherwise it is ignored.
  bool onCancelReply(std::uint64_t LinkId, const CancelReply &Reply,
                     TimePoint Now, QueryActions &Out);

  /// Handles the loss of link \p LinkId and of the calls sent over it.
  void onLinkDown(std::uint64_t LinkId, TimePoint Now, QueryActions &Out);

  /// Handles the loss of the caller's connection: cancels all calls.
  void onCallerGone(QueryActions &Out);

  /// Handles deadline and retries that are due; call it at nextWake().
  void tick(TimePoint Now, QueryActions &Out);

  /// \returns when tick() must be called next.
  TimePoint nextWake() const;

  bool isFinished() const { return this->Done; }
  const RequestId &id() const { return this->Id; }
  const QuerySpec &spec() const { return this->Spec; }
  const QueryPlan &plan() const { return this->Plan; }

  /// \returns the calls without an answer when the request gave up waiting.
  const std::vector<UnansweredCall> &unansweredCalls() const {
    return this->Unanswered;
  }

private:
  BrokerCall messageFor(const GroupRun &Run, TimePoint Now) const;
  void startRound(TimePoint Now, QueryActions &Out);
  /// Calls the broker \p Hint, or the next candidate not tried yet. If there is
  /// none, marks the group done and returns false.
  bool callNextBroker(std::size_t Index, std::string_view Hint,
                      QueryActions &Out);
  void callBroker(std::size_t Index, const BrokerTarget &To, QueryActions &Out);
  std::optional<BrokerTarget> nextBroker(std::size_t Index,
                                         std::string_view Hint) const;
  void markDone(std::size_t Index);
  /// \returns the group whose open call went over \p LinkId, or null.
  GroupRun *findCall(std::uint64_t LinkId, const RequestId &ReplyId,
                     std::uint32_t Group);
  /// \returns the time at which open calls count as unanswered.
  TimePoint answerDue() const;
  void abandonUnanswered();
  void handleQueryReply(std::size_t Index, BrokerReply &Reply, TimePoint Now,
                        QueryActions &Out);
  void handleSingleReply(std::size_t Index, BrokerReply &Reply, TimePoint Now,
                         QueryActions &Out);
  void scheduleRetry(std::size_t Index, TimePoint Now);
  /// Schedules a retry of the group. \returns false if there is not enough time
  /// before the deadline.
  bool scheduleAt(std::size_t Index, TimePoint At);
  /// Schedules a retry of the group with all brokers, as if none had been
  /// tried. \returns false if it is not allowed or comes too late.
  bool scheduleOwnerRetry(std::size_t Index, TimePoint Now);
  void retryGroup(std::size_t Index, QueryActions &Out);
  /// Restarts on a newer snapshot if that is needed, allowed and possible.
  /// \returns whether it did.
  bool restart(TimePoint Now, QueryActions &Out);
  void cancelOpenCalls(QueryActions &Out);
  void finishIfDone(TimePoint Now, QueryActions &Out);
  void finishQuery(QueryActions &Out);
  void finishWithError(EntryError Error, std::string Reason, QueryActions &Out);
  void finish(Answer Result, QueryActions &Out);
  QueryOutcome outcome();

  QuerySpec Spec;
  QueryPlan Plan;
  RequestIdSource &Ids;
  QueryLookups Lookups;
  QueryTimes Times;
  QueryPolicy Policy;
  RequestId Id;
  std::vector<GroupRun> Groups;
  std::vector<UnansweredCall> Unanswered;
  std::uint32_t LeafCalls = 0;
  /// Outcome of earlier rounds on other snapshots.
  Verdict EarlierOutcome = Verdict::NotRun;
  bool PastDeadline = false;
  bool Done = false;
};

} // namespace citronlever
