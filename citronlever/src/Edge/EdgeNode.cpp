#include "citronlever/src/Edge/EdgeNode.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Registry/EntrySelection.h"

#include <algorithm>
#include <random>

namespace citronlever {

namespace {

constexpr Duration TickPeriod = Milliseconds(50);
/// Callers keep an address for some times the directory's time to live; until
/// then a stopping process goes on accepting.
constexpr int AddressLives = 3;
/// A process that reaches neither the store nor this share of the leaves, nor
/// most members, is itself cut off: callers are better served by the others.
constexpr double ReachableWhenCutOff = 0.7;
/// Room in the fleet's limits beside the entries that callers are sent to.
constexpr std::size_t SpareSenders = 1;
/// Until the others can have registered too, the fleet's limits are divided by
/// at least so many.
constexpr Duration JoinTime = Seconds(3);
constexpr std::size_t SendersWhileJoining = 16;
/// Before the end of a planned stop, the time for last answers to leave.
constexpr Duration StopReserve = Milliseconds(400);
/// Addresses told to one caller.
constexpr std::size_t MaxAddresses = 64;

FleetMember self(const EdgeSettings &Settings) {
  FleetMember Result;
  Result.Name = Settings.Name;
  Result.Domain = Settings.Domain;
  Result.Region = Settings.Region;
  Result.CallerAddress = Settings.Callers;
  Result.PeerAddress = Settings.Peers;
  Result.Capacity = Settings.Capacity;
  Result.Incarnation = std::random_device{}();
  return Result;
}

} // namespace

EdgeNode::EdgeNode(boost::asio::io_context &Context, EdgeSettings Configured,
                   KeyValueStore &Store, const DocumentReader &Documents,
                   const HeaderNames &Names)
    : Settings(std::move(Configured)), Store(Store), Changes(Context, Store),
      Peers(Context, {}, this->peerHandler()), Documents(Documents),
      Fleet(Context, Names,
            {this->Settings.Domain, this->Settings.ExtraSends, {}}),
      Moves(Context, Store, Documents, this->Fleet.rollouts(),
            {this->Settings.Name + "." + std::to_string(std::random_device{}()),
             this->Settings.Peers, this->Settings.Exposure},
            [this](const RolloutRequest &Order) {
              return this->oldVersion(Order);
            }),
      Runs{Context, Names, this->Fleet, this->Delay},
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
      Mirror([this](const StoreItem &Item) { this->changed(Item); }),
      Feed(std::make_shared<StoreSynchronizer>(
          Context, this->Changes, this->Mirror, StoreSynchronizerSettings{})),
      Lease(std::make_shared<MemberLease>(Context, Store, Documents,
                                          self(this->Settings))),
      Probe(std::make_shared<PeerProbe>(Context)), Timer(Context) {}

EdgeNode::~EdgeNode() {
  this->Feed->stop();
  this->Probe->stop();
}

void EdgeNode::start() {
  this->StartedAt = Clock::now();
  this->Callers.listen(this->Settings.Callers);
  logEvent(event::ProcessStarted, this->Settings.Name,
           toString(this->Settings.Callers));
  this->Peers.listen(this->Settings.Peers);
  this->Probe->listen(this->Settings.Peers);
  this->Feed->start([this](bool WasAway) { this->feedCame(WasAway); },
                    [this] { this->Relay.onStoreUnavailable(); });
  this->tick(Clock::now() + TickPeriod);
}

void EdgeNode::changed(const StoreItem &Item) {
  this->Meaningful = true;
  this->Documents.read(Item, *this);
  if (this->Meaningful)
    this->Relay.record(Item);
}

void EdgeNode::onLeaf(LeafEntry Entry) {
  this->Meaningful = this->Leaves.put(std::move(Entry), Clock::now());
  if (this->Meaningful)
    this->Changed = true;
}

void EdgeNode::onLeafRemoved(std::string_view Id) {
  this->Leaves.remove(Id, Clock::now());
  this->Changed = true;
}

void EdgeNode::onRoutes(RouteTablePtr Table) {
  if (!this->Routes.replaceIfNewer(Table))
    return;
  this->Changed = true;
  logEvent(event::RoutesInForce, "version", Table->version(), "routes",
           Table->routes().size());
}

void EdgeNode::onDomainClosed(std::string_view Domain, bool Closed) {
  if (Closed)
    this->Bounds.ClosedDomains.emplace(Domain);
  else
    this->Bounds.ClosedDomains.erase(std::string(Domain));
  this->Changed = true;
}

void EdgeNode::onVersionOrdered(RolloutRequest Order) {
  this->Moves.ordered(std::move(Order), Clock::now());
}

void EdgeNode::onOrderWithdrawn(std::string_view Service) {
  this->Moves.withdrawn(Service);
}

void EdgeNode::onMoveWritten(RolloutDocument State, std::uint64_t Revision) {
  this->Moves.written(std::move(State), Revision, Clock::now());
}

std::string EdgeNode::oldVersion(const RolloutRequest &Order) const {
  std::string Result = "unknown";
  this->Leaves.forEach([&](const LeafEntry &Entry) {
    if (Entry.Service == Order.Service && Entry.Version != Order.Version)
      Result = Entry.Version;
  });
  return Result;
}

HttpHandler EdgeNode::peerHandler() {
  return [this, Changes = relayHandler(this->Relay)](
             const std::shared_ptr<const HttpRequest> &Request,
             const HttpReply &Reply) {
    if (Request->path() == RolloutCoordinator::Target)
      Reply(this->Moves.answer(*Request));
    else
      Changes(Request, Reply);
  };
}

void EdgeNode::onMember(FleetMember Member) {
  this->Members.put(std::move(Member));
}

void EdgeNode::onMemberRemoved(std::string_view Name) {
  this->Members.remove(Name, Clock::now());
}

void EdgeNode::feedCame(bool WasAway) {
  const TimePoint Now = Clock::now();
  if (WasAway) {
    this->Leaves.onStoreRecovered(Now);
    this->Members.onStoreRecovered(Now);
  }
  this->refresh(Now);
  this->Relay.advance(this->Feed->asOf(), Now);
  this->chooseRelays();
  this->chooseProbes();
  if (this->Lease && this->Routes.get() && !this->Registered) {
    this->Registered = true;
    this->Lease->start();
  }
}

void EdgeNode::chooseRelays() {
  const std::vector<FleetMember> Watchers =
      selectWatchers(this->entries(), this->Members.servingMembers().size());
  std::vector<Endpoint> Peers;
  for (const FleetMember &Member : Watchers) {
    if (Member.Name == this->Settings.Name) {
      this->Changes.setRelays({});
      return;
    }
    Peers.push_back(Member.PeerAddress);
  }
  // Members begin with different watchers, so that each serves a like part.
  if (!Peers.empty())
    std::rotate(Peers.begin(),
                Peers.begin() +
                    static_cast<std::ptrdiff_t>(this->Spread % Peers.size()),
                Peers.end());
  this->Changes.setRelays(std::move(Peers));
}

void EdgeNode::chooseProbes() {
  std::vector<Endpoint> Peers;
  std::vector<Endpoint> All;
  for (const FleetMember &Member : this->entries()) {
    All.push_back(Member.PeerAddress);
    if (Member.Name != this->Settings.Name)
      Peers.push_back(Member.PeerAddress);
  }
  this->Probe->setPeers(Peers, this->Members.servingMembers().size());
  this->Moves.setMembers(std::move(All),
                         std::max<std::size_t>(1, this->Senders));
}

void EdgeNode::refresh(TimePoint Now) {
  const bool Expired = this->Leaves.expire(Now);
  this->Changed = this->Moves.takeChanged() || this->Changed;
  this->Members.expire(Now);
  std::size_t NewSenders = this->senders(Now);
  if (Now < this->StartedAt + JoinTime)
    NewSenders = std::max(NewSenders, SendersWhileJoining);
  if (!this->Changed && !Expired && NewSenders == this->Senders)
    return;
  this->Changed = false;
  this->Senders = NewSenders;
  this->Fleet.update(this->Leaves, this->Routes.get(), this->Bounds, NewSenders,
                     Now);
}

std::size_t EdgeNode::senders(TimePoint Now) const {
  const std::vector<FleetMember> Entries = this->entries();
  const std::size_t All = this->Members.limitShareCount(Now);
  const bool Chosen = std::ranges::find(Entries, this->Settings.Name,
                                        &FleetMember::Name) != Entries.end();
  // Those that callers are not sent to divide the fleet's limits with all.
  if (!Chosen || Entries.size() == this->Members.servingMembers().size())
    return All;
  return Entries.size() + SpareSenders;
}

void EdgeNode::tick(TimePoint Due) {
  this->Timer.expires_at(Due);
  this->Timer.async_wait([this, Due](auto Failure) {
    if (Failure)
      return;
    const TimePoint Now = Clock::now();
    this->Delay.record(Due, Now);
    this->refresh(Now);
    this->Relay.expire(Now);
    this->Moves.tick(Now, this->Feed->isStoreUnavailable());
    if (this->Stopped)
      this->finishStop(Now);
    this->tick(Now + TickPeriod);
  });
}

void EdgeNode::stop(std::function<void()> Then) {
  if (this->Stopped)
    return;
  this->StopBegan = Clock::now();
  this->Stopped = std::move(Then);
  logEvent(event::ProcessStopping, this->Settings.Name);
  this->Callers.drain();
  this->Lease->announceLeaving();
}

void EdgeNode::finishStop(TimePoint Now) {
  const TimePoint Hard =
      this->StopBegan + this->Settings.StopTime - StopReserve;
  const TimePoint Quiet = std::min(
      this->StopBegan + AddressLives * this->Settings.DirectoryTimeToLive +
          TickPeriod * 4,
      Hard);
  if (Now < Quiet)
    return;
  this->Callers.closeIdle();
  if (this->Callers.inFlight() > 0 && Now < Hard)
    return;
  logEvent(event::ProcessStopped, this->Settings.Name);
  this->Lease->release();
  std::exchange(this->Stopped, nullptr)();
}

bool EdgeNode::ready() const {
  return this->Routes.get() && this->Feed->hasReadAll() && !this->Stopped;
}

std::vector<FleetMember> EdgeNode::entries() const {
  if (!this->Routes.get())
    return {};
  return selectEntryMembers(this->Members.servingMembers(),
                            this->Routes.get()->minConnectionCap());
}

bool EdgeNode::cutOff() const {
  return this->Feed->isStoreUnavailable() &&
         this->Fleet.reachableShare(Clock::now()) < ReachableWhenCutOff;
}

std::vector<std::string> EdgeNode::addresses(std::string_view Domain) const {
  const std::vector<FleetMember> Entries = this->entries();
  std::vector<FleetMember> Silent;
  std::vector<FleetMember> Answering;
  for (const FleetMember &Member : Entries)
    (this->Probe->isUnresponsive(Member.PeerAddress) ? Silent : Answering)
        .push_back(Member);
  if (Silent.size() >= Answering.size() && this->cutOff())
    return addressesForCaller(Silent, Domain, MaxAddresses);
  return addressesForCaller(Answering, Domain, MaxAddresses);
}

} // namespace citronlever
