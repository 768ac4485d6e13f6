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

/// Times of one request at the entry.
struct QueryTimes {
  /// Kept back from the time given to brokers, so that their answers at their
  /// deadline still arrive before the caller's.
  Duration MergeMargin = Milliseconds(4);
  /// How long a non-idempotent request waits past its deadline to learn
  /// whether it was sent on to a leaf.
  Duration CancelGrace = Milliseconds(250);
  /// Pause before brokers are asked again that all named another as the owner:
  /// their views differ for a moment.
  Duration OwnerRetryDelay = Milliseconds(10);
  /// Pause before shards that failed are asked again (coverage first).
  Duration RetryDelay = Milliseconds(10);
  /// Times that a group's missing shards are asked again (coverage first).
  int CoverageRetries = 3;
  /// Least time left for a restart on a newer snapshot.
  Duration MinRestartTime = Milliseconds(10);
  /// Brokers asked at most for one group, hints included.
  std::size_t MaxBrokersPerGroup = 4;
};

/// Switches for experiments that show what a mechanism is worth.
struct QueryPolicy {
  /// Ask a stand-by when the owner is silent or its link is cut.
  bool UseStandBys = true;
  /// Start again on a newer snapshot when the pinned one went away.
  bool RestartOnNewer = true;
};

/// Ask \c To for a group. The receiver of this action claims the call with
/// QueryRun::claimCall() right before it hands it to a link.
struct SendCall {
  std::uint32_t Group = 0;
  std::uint32_t Attempt = 0;
  BrokerTarget To;
};

/// Tell the broker behind link \c LinkId that a call is no longer wanted.
struct SendCancel {
  std::uint64_t LinkId = 0;
  CancelCall Call;
};

/// The request is done; comes exactly once.
struct Finish {
  Answer Result;
};

using QueryAction = std::variant<SendCall, SendCancel, Finish>;
using QueryActions = std::vector<QueryAction>;

/// What a running request asks of the present configuration and members.
struct QueryLookups {
  /// Finds a plan on a newer snapshot than the one named, if there is one.
  std::function<std::optional<QueryPlan>(const std::string &Snapshot)>
      NewerPlan;
  /// Finds the broker that a NotOwner reply names.
  std::function<std::optional<BrokerTarget>(std::string_view Name)>
      BrokerByName;
  /// Finds the brokers of a group as they are now, the owner first.
  std::function<std::vector<BrokerTarget>(std::uint32_t Group)> Candidates;
};

/// One request from plan to answer: which broker is asked next, which replies
/// count, what the coverage and the verdict are. It does no I/O: every event
/// comes in with the present time and what is to be done goes out as actions.
/// Not safe for several threads at once.
class QueryRun {
public:
  QueryRun(QuerySpec Spec, QueryPlan Plan, RequestIdSource &Ids,
           QueryLookups Lookups, QueryTimes Times = {},
           QueryPolicy Policy = {});

  /// Begins.
  void start(TimePoint Now, QueryActions &Out);

  /// Claims a call of SendCall for link \p LinkId just before it is handed
  /// over. \returns the message, or nothing if the call is no longer wanted.
  std::optional<BrokerCall> claimCall(const SendCall &Call,
                                      std::uint64_t LinkId, TimePoint Now);

  /// The call was not handed to any connection: no byte has left.
  void onNotSent(const SendCall &Call, TimePoint Now, QueryActions &Out);

  /// A reply came over \p LinkId. \returns whether it belonged to a call of
  /// this request; any other changes nothing.
  bool onReply(std::uint64_t LinkId, BrokerReply Reply, TimePoint Now,
               QueryActions &Out);

  /// The answer to a SendCancel came over \p LinkId.
  bool onCancelReply(std::uint64_t LinkId, const CancelReply &Reply,
                     TimePoint Now, QueryActions &Out);

  /// LinkId \p LinkId is gone, with everything it carried.
  void onLinkDown(std::uint64_t LinkId, TimePoint Now, QueryActions &Out);

  /// The caller's connection is gone.
  void onCallerGone(QueryActions &Out);

  /// Time has passed; call at nextWake().
  void tick(TimePoint Now, QueryActions &Out);

  /// \returns when tick() is wanted next.
  TimePoint nextWake() const;

  bool isFinished() const { return this->Done; }
  const RequestId &id() const { return this->Id; }
  const QuerySpec &spec() const { return this->Spec; }
  const QueryPlan &plan() const { return this->Plan; }

  /// \returns the brokers that had not answered when the deadline passed.
  const std::vector<UnansweredCall> &unansweredCalls() const {
    return this->Unanswered;
  }

private:
  BrokerCall messageFor(const GroupRun &Run, TimePoint Now) const;
  void startRound(TimePoint Now, QueryActions &Out);
  bool callNextBroker(std::size_t Index, std::string_view Hint,
                      QueryActions &Out);
  void callBroker(std::size_t Index, const BrokerTarget &To, QueryActions &Out);
  std::optional<BrokerTarget> nextBroker(std::size_t Index,
                                         std::string_view Hint) const;
  void markDone(std::size_t Index);
  GroupRun *findCall(std::uint64_t LinkId, const RequestId &ReplyId,
                     std::uint32_t Group);
  /// \returns when calls still open count as unanswered.
  TimePoint answerDue() const;
  void abandonUnanswered();
  void handleQueryReply(std::size_t Index, BrokerReply &Reply, TimePoint Now,
                        QueryActions &Out);
  void handleSingleReply(std::size_t Index, BrokerReply &Reply, TimePoint Now,
                         QueryActions &Out);
  void scheduleRetry(std::size_t Index, TimePoint Now);
  bool scheduleAt(std::size_t Index, TimePoint At);
  bool scheduleOwnerRetry(std::size_t Index, TimePoint Now);
  void retryGroup(std::size_t Index, QueryActions &Out);
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
  /// What earlier rounds on other snapshots may have done.
  Verdict EarlierOutcome = Verdict::NotRun;
  bool PastDeadline = false;
  bool Done = false;
};

} // namespace citronlever
