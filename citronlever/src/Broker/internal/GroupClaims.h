#pragma once

#include "citronlever/src/Broker/ClaimMessages.h"
#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronlever::internal {

/// Takes over groups from the brokers that served them before. The calls of a
/// group wait until every other candidate has released it or the claim times
/// out. Thread-safe.
class GroupClaims : public std::enable_shared_from_this<GroupClaims> {
public:
  /// Service name and group number.
  using GroupId = std::pair<std::string, std::uint32_t>;
  /// What the other candidates reported about the group's leaves.
  struct Outcome {
    /// Whether every candidate answered or could not be reached.
    bool Complete = false;
    /// Leaf ids, as in GroupRelease.
    std::vector<std::string> WarmLeaves;
    std::vector<std::string> ColdLeaves;
  };
  using ClaimCallback = std::function<void(const Outcome &)>;
  /// A waiting call. It is either started, or refused as not run.
  struct WaitingCall {
    RequestId Id;
    std::uint32_t Group = 0;
    std::function<void()> Start;
    std::function<void(BrokerStatus)> Refuse;
  };

  GroupClaims(boost::asio::io_context &Context, PeerHub &Hub,
              Duration ClaimTimeout)
      : Context(Context), Hub(Hub), ClaimTimeout(ClaimTimeout),
        Ids(makeIncarnation()) {}

  /// Registers the handler of release messages with the hub.
  void registerHandlers();

  /// Makes the calls of \p Group wait until claim() has finished.
  void holdCalls(const GroupId &Group);

  /// Asks \p OtherCandidates to release \p Group, then runs \p Done and starts
  /// the waiting calls. Repeats the request to those that do not answer, since
  /// their link may be dead and may be replaced in the meantime.
  void claim(const GroupId &Group, const std::vector<Member> &OtherCandidates,
             ClaimCallback Done);

  /// Lets a call wait if its group is being claimed. \returns whether it waits;
  /// if not, the caller starts it.
  bool enqueueIfHeld(const GroupId &Group, WaitingCall Call);

  /// Refuses a waiting call. \returns Verdict::MayHaveRun if the call is being
  /// started, Verdict::NotRun otherwise.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  /// Refuses every waiting call and drops all claims.
  void refuseAll();

private:
  struct Claim {
    GroupId Group;
    /// Candidates that have not answered yet, by name.
    std::map<std::string, Endpoint> Unanswered;
    TimePoint Deadline{};
    Outcome Result;
    ClaimCallback Done;
  };

  void sendClaims(RequestId Id);
  void scheduleRetry(RequestId Id);
  void onRelease(const GroupRelease &Message, const std::string &From);
  void finishClaim(RequestId Id);
  void startWaitingCalls(const GroupId &Group);

  boost::asio::io_context &Context;
  PeerHub &Hub;
  const Duration ClaimTimeout;

  std::mutex Mutex;
  RequestIdSource Ids;
  std::map<RequestId, Claim> Claims;
  std::map<GroupId, std::vector<WaitingCall>> WaitingCalls;
  /// Calls that do not wait any more but may not have reached their dispatcher.
  std::multiset<std::pair<RequestId, std::uint32_t>> StartingCalls;
};

} // namespace citronlever::internal
