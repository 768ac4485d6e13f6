#pragma once

#include "citronlever/src/Broker/BrokerServer.h"
#include "citronlever/src/Broker/GroupTable.h"
#include "citronlever/src/Broker/internal/GroupClaims.h"
#include "citronlever/src/Broker/internal/RequestKeyCoordinator.h"
#include "citronlever/src/Broker/internal/ServiceDispatcher.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace citronlever {

using internal::ServiceDispatcher;

/// State of a BrokerServer that its message handlers and timers share.
class BrokerServer::State : public std::enable_shared_from_this<State> {
public:
  State(boost::asio::io_context &Context, PeerHub &Hub,
        std::function<ConfigViewPtr()> Config,
        std::function<MemberViewPtr()> Members, std::string SelfName,
        BrokerSettings Settings)
      : Context(Context), Hub(Hub), Config(std::move(Config)),
        Members(std::move(Members)), SelfName(std::move(SelfName)),
        Settings(Settings), Sender(std::make_shared<internal::LeafSender>(
                                Context, Settings.Client)),
        RequestKeys(std::make_shared<internal::RequestKeyCoordinator>(
            Context, Hub, this->SelfName, makeIncarnation(), Settings)),
        Claims(std::make_shared<internal::GroupClaims>(Context, Hub,
                                                       Settings.ClaimTimeout)),
        Groups(this->SelfName, Settings.KeyCandidates, Settings.KeyRetention) {}

  /// Registers the message handlers with the hub and starts the clock check.
  void registerHandlers();
  void onCall(const PeerLinkPtr &From, const BrokerCall &Call);
  void onCancel(const PeerLinkPtr &From, const CancelCall &Call);
  void onHandover(const PeerLinkPtr &From, const Handover &Message);
  void onGroupClaim(const PeerLinkPtr &From, const GroupClaim &Claim);
  /// Runs \p Done once no call is active and the handovers are sent.
  void pollDrain(std::function<void()> Done);
  /// Measures the event loop delay and checks for pauses periodically.
  void scheduleClockCheck();
  void checkForPause(TimePoint Now);
  void resetAfterPause();
  /// \returns a copy of all dispatchers, for use without the lock.
  std::vector<std::shared_ptr<ServiceDispatcher>> dispatchers() const;
  std::vector<ShardLoad> shardLoads(TimePoint Now);

  boost::asio::io_context &Context;
  PeerHub &Hub;
  std::function<ConfigViewPtr()> Config;
  std::function<MemberViewPtr()> Members;
  const std::string SelfName;
  const BrokerSettings Settings;
  const std::shared_ptr<internal::LeafSender> Sender;
  const std::shared_ptr<internal::RequestKeyCoordinator> RequestKeys;
  const std::shared_ptr<internal::GroupClaims> Claims;
  const TimePoint StartedAt = Clock::now();

  /// Guards all members below.
  mutable std::mutex Mutex;
  ConfigViewPtr AppliedConfig;
  MemberViewPtr AppliedMembers;
  std::set<std::string, std::less<>> LeavingVms;
  std::shared_ptr<const ReturnShares> ActiveReturnShares;
  std::map<std::string, std::shared_ptr<ServiceDispatcher>, std::less<>>
      Dispatchers;
  GroupTable<> Groups;
  /// Answers to claims, by claim id, that wait until requests in progress end.
  std::map<RequestId, GroupRelease> PendingReleases;
  bool Draining = false;
  /// Calls accepted and not yet replied to.
  std::size_t ActiveCalls = 0;
  TimePoint LastClockCheck = Clock::now();

private:
  using GroupDecision = GroupTable<>::Decision;

  void refresh(TimePoint Now);
  std::shared_ptr<ServiceDispatcher> admit(const BrokerCall &Call,
                                           TimePoint Now,
                                           GroupDecision &Decision,
                                           BrokerReply &Refusal);
  void startClaim(const BrokerCall &Call,
                  const std::shared_ptr<ServiceDispatcher> &Dispatcher,
                  const GroupDecision &Decision);
  void pollRelease(const PeerLinkPtr &Claimer,
                   std::shared_ptr<ServiceDispatcher> Dispatcher,
                   std::uint32_t Group, GroupRelease Answer,
                   TimePoint Deadline);
  void sendHandovers();
};

} // namespace citronlever
