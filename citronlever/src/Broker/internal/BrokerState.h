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

/// What the handlers of a BrokerServer share.
class BrokerServer::State : public std::enable_shared_from_this<State> {
public:
  State(boost::asio::io_context &Context, PeerHub &Hub,
        std::function<ConfigPtr()> Config,
        std::function<MemberViewPtr()> Members, std::string SelfName,
        BrokerSettings Settings)
      : Context(Context), Hub(Hub), Config(std::move(Config)),
        Members(std::move(Members)), SelfName(std::move(SelfName)),
        Settings(Settings), Sender(std::make_shared<internal::LeafSender>(
                                Context, Settings.Client)),
        Keys(std::make_shared<internal::RequestKeyCoordinator>(
            Context, Hub, this->SelfName, makeIncarnation(), Settings)),
        Claims(std::make_shared<internal::GroupClaims>(Context, Hub,
                                                       Settings.ClaimWait)),
        Groups(this->SelfName, Settings.KeyCandidates, Settings.KeyRetention) {}

  void install();
  void onCall(const PeerLinkPtr &From, const BrokerCall &Call);
  void onCancel(const PeerLinkPtr &From, const CancelCall &Call);
  void onHandover(const PeerLinkPtr &From, const Handover &Given);
  void onClaim(const PeerLinkPtr &From, const GroupClaim &Wanted);
  void pollDrain(std::function<void()> Done);
  void watchClock();
  void noticeGap(TimePoint Now);
  void pause();
  std::vector<std::shared_ptr<ServiceDispatcher>> lanes() const;
  std::vector<ShardLoad> loads(TimePoint Now);

  boost::asio::io_context &Context;
  PeerHub &Hub;
  std::function<ConfigPtr()> Config;
  std::function<MemberViewPtr()> Members;
  const std::string SelfName;
  const BrokerSettings Settings;
  const std::shared_ptr<internal::LeafSender> Sender;
  const std::shared_ptr<internal::RequestKeyCoordinator> Keys;
  const std::shared_ptr<internal::GroupClaims> Claims;
  const TimePoint Started = Clock::now();

  mutable std::mutex Mutex;
  ConfigPtr Applied;
  MemberViewPtr AppliedMembers;
  std::set<std::string, std::less<>> LeavingVms;
  std::shared_ptr<const ReturnShares> Returning;
  std::map<std::string, std::shared_ptr<ServiceDispatcher>, std::less<>>
      Services;
  GroupTable<> Groups;
  /// Answers to claims that wait for work to end.
  std::map<RequestId, GroupRelease> Releasing;
  bool Draining = false;
  std::size_t InHand = 0;
  TimePoint LastLook = Clock::now();

private:
  using Plan = GroupTable<>::Decision;

  void refresh(TimePoint Now);
  std::shared_ptr<ServiceDispatcher> admit(const BrokerCall &Call,
                                           TimePoint Now, Plan &Into,
                                           BrokerReply &Refused);
  void claim(const BrokerCall &Call,
             const std::shared_ptr<ServiceDispatcher> &Lane,
             const Plan &Decided);
  void pollRelease(const PeerLinkPtr &To,
                   std::shared_ptr<ServiceDispatcher> Lane, std::uint32_t Group,
                   GroupRelease Answer, TimePoint Until);
  void handOver();
};

} // namespace citronlever
