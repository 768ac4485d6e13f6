#include "citronlever/src/Gateway/LeafPool.h"

#include "citronlever/src/Core/Hash.h"
#include "citronlever/src/Dispatch/ConnectionShare.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace citronlever {

namespace {

/// Cost of opening a connection, in typical latencies.
constexpr double ConnectCost = 0.6;
/// Cost of waiting until another call frees a connection.
constexpr double SaturatedCost = 2;
/// Cost of traffic between failure domains and of its longer path.
constexpr double OtherDomainCost = 0.6;
/// Added cost of a leaf whose stated rate is used up, in typical latencies.
constexpr double LimitCost = 1;
/// Random cost that spreads calls over replicas of equal cost.
constexpr double CostJitter = 0.1;

/// \returns whether the leaf has the version that gets no calls at this stage
/// of the rollout.
bool isWithheld(const ServiceRollout &Rollout, const LeafEntry &Entry) {
  const bool New = Rollout.isNewVersion(Entry.Version);
  return Rollout.traffic() == VersionTraffic::OldOnly
             ? New
             : Rollout.traffic() == VersionTraffic::NewOnly && !New;
}

/// \returns the services in a rollout that have a leaf whose version is not
/// withheld.
std::set<std::string>
servicesWithEligibleLeaf(const LeafRegistry &Registry,
                         const ServiceRollouts &Rollouts) {
  std::set<std::string> Result;
  Registry.forEach([&](const LeafEntry &Entry) {
    const ServiceRollout *Rollout = Rollouts.find(Entry.Service);
    if (Rollout && !Entry.Draining && !isWithheld(*Rollout, Entry))
      Result.insert(Entry.Service);
  });
  return Result;
}

} // namespace

LeafPool::LeafPool(boost::asio::io_context &Context, const HeaderNames &Names,
                   LeafPoolSettings Settings)
    : Context(Context), Names(Names), Settings(std::move(Settings)),
      Random(std::random_device{}()) {}

void LeafPool::update(const LeafRegistry &Registry, const RouteTablePtr &Routes,
                      const LeafExclusions &Bounds, const SenderGroup &SharedBy,
                      TimePoint Now) {
  this->Senders = SharedBy;
  for (auto &[Service, Budget] : this->ExtraSendBudgets)
    Budget.setSenders(SharedBy.Count, SharedBy.MemberSince);
  this->Services.clear();
  std::set<std::string> Kept;
  std::vector<EndedLeaf> Ended;
  const std::set<std::string> Eligible =
      servicesWithEligibleLeaf(Registry, this->Rollouts);
  Registry.forEach([&](const LeafEntry &Entry) {
    const ServiceRollout *Rollout = this->Rollouts.find(Entry.Service);
    const bool Withheld = Rollout && isWithheld(*Rollout, Entry) &&
                          Eligible.contains(Entry.Service);
    if (Entry.Draining || Withheld ||
        Bounds.ClosedDomains.contains(Entry.Domain))
      return;
    Kept.insert(Entry.Id);
    this->addReplica(this->channelFor(Entry, Ended), Routes, Now);
  });
  this->removeMissing(Kept, Ended);
  if (Routes && Routes->version() != this->PrunedVersion)
    this->pruneStatistics(*Routes, Now);
  // Last, because calls that wait at an ended leaf choose another one now.
  for (const EndedLeaf &Leaf : Ended)
    Leaf.Channel->retire(Leaf.Reason);
}

void LeafPool::pruneStatistics(const RouteTable &Routes, TimePoint Now) {
  this->PrunedVersion = Routes.version();
  std::set<std::string_view> RouteNames;
  for (const RouteSpec &Entry : Routes.routes())
    RouteNames.insert(Entry.Name);
  std::erase_if(this->RouteLatencies, [&](const auto &Item) {
    return !RouteNames.contains(Item.first);
  });
  std::erase_if(this->ExtraSendBudgets, [&](const auto &Item) {
    // A service that comes back must not be given its extra sends again.
    return !Routes.findService(Item.first) && Item.second.isUnused(Now);
  });
}

void LeafPool::removeMissing(const std::set<std::string> &Kept,
                             std::vector<EndedLeaf> &Ended) {
  std::erase_if(this->Channels, [&](const auto &Item) {
    if (Kept.contains(Item.first))
      return false;
    Ended.push_back({Item.second, "leaf is draining or removed"});
    return true;
  });
}

LeafChannelPtr LeafPool::channelFor(const LeafEntry &Entry,
                                    std::vector<EndedLeaf> &Ended) {
  LeafChannelPtr &Known = this->Channels[Entry.Id];
  if (Known && Known->entry().isSameIncarnation(Entry)) {
    Known->entry() = Entry;
    return Known;
  }
  if (Known)
    Ended.push_back({Known, "leaf was restarted"});
  Known = std::make_shared<LeafChannel>(this->Context, Entry, this->Names,
                                        this->Settings.Channel, this->Totals);
  return Known;
}

void LeafPool::addReplica(const LeafChannelPtr &Channel,
                          const RouteTablePtr &Routes, TimePoint Now) {
  const LeafEntry &Entry = Channel->entry();
  const ServiceSpec *Spec =
      Routes ? Routes->findService(Entry.Service) : nullptr;
  Channel->setMaxConnections(
      connectionShare(Spec ? Spec->ConnectionCap : 1, this->Senders.Count));
  Channel->coldLimiter().configure(Now + Entry.ColdTimeLeft,
                                   Spec ? Spec->ColdRatePerSecond : 0,
                                   this->Senders.Count, Now);
  Channel->rateLimiter().setPlace(this->placeAt(Entry.Id), Now);
  this->Services[Entry.Service].push_back(Channel);
}

SenderPlace LeafPool::placeAt(std::string_view LeafId) const {
  SenderPlace Result;
  Result.Count = this->Senders.Count;
  if (this->Senders.Listed.empty())
    return Result;
  const std::uint64_t Key = hashOf(LeafId);
  const std::uint64_t Own = rendezvousScore(Key, this->Senders.Self);
  Result.IsListed = false;
  for (const std::uint64_t Member : this->Senders.Listed) {
    if (Member == this->Senders.Self)
      Result.IsListed = true;
    else if (rendezvousScore(Key, Member) > Own)
      ++Result.Rank;
  }
  return Result;
}

std::span<const LeafChannelPtr> LeafPool::replicas(std::string_view Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end()
             ? std::span<const LeafChannelPtr>()
             : std::span<const LeafChannelPtr>(Found->second);
}

double LeafPool::cost(LeafChannel &Channel, Duration TypicalLatency,
                      TimePoint Now) {
  double Cost = Channel.stats().cost(TypicalLatency, Now);
  if (Channel.isSaturated())
    Cost += SaturatedCost;
  else if (!Channel.hasIdleConnection())
    Cost += ConnectCost;
  if (Channel.entry().Domain != this->Settings.Domain)
    Cost += OtherDomainCost;
  Cost += LimitCost * Channel.rateLimiter().usedShare(Now);
  std::uniform_real_distribution<double> Noise(0, CostJitter);
  return Cost + Noise(this->Random);
}

VersionSide LeafPool::assignVersion(std::string_view Service,
                                    std::string_view Route) {
  ServiceRollout *Rollout = this->Rollouts.find(Service);
  return Rollout && Rollout->assignToNew(Route) ? VersionSide::New
                                                : VersionSide::Old;
}

VersionSide LeafPool::extraSendVersion(std::string_view Service) {
  const ServiceRollout *Rollout = this->Rollouts.find(Service);
  return Rollout && Rollout->extraSendsUseNew() ? VersionSide::New
                                                : VersionSide::Old;
}

bool LeafPool::canCall(LeafChannel &Channel, TimePoint Now) {
  return !Channel.isMisdirected() && Channel.stats().isAvailable(Now) &&
         Channel.coldLimiter().canSend(Now) &&
         Channel.rateLimiter().canSend(Now);
}

bool LeafPool::isRateLimited(std::string_view Service) {
  return std::ranges::any_of(this->replicas(Service),
                             [](const LeafChannelPtr &Channel) {
                               return Channel->rateLimiter().isLimited();
                             });
}

std::vector<LimitNotice> LeafPool::takeLimitNotices(TimePoint Now) {
  std::vector<LimitNotice> Result;
  for (const auto &[Id, Channel] : this->Channels) {
    const auto Stated = Channel->rateLimiter().takeShareable();
    if (!Stated)
      continue;
    const auto Age = static_cast<std::uint32_t>(toMs(Now - Stated->At));
    Result.push_back({Id, Channel->entry().Incarnation,
                      Stated->PerSecond.has_value(),
                      Stated->PerSecond.value_or(0), Age});
  }
  return Result;
}

void LeafPool::onLimitNotice(const LimitNotice &Notice, TimePoint Now) {
  const auto Found = this->Channels.find(Notice.LeafId);
  if (Found == this->Channels.end() || !std::isfinite(Notice.PerSecond) ||
      Notice.PerSecond < 0)
    return;
  // Kept, because calls that end may change the set of leaves.
  const LeafChannelPtr Channel = Found->second;
  if (Channel->entry().Incarnation != Notice.Incarnation)
    return;
  StatedRate Stated;
  Stated.At = Now - Milliseconds(Notice.AgeMs);
  if (Notice.Limited)
    Stated.PerSecond = std::min(Notice.PerSecond, MaxStatedRate);
  Channel->onShared(Stated, Now);
}

std::string LeafPool::countUnavailable(std::string_view Service,
                                       TimePoint Now) {
  std::ostringstream Reason;
  Reason << "no leaf of " << Service << " is available";
  bool Limited = false;
  for (const LeafChannelPtr &Channel : this->replicas(Service)) {
    StatedRateLimiter &Limiter = Channel->rateLimiter();
    if (!Limiter.isLimited() || Limiter.canSend(Now))
      continue;
    Limited = true;
    Reason << "; " << Channel->entry().Id << " takes "
           << *Limiter.stated().PerSecond << " per second, stated "
           << toMs(Now - Limiter.stated().At) << " ms ago, "
           << Limiter.ownRate() << " from here";
  }
  if (Limited)
    ++this->LimitDenied;
  return Reason.str();
}

bool LeafPool::isUsable(std::string_view Service, TimePoint Now) {
  return std::ranges::any_of(
      this->replicas(Service),
      [&](const LeafChannelPtr &Channel) { return canCall(*Channel, Now); });
}

LeafChannelPtr LeafPool::choose(const LeafCriteria &Criteria, TimePoint Now) {
  const ServiceRollout *Rollout = this->Rollouts.find(Criteria.Service);
  if (!Rollout || Rollout->traffic() != VersionTraffic::Split)
    return this->chooseAmong(Criteria, nullptr, Now);
  if (LeafChannelPtr Chosen = this->chooseAmong(Criteria, Rollout, Now))
    return Chosen;
  // The old version may always take over for the new one. An unproven new
  // version must not take over for the old one.
  if (Criteria.Side == VersionSide::Old && !Rollout->extraSendsUseNew())
    return nullptr;
  LeafCriteria Other = Criteria;
  Other.Side =
      Criteria.Side == VersionSide::Old ? VersionSide::New : VersionSide::Old;
  return this->chooseAmong(Other, Rollout, Now);
}

LeafChannelPtr LeafPool::chooseAmong(const LeafCriteria &Criteria,
                                     const ServiceRollout *Rollout,
                                     TimePoint Now) {
  LeafChannelPtr Best;
  double LeastCost = 0;
  for (const LeafChannelPtr &Channel : this->replicas(Criteria.Service)) {
    if (!canCall(*Channel, Now) ||
        std::ranges::find(Criteria.Avoid, Channel) != Criteria.Avoid.end())
      continue;
    if (Rollout && Rollout->isNewVersion(Channel->entry().Version) !=
                       (Criteria.Side == VersionSide::New))
      continue;
    const double Cost = this->cost(*Channel, Criteria.TypicalLatency, Now);
    if (Best && Cost >= LeastCost)
      continue;
    Best = Channel;
    LeastCost = Cost;
  }
  return Best;
}

LeafChannelPtr LeafPool::chooseProbe(std::string_view Service,
                                     const LeafChannelPtr &Chosen,
                                     TimePoint Now) {
  const ServiceRollout *Rollout = this->Rollouts.find(Service);
  for (const LeafChannelPtr &Channel : this->replicas(Service)) {
    if (Channel == Chosen || Channel->isMisdirected() ||
        Channel->coldLimiter().coldUntil() > Now ||
        Channel->rateLimiter().isLimited())
      continue;
    // Probes would add to the traffic of an unproven version.
    if (Rollout && Rollout->isNewVersion(Channel->entry().Version) &&
        !Rollout->extraSendsUseNew())
      continue;
    if (Channel->stats().tryTakeProbe(Now))
      return Channel;
  }
  return nullptr;
}

double LeafPool::meanQueue(std::span<const std::string> ServiceNames,
                           TimePoint Now) {
  double Sum = 0;
  int Count = 0;
  for (const std::string &Service : ServiceNames)
    for (const LeafChannelPtr &Channel : this->replicas(Service))
      if (const auto Queue = Channel->stats().reportedQueue(Now)) {
        Sum += *Queue;
        ++Count;
      }
  return Count == 0 ? 0 : Sum / Count;
}

ExtraSendBudget &LeafPool::extraSendBudget(std::string_view Service) {
  auto Found = this->ExtraSendBudgets.find(Service);
  if (Found == this->ExtraSendBudgets.end()) {
    Found = this->ExtraSendBudgets
                .emplace(std::string(Service),
                         ExtraSendBudget(this->Settings.ExtraSends))
                .first;
    Found->second.setSenders(this->Senders.Count, this->Senders.MemberSince);
  }
  return Found->second;
}

RouteLatency &LeafPool::routeLatency(const RouteSpec &Route) {
  auto Found = this->RouteLatencies.find(Route.Name);
  if (Found == this->RouteLatencies.end())
    Found = this->RouteLatencies
                .emplace(Route.Name, RouteLatency(Route.LatencyObjective))
                .first;
  return Found->second;
}

double LeafPool::reachableShare(TimePoint Now) const {
  std::size_t Reachable = 0;
  for (const auto &[Id, Channel] : this->Channels)
    if (Channel->stats().isAvailable(Now) && !Channel->stats().isSuspect())
      ++Reachable;
  return this->Channels.empty()
             ? 1
             : static_cast<double>(Reachable) /
                   static_cast<double>(this->Channels.size());
}

std::uint64_t LeafPool::extraSendsDenied() const {
  std::uint64_t Count = 0;
  for (const auto &[Service, Budget] : this->ExtraSendBudgets)
    Count += Budget.denied();
  return Count;
}

std::size_t LeafPool::limitedLeaves() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->Channels, [](const auto &Item) {
        return Item.second->rateLimiter().isLimited();
      }));
}

std::size_t LeafPool::connections() const {
  std::size_t Count = 0;
  for (const auto &[Id, Channel] : this->Channels)
    Count += Channel->connections();
  return Count;
}

} // namespace citronlever
