#include "citronlever/src/Broker/internal/BrokerState.h"

#include "citronlever/src/Broker/Messages.h"

#include <algorithm>

namespace citronlever {

namespace {

BrokerReply makeRefusal(const BrokerCall &Call, BrokerStatus Status) {
  BrokerReply Result;
  Result.Id = Call.Id;
  Result.Group = Call.Group;
  Result.Status = Status;
  Result.Snapshot = Call.Snapshot;
  Result.Missing = Call.Shards;
  return Result;
}

} // namespace

void BrokerServer::State::registerHandlers() {
  const std::weak_ptr<State> Weak = this->weak_from_this();
  this->Hub.handle(MessageType::BrokerCall,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     if (const auto Self = Weak.lock())
                       Self->onCall(From, decode<BrokerCall>(Body));
                   });
  this->Hub.handle(MessageType::CancelCall,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     if (const auto Self = Weak.lock())
                       Self->onCancel(From, decode<CancelCall>(Body));
                   });
  this->Hub.handle(MessageType::Handover,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     if (const auto Self = Weak.lock())
                       Self->onHandover(From, decode<Handover>(Body));
                   });
  this->Hub.handle(MessageType::GroupClaim,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     const auto Claim = decode<GroupClaim>(Body);
                     if (const auto Self = Weak.lock())
                       Self->onGroupClaim(From, Claim);
                   });
  this->Hub.handle(MessageType::HandoverAck,
                   [](const PeerLinkPtr &, ByteView Body) {
                     (void)decode<HandoverAck>(Body);
                   });
  this->RequestKeys->registerHandlers();
  this->Claims->registerHandlers();
  this->scheduleClockCheck();
  this->Sender->Client.setPeerClosedHandler([Weak](const Endpoint &Address) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    for (const auto &Dispatcher : Self->dispatchers())
      Dispatcher->onPeerClosed(Address);
  });
}

/// Applies the configuration and member view in force if they changed. The
/// caller holds the lock.
void BrokerServer::State::refresh(TimePoint Now) {
  const ConfigViewPtr NewConfig = this->Config();
  const MemberViewPtr NewMembers = this->Members();
  if (NewConfig == this->AppliedConfig && NewMembers == this->AppliedMembers)
    return;
  const bool Reconfigured = NewConfig != this->AppliedConfig;
  this->AppliedConfig = NewConfig;
  this->AppliedMembers = NewMembers;
  this->Groups.update(NewMembers, NewConfig, Now);
  if (!Reconfigured)
    return;
  for (const auto &[Name, ServiceConfig] : NewConfig->Services) {
    std::shared_ptr<ServiceDispatcher> &Dispatcher = this->Dispatchers[Name];
    if (!Dispatcher)
      Dispatcher = std::make_shared<ServiceDispatcher>(
          this->Context, this->Sender, this->Settings);
    Dispatcher->setReturnShares(this->ActiveReturnShares);
    Dispatcher->apply(NewConfig, ServiceConfig, this->LeavingVms);
  }
}

/// Decides on a call and counts it as active if it is served.
/// \returns its dispatcher, or null with the refusal to send.
std::shared_ptr<ServiceDispatcher>
BrokerServer::State::admit(const BrokerCall &Call, TimePoint Now,
                           GroupDecision &Decision, BrokerReply &Refusal) {
  const std::lock_guard Lock(this->Mutex);
  this->refresh(Now);
  const auto Found = this->AppliedConfig->Services.find(Call.Service);
  const bool IsKnown = Found != this->AppliedConfig->Services.end() &&
                       Found->second->findRoute(Call.Route);
  if (!IsKnown) {
    Refusal = makeRefusal(Call, BrokerStatus::Unknown);
    return nullptr;
  }
  const Service &ServiceConfig = *Found->second;
  const bool Joining = Now - this->StartedAt < this->Settings.JoinDelay;
  Decision =
      this->Groups.decide(ServiceConfig, Call, this->Draining || Joining, Now);
  if (!Decision.Serve) {
    Refusal = makeRefusal(Call, BrokerStatus::NotOwner);
    Refusal.OwnerHint = Decision.OwnerHint;
    return nullptr;
  }
  const std::shared_ptr<ServiceDispatcher> &Dispatcher =
      this->Dispatchers.at(Call.Service);
  if (Decision.Gained && this->Settings.ClaimGroups)
    this->Claims->holdCalls({Call.Service, Call.Group});
  else if (Decision.Gained)
    Dispatcher->onGroupGained(Call.Group, Decision.HandedOver);
  ++this->ActiveCalls;
  return Dispatcher;
}

void BrokerServer::State::onCall(const PeerLinkPtr &From,
                                 const BrokerCall &Call) {
  const TimePoint ReceivedAt = Clock::now();
  this->checkForPause(ReceivedAt);
  BrokerReply Refusal;
  GroupDecision Decision;
  const auto Dispatcher = this->admit(Call, ReceivedAt, Decision, Refusal);
  if (!Dispatcher) {
    From->send(MessageType::BrokerReply, encode(Refusal));
    return;
  }
  auto Reply = [Self = this->shared_from_this(),
                From](const BrokerReply &Result) {
    From->send(MessageType::BrokerReply, encode(Result));
    const std::lock_guard Lock(Self->Mutex);
    --Self->ActiveCalls;
  };
  auto Start = [Self = this->shared_from_this(), Dispatcher, Call, ReceivedAt,
                Reply, OtherCandidates = Decision.OtherCandidates,
                RecentlyGained = Decision.RecentlyGained] {
    if (Call.Idempotent || Call.RequestKey.empty() ||
        !Self->Settings.UseRequestKeys)
      return Dispatcher->start(Call, ReceivedAt, Reply);
    auto Send = [Dispatcher, Call,
                 ReceivedAt](ServiceDispatcher::ReplyCallback Callback) {
      Dispatcher->start(Call, ReceivedAt, std::move(Callback));
    };
    Self->RequestKeys->run(Call, OtherCandidates, RecentlyGained,
                           std::move(Send), Reply);
  };
  auto Refuse = [Call, Reply](BrokerStatus Status) {
    Reply(makeRefusal(Call, Status));
  };
  if (!this->Claims->enqueueIfHeld(
          {Call.Service, Call.Group},
          {Call.Id, Call.Group, Start, std::move(Refuse)}))
    Start();
  if (Decision.Gained && this->Settings.ClaimGroups)
    this->startClaim(Call, Dispatcher, Decision);
}

std::vector<std::shared_ptr<ServiceDispatcher>>
BrokerServer::State::dispatchers() const {
  std::vector<std::shared_ptr<ServiceDispatcher>> Result;
  const std::lock_guard Lock(this->Mutex);
  for (const auto &[Name, Dispatcher] : this->Dispatchers)
    Result.push_back(Dispatcher);
  return Result;
}

std::vector<ShardLoad> BrokerServer::State::shardLoads(TimePoint Now) {
  std::vector<ShardLoad> Result;
  const std::lock_guard Lock(this->Mutex);
  this->refresh(Now);
  const Ownership CurrentOwnership(this->AppliedMembers, this->AppliedConfig);
  std::set<std::pair<std::string, std::uint32_t>> Served;
  this->Groups.forEachServed(Now,
                             [&](const std::string &Name, std::uint32_t Group) {
                               Served.emplace(Name, Group);
                             });
  for (const auto &[Name, ServiceConfig] : this->AppliedConfig->Services) {
    std::uint32_t Count = 0;
    for (const Snapshot &SnapshotInfo : ServiceConfig->Snapshots)
      Count = std::max(Count,
                       ServiceConfig->groupCount(SnapshotInfo.Shards.size()));
    for (std::uint32_t Group = 0; Group < Count; ++Group) {
      const Member *Owner = CurrentOwnership.owner(*ServiceConfig, Group);
      const bool IsOwner = Owner && Owner->Name == this->SelfName;
      if (IsOwner || Served.contains({Name, Group}))
        this->Dispatchers.at(Name)->appendLoads(Group, IsOwner, Now, Result);
    }
  }
  return Result;
}

void BrokerServer::State::onCancel(const PeerLinkPtr &From,
                                   const CancelCall &Call) {
  CancelReply Reply;
  Reply.Id = Call.Id;
  Reply.Group = Call.Group;
  // In the order in which a call passes through these stages, so that it
  // cannot slip from one into the next unseen.
  Reply.Outcome = this->Claims->cancel(Call.Id, Call.Group);
  Reply.Outcome =
      combine(Reply.Outcome, this->RequestKeys->cancel(Call.Id, Call.Group));
  for (const auto &Dispatcher : this->dispatchers())
    Reply.Outcome =
        combine(Reply.Outcome, Dispatcher->cancel(Call.Id, Call.Group));
  From->send(MessageType::CancelReply, encode(Reply));
}

} // namespace citronlever
