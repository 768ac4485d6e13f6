#include "citronlever/src/Broker/internal/BrokerState.h"

#include "citronlever/src/Broker/Messages.h"

#include <algorithm>

namespace citronlever {

namespace {

BrokerReply refusal(const BrokerCall &Call, BrokerStatus Status) {
  BrokerReply Result;
  Result.Id = Call.Id;
  Result.Group = Call.Group;
  Result.Status = Status;
  Result.Snapshot = Call.Snapshot;
  Result.Missing = Call.Shards;
  return Result;
}

} // namespace

void BrokerServer::State::install() {
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
                     const auto Wanted = decode<GroupClaim>(Body);
                     if (const auto Self = Weak.lock())
                       Self->onClaim(From, Wanted);
                   });
  this->Hub.handle(MessageType::HandoverAck,
                   [](const PeerLinkPtr &, ByteView Body) {
                     (void)decode<HandoverAck>(Body);
                   });
  this->Keys->install();
  this->Claims->install();
  this->watchClock();
  this->Sender->Client.setPeerClosedHandler([Weak](const Endpoint &Address) {
    const auto Self = Weak.lock();
    if (!Self)
      return;
    for (const auto &Lane : Self->lanes())
      Lane->closedByPeer(Address);
  });
}

/// Takes over a new configuration or member view. Called under the lock.
void BrokerServer::State::refresh(TimePoint Now) {
  const ConfigPtr NewConfig = this->Config();
  const MemberViewPtr NewMembers = this->Members();
  if (NewConfig == this->Applied && NewMembers == this->AppliedMembers)
    return;
  const bool Reconfigured = NewConfig != this->Applied;
  this->Applied = NewConfig;
  this->AppliedMembers = NewMembers;
  this->Groups.refresh(NewMembers, NewConfig, Now);
  if (!Reconfigured)
    return;
  for (const auto &[Name, Of] : NewConfig->Services) {
    std::shared_ptr<ServiceDispatcher> &Lane = this->Services[Name];
    if (!Lane)
      Lane = std::make_shared<ServiceDispatcher>(this->Context, this->Sender,
                                                 this->Settings);
    Lane->setReturnShares(this->Returning);
    Lane->apply(NewConfig, Of, this->LeavingVms);
  }
}

/// \returns the lane for a call, or null with the refusal.
std::shared_ptr<ServiceDispatcher>
BrokerServer::State::admit(const BrokerCall &Call, TimePoint Now, Plan &Into,
                           BrokerReply &Refused) {
  const std::lock_guard Lock(this->Mutex);
  this->refresh(Now);
  const auto Found = this->Applied->Services.find(Call.Service);
  const bool Known = Found != this->Applied->Services.end() &&
                     Found->second->findRoute(Call.Route);
  if (!Known) {
    Refused = refusal(Call, BrokerStatus::Unknown);
    return nullptr;
  }
  const Service &Of = *Found->second;
  const bool Joining = Now - this->Started < this->Settings.JoinQuiet;
  Into = this->Groups.decide(Of, Call, this->Draining || Joining, Now);
  if (!Into.Serve) {
    Refused = refusal(Call, BrokerStatus::NotOwner);
    Refused.OwnerHint = Into.Hint;
    return nullptr;
  }
  const std::shared_ptr<ServiceDispatcher> &Lane =
      this->Services.at(Call.Service);
  if (Into.Gained && this->Settings.ClaimGroups)
    this->Claims->begin({Call.Service, Call.Group});
  else if (Into.Gained)
    Lane->gained(Call.Group, Into.Vouched);
  ++this->InHand;
  return Lane;
}

void BrokerServer::State::onCall(const PeerLinkPtr &From,
                                 const BrokerCall &Call) {
  const TimePoint Received = Clock::now();
  this->noticeGap(Received);
  BrokerReply Refused;
  Plan Decided;
  const auto Lane = this->admit(Call, Received, Decided, Refused);
  if (!Lane) {
    From->send(MessageType::BrokerReply, encode(Refused));
    return;
  }
  auto Reply = [Self = this->shared_from_this(),
                From](const BrokerReply &Result) {
    From->send(MessageType::BrokerReply, encode(Result));
    const std::lock_guard Lock(Self->Mutex);
    --Self->InHand;
  };
  auto Start = [Self = this->shared_from_this(), Lane, Call, Received, Reply,
                Others = Decided.Others, Young = Decided.Young] {
    if (Call.Idempotent || Call.RequestKey.empty() || !Self->Settings.UseKeys)
      return Lane->start(Call, Received, Reply);
    auto Send = [Lane, Call, Received](ServiceDispatcher::Done Done) {
      Lane->start(Call, Received, std::move(Done));
    };
    Self->Keys->run(Call, Others, Young, std::move(Send), Reply);
  };
  auto Refuse = [Call, Reply](BrokerStatus Status) {
    Reply(refusal(Call, Status));
  };
  if (!this->Claims->park({Call.Service, Call.Group},
                          {Call.Id, Call.Group, Start, std::move(Refuse)}))
    Start();
  if (Decided.Gained && this->Settings.ClaimGroups)
    this->claim(Call, Lane, Decided);
}

std::vector<std::shared_ptr<ServiceDispatcher>>
BrokerServer::State::lanes() const {
  std::vector<std::shared_ptr<ServiceDispatcher>> Result;
  const std::lock_guard Lock(this->Mutex);
  for (const auto &[Name, Each] : this->Services)
    Result.push_back(Each);
  return Result;
}

std::vector<ShardLoad> BrokerServer::State::loads(TimePoint Now) {
  std::vector<ShardLoad> Result;
  const std::lock_guard Lock(this->Mutex);
  this->refresh(Now);
  const Ownership Owners(this->AppliedMembers, this->Applied);
  std::set<std::pair<std::string, std::uint32_t>> Served;
  this->Groups.each(Now, [&](const std::string &Name, std::uint32_t Group) {
    Served.emplace(Name, Group);
  });
  for (const auto &[Name, Of] : this->Applied->Services) {
    std::uint32_t Count = 0;
    for (const Snapshot &In : Of->Snapshots)
      Count = std::max(Count, Of->groupCount(In.Shards.size()));
    for (std::uint32_t Group = 0; Group < Count; ++Group) {
      const Member *Owner = Owners.owner(*Of, Group);
      const bool Mine = Owner && Owner->Name == this->SelfName;
      if (Mine || Served.contains({Name, Group}))
        this->Services.at(Name)->loads(Group, Mine, Now, Result);
    }
  }
  return Result;
}

void BrokerServer::State::onCancel(const PeerLinkPtr &From,
                                   const CancelCall &Call) {
  CancelReply Reply;
  Reply.Id = Call.Id;
  Reply.Group = Call.Group;
  // In the order in which a call goes through them.
  Reply.Outcome = this->Claims->cancel(Call.Id, Call.Group);
  Reply.Outcome =
      combine(Reply.Outcome, this->Keys->cancel(Call.Id, Call.Group));
  for (const auto &Lane : this->lanes())
    Reply.Outcome = combine(Reply.Outcome, Lane->cancel(Call.Id, Call.Group));
  From->send(MessageType::CancelReply, encode(Reply));
}

} // namespace citronlever
