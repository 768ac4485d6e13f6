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

/// Takes groups over from whoever served them: the calls of a group wait until
/// every other candidate has let go of it, or the wait is over. Safe to call
/// from any thread.
class GroupClaims : public std::enable_shared_from_this<GroupClaims> {
public:
  using GroupId = std::pair<std::string, std::uint32_t>;
  /// What the other candidates said of the group's leaves.
  struct Outcome {
    /// Whether all of them answered, or could not be connected to.
    bool Complete = false;
    std::vector<std::string> WarmLeaves;
    std::vector<std::string> ColdLeaves;
  };
  using ClaimCallback = std::function<void(const Outcome &)>;
  /// A call that waits: started, or refused as not run.
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

  /// Registers the handler of releases.
  void registerHandlers();

  /// Calls of \p Group wait from now on, until claim() is through.
  void holdCalls(const GroupId &Group);

  /// Asks \p Others to let go, and again while they do not answer: the links
  /// to them may be silent, and new ones take their place meanwhile.
  void claim(const GroupId &Group, const std::vector<Member> &OtherCandidates,
             ClaimCallback Done);

  /// \returns whether the call waits; if not, it may start at once.
  bool enqueueIfHeld(const GroupId &Group, WaitingCall Call);

  /// Takes a waiting call back; it is then refused. \returns "may have run"
  /// while it is being started.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  /// Refuses every waiting call and forgets the claims.
  void refuseAll();

private:
  struct Claim {
    GroupId Group;
    /// Those that have not answered, by name.
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
  /// Calls that have left the wait and may not have reached their lane yet.
  std::multiset<std::pair<RequestId, std::uint32_t>> StartingCalls;
};

} // namespace citronlever::internal
