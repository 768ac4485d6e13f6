#include "citronlever/src/Edge/EdgeNode.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Registry/EntrySelection.h"
#include "citronlever/src/Wire/Codec.h"

#include <algorithm>
#include <random>
#include <span>
#include <utility>

namespace citronlever {

namespace {

constexpr Duration TickPeriod = Milliseconds(50);
/// A process that reaches neither the store, nor this share of the leaves, nor
/// most of the members is itself isolated: the others serve callers better.
constexpr double IsolatedBelowLeafShare = 0.7;
/// Added to the number of entries where the fleet's limits are divided.
constexpr std::size_t SenderHeadroom = 1;
/// Time after the start in which the other members may not have registered yet;
/// until then the fleet's limits are divided by at least
/// MinSendersWhileJoining.
constexpr Duration JoinPeriod = Seconds(3);
constexpr std::size_t MinSendersWhileJoining = 16;
constexpr std::size_t MaxAddressesPerCaller = 64;
/// Time between two notices of limits that leaves state.
constexpr Duration LimitNoticePeriod = Milliseconds(200);
/// Limits in one notice; the ids of leaves are short.
constexpr std::size_t MaxLimitsPerNotice = 20;
/// After an outage of the store, the members renew their registrations at
/// random times within this time for each member.
constexpr Duration RecoverySpreadPerMember = Milliseconds(2);

FleetMember ownMember(const EdgeSettings &Settings) {
  FleetMember Result;
  Result.Name = Settings.Name;
  Result.Domain = Settings.Domain;
  Result.Region = Settings.Region;
  Result.CallerAddress = Settings.CallerEndpoint;
  Result.PeerAddress = Settings.PeerEndpoint;
  Result.Capacity = Settings.CapacityCores;
  Result.Incarnation = std::random_device{}();
  return Result;
}

} // namespace

EdgeNode::EdgeNode(boost::asio::io_context &Context, EdgeSettings Options,
                   KeyValueStore &Store, const DocumentReader &Documents,
                   const HeaderNames &Names)
    : Settings(std::move(Options)), Store(Store), FeedStore(Context, Store),
      PeerServer(Context, {}, this->peerHandler()), Documents(Documents),
      Fleet(Context, Names,
            {this->Settings.Domain, this->Settings.ExtraSends, {}}),
      Coordinator(
          Context, Store, Documents, this->Fleet.rollouts(),
          {this->Settings.Name + "." + std::to_string(std::random_device{}()),
           this->Settings.PeerEndpoint, this->Settings.Exposure},
          [this](const RolloutRequest &Order) {
            return this->previousVersion(Order);
          }),
      Runs{Context, Names, this->Fleet, this->LoopLag},
      Chain(this->Runs, this->Routes),
      Callers(
          Context,
          [this](CallerRequestPtr Request, AnswerCallback Answer) {
            return this->Chain.serve(std::move(Request), std::move(Answer));
          },
          [this] {
            return this->Routes.get() ? this->Routes.get()->limits()
                                      : CallerLimits{};
          }),
      Mirror([this](const StoreItem &Item) { this->onStoreItem(Item); }),
      Feed(std::make_shared<StoreSynchronizer>(
          Context, this->FeedStore, this->Mirror, StoreSynchronizerSettings{})),
      Lease(std::make_shared<MemberLease>(Context, Store, Documents,
                                          ownMember(this->Settings))),
      Probe(std::make_shared<PeerProbe>(Context)), Timer(Context),
      Tenure(this->Settings.ExtraSends.Window, Clock::now()),
      Stop(this->Settings.StopTimeout, this->Settings.DirectoryTimeToLive) {}

EdgeNode::~EdgeNode() {
  this->Feed->stop();
  this->Probe->stop();
}

void EdgeNode::start() {
  this->StartedAt = Clock::now();
  this->Callers.listen(this->Settings.CallerEndpoint);
  logEvent(event::ProcessStarted, this->Settings.Name,
           toString(this->Settings.CallerEndpoint));
  this->PeerServer.listen(this->Settings.PeerEndpoint);
  this->Probe->setNoticeHandler(
      [this](std::string_view Encoded) { this->onLimitNotices(Encoded); });
  this->Probe->listen(this->Settings.PeerEndpoint);
  this->Feed->start({[this] { this->onStoreRead(); },
                     [this] { this->Relay.onStoreUnavailable(); },
                     [this] { this->onStoreRecovered(); },
                     [this] { this->onStoreRestored(); }});
  this->scheduleTick(Clock::now() + TickPeriod);
}

void EdgeNode::onStoreItem(const StoreItem &Item) {
  this->ItemChanged = true;
  this->Documents.read(Item, *this);
  if (this->ItemChanged)
    this->Relay.record(Item);
}

void EdgeNode::onLeaf(LeafEntry Entry) {
  this->ItemChanged = this->Leaves.put(std::move(Entry), Clock::now());
  if (!this->ItemChanged)
    return;
  this->FleetOutdated = true;
}

void EdgeNode::onLeafRemoved(std::string_view Id) {
  this->Leaves.remove(Id, Clock::now());
  this->FleetOutdated = true;
}

void EdgeNode::onRoutes(RouteTablePtr Table) {
  if (!this->Routes.replaceIfNewer(Table))
    return;
  this->FleetOutdated = true;
  this->EntriesOutdated = true;
  logEvent(event::RoutesInForce, "version", Table->version(), "routes",
           Table->routes().size());
}

void EdgeNode::onDomainClosed(std::string_view Domain, bool Closed) {
  if (!Closed && this->ReadingRestored) {
    this->HeldReopenings.hold(Domain, true, Clock::now());
    return;
  }
  this->HeldReopenings.cancel(Domain);
  if (Closed)
    this->Bounds.ClosedDomains.emplace(Domain);
  else
    this->Bounds.ClosedDomains.erase(std::string(Domain));
  this->FleetOutdated = true;
}

void EdgeNode::onVersionOrdered(RolloutRequest Order) {
  const TimePoint Now = Clock::now();
  if (this->ReadingRestored && this->Coordinator.contradicts(Order)) {
    const std::string Service = Order.Service;
    this->HeldOrders.hold(Service, std::move(Order), Now);
    return;
  }
  this->HeldOrders.cancel(Order.Service);
  this->Coordinator.onOrder(std::move(Order), Now);
}

void EdgeNode::onOrderWithdrawn(std::string_view Service) {
  if (this->ReadingRestored) {
    this->HeldOrders.hold(Service, std::nullopt, Clock::now());
    return;
  }
  this->HeldOrders.cancel(Service);
  this->Coordinator.onOrderWithdrawn(Service);
}

void EdgeNode::applyHeld(TimePoint Now) {
  for (const auto &[Domain, Reopened] : this->HeldReopenings.takeDue(Now))
    this->onDomainClosed(Domain, !Reopened);
  for (auto &[Service, Order] : this->HeldOrders.takeDue(Now)) {
    if (Order)
      this->onVersionOrdered(std::move(*Order));
    else
      this->onOrderWithdrawn(Service);
  }
}

void EdgeNode::onMoveWritten(RolloutDocument State, StoreRevision Revision) {
  this->Coordinator.onStateWritten(std::move(State), Revision, Clock::now());
}

std::string EdgeNode::previousVersion(const RolloutRequest &Order) const {
  std::string Result = "unknown";
  this->Leaves.forEach([&](const LeafEntry &Entry) {
    if (Entry.Service == Order.Service && Entry.Version != Order.Version)
      Result = Entry.Version;
  });
  return Result;
}

HttpHandler EdgeNode::peerHandler() {
  return [this, RelayChanges = relayHandler(this->Relay)](
             const std::shared_ptr<const HttpRequest> &Request,
             const HttpReply &Reply) {
    if (Request->path() == RolloutCoordinator::ReportPath)
      Reply(this->Coordinator.handleReport(*Request));
    else
      RelayChanges(Request, Reply);
  };
}

void EdgeNode::onMember(FleetMember Member) {
  this->Members.put(std::move(Member));
  this->EntriesOutdated = true;
}

void EdgeNode::onMemberRemoved(std::string_view Name) {
  this->Members.remove(Name, Clock::now());
  this->EntriesOutdated = true;
}

void EdgeNode::onStoreRecovered() {
  const TimePoint Now = Clock::now();
  this->Leaves.onStoreRecovered(Now);
  this->Members.onStoreRecovered(Now);
  this->Lease->onStoreRecovered(this->recoverySpread());
}

void EdgeNode::onStoreRestored() {
  const TimePoint Now = Clock::now();
  this->ReadingRestored = true;
  this->Leaves.onStoreRestored(Now);
  this->Members.onStoreRecovered(Now);
  this->Lease->onStoreRestored(this->recoverySpread());
  this->Coordinator.onStoreRestored(Now);
}

Duration EdgeNode::recoverySpread() const {
  return RecoverySpreadPerMember *
         static_cast<Duration::rep>(this->Members.servingMembers().size());
}

void EdgeNode::onStoreRead() {
  const TimePoint Now = Clock::now();
  this->ReadingRestored = false;
  this->updateFleet(Now);
  this->Relay.advance(this->Feed->asOf(), Now);
  this->updateRelays();
  this->updatePeers();
  if (!std::exchange(this->LeaseStarted, true))
    this->Lease->start();
  this->Lease->onStoreRead(
      this->Mirror.find(this->Documents.memberKey(this->Settings.Name)),
      this->Feed->asOf(), this->recoverySpread());
}

void EdgeNode::updateRelays() {
  const std::vector<FleetMember> Watching =
      selectWatchers(this->Members.servingMembers(), this->Entries);
  if (std::ranges::find(Watching, this->Settings.Name, &FleetMember::Name) !=
      Watching.end()) {
    this->FeedStore.setRelays({});
    return;
  }
  this->FeedStore.setRelays(
      orderRelays(Watching, this->Settings.Domain, this->RelayOffset));
}

void EdgeNode::updatePeers() {
  std::vector<Endpoint> Peers;
  std::vector<Endpoint> AllPeers;
  for (const FleetMember &Member : this->Entries) {
    AllPeers.push_back(Member.PeerAddress);
    if (Member.Name != this->Settings.Name)
      Peers.push_back(Member.PeerAddress);
  }
  this->Probe->setPeers(Peers, this->Members.servingMembers().size());
  this->Coordinator.setMembers(std::move(AllPeers),
                               std::max<std::size_t>(1, this->Senders.Count));
}

void EdgeNode::updateFleet(TimePoint Now) {
  const bool Expired = this->Leaves.expire(Now);
  this->FleetOutdated =
      this->Coordinator.consumeChanged() || this->FleetOutdated;
  this->EntriesOutdated = this->Members.expire(Now) || this->EntriesOutdated;
  this->updateEntries();
  this->Tenure.update(this->isEntry(), Now);
  SenderGroup Current = this->senderGroup(Now);
  if (!this->FleetOutdated && !Expired && Current == this->Senders)
    return;
  this->FleetOutdated = false;
  this->Senders = Current;
  this->Fleet.update(this->Leaves, this->Routes.get(), this->Bounds, Current,
                     Now);
}

std::size_t EdgeNode::countSenders(TimePoint Now) const {
  const std::size_t AllSenders = this->Members.limitShareCount(Now);
  // A process that is not an entry counts every member as a sender.
  if (!this->isEntry() ||
      this->Entries.size() == this->Members.servingMembers().size())
    return AllSenders;
  return this->Entries.size() + SenderHeadroom;
}

SenderGroup EdgeNode::senderGroup(TimePoint Now) const {
  SenderGroup Result{this->countSenders(Now),
                     this->Tenure.since(),
                     hashOf(this->Settings.Name),
                     {}};
  if (Now < this->StartedAt + JoinPeriod)
    Result.Count = std::max(Result.Count, MinSendersWhileJoining);
  for (const FleetMember &Member : this->Entries)
    Result.Listed.push_back(hashOf(Member.Name));
  // While it is stopping it still serves, though callers are sent elsewhere.
  if (this->OnStopped && !this->isEntry())
    Result.Listed.push_back(Result.Self);
  return Result;
}

void EdgeNode::shareLimits(TimePoint Now) {
  if (Now < this->ShareLimitsAt)
    return;
  this->ShareLimitsAt = Now + LimitNoticePeriod;
  const std::vector<LimitNotice> All = this->Fleet.takeLimitNotices(Now);
  for (std::span<const LimitNotice> Left(All); !Left.empty();) {
    const auto Page = Left.first(std::min(Left.size(), MaxLimitsPerNotice));
    Left = Left.subspan(Page.size());
    const std::string Encoded =
        encodeToString(LimitNotices{{Page.begin(), Page.end()}});
    if (Encoded.size() <= PeerProbe::MaxNoticeBytes)
      this->Probe->sendNotice(Encoded);
  }
}

void EdgeNode::onLimitNotices(std::string_view Encoded) {
  const TimePoint Now = Clock::now();
  try {
    const auto Notices = decodeFromString<LimitNotices>(Encoded);
    for (const LimitNotice &Notice : Notices.Items)
      this->Fleet.onLimitNotice(Notice, Now);
  } catch (const DecodeError &Failure) {
    logEvent(event::FrameRefused, "limit notice", Failure.what());
  }
}

void EdgeNode::scheduleTick(TimePoint Due) {
  this->Timer.expires_at(Due);
  this->Timer.async_wait([this, Due](auto Failure) {
    if (Failure)
      return;
    const TimePoint Now = Clock::now();
    this->LoopLag.record(Due, Now);
    this->applyHeld(Now);
    this->updateFleet(Now);
    this->Relay.expire(Now);
    this->shareLimits(Now);
    this->Coordinator.tick(Now, this->Feed->isStoreUnavailable());
    if (this->OnStopped)
      this->finishStop(Now);
    this->scheduleTick(Now + TickPeriod);
  });
}

void EdgeNode::stop(std::function<void()> Then) {
  if (this->OnStopped)
    return;
  this->Stop.begin(Clock::now());
  this->Runs.ServeUntil = this->Stop.lastAnswersAt();
  this->OnStopped = std::move(Then);
  logEvent(event::ProcessStopping, this->Settings.Name);
  this->Callers.drain();
  this->Lease->announceLeaving();
}

void EdgeNode::finishStop(TimePoint Now) {
  if (Now < this->Stop.addressesExpireAt())
    return;
  this->Callers.closeIdle();
  if (Now >= this->Stop.lastAnswersAt())
    this->Callers.giveUp("this process is stopping");
  if (!this->Stop.isDone(this->Callers.connections(), Now))
    return;
  logEvent(event::ProcessStopped, this->Settings.Name);
  this->Lease->release();
  std::exchange(this->OnStopped, nullptr)();
}

bool EdgeNode::isReady() const {
  return this->Routes.get() && this->Feed->hasReadAll() && !this->OnStopped;
}

void EdgeNode::updateEntries() {
  const RouteTablePtr &Table = this->Routes.get();
  if (!Table || !std::exchange(this->EntriesOutdated, false))
    return;
  this->Entries = selectEntryMembers(this->Members.servingMembers(),
                                     Table->minConnectionCap());
}

bool EdgeNode::isEntry() const {
  return std::ranges::find(this->Entries, this->Settings.Name,
                           &FleetMember::Name) != this->Entries.end();
}

bool EdgeNode::isIsolated() const {
  return this->Feed->isStoreUnavailable() &&
         this->Fleet.reachableShare(Clock::now()) < IsolatedBelowLeafShare;
}

std::vector<std::string> EdgeNode::addresses(std::string_view Domain) const {
  std::vector<FleetMember> Silent;
  std::vector<FleetMember> Answering;
  for (const FleetMember &Member : this->Entries)
    (this->Probe->isUnresponsive(Member.PeerAddress) ? Silent : Answering)
        .push_back(Member);
  if (Silent.size() >= Answering.size() && this->isIsolated())
    return addressesForCaller(Silent, Domain, MaxAddressesPerCaller);
  return addressesForCaller(Answering, Domain, MaxAddressesPerCaller);
}

} // namespace citronlever
