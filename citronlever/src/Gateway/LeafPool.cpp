#include "citronlever/src/Gateway/LeafPool.h"

#include "citronlever/src/Dispatch/ConnectionShare.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Cost of waiting for a new connection, in typical latencies.
constexpr double ConnectCost = 0.6;
/// Cost of waiting until another call ends.
constexpr double SaturatedCost = 2;
/// Cost of bytes between failure domains and of the longer way.
constexpr double OtherDomainCost = 0.6;
/// Replicas of equal cost are used alike.
constexpr double Spread = 0.1;

/// \returns whether a leaf is of the version that gets no call at the stage of
/// its service's move.
bool heldOut(const ServiceRollout &Trial, const LeafEntry &Entry) {
  const bool New = Trial.isNew(Entry.Version);
  return Trial.stage() == VersionTraffic::HeldOut
             ? New
             : Trial.stage() == VersionTraffic::Moved && !New;
}

/// \returns services under a move that have a leaf which is not held out.
std::set<std::string> otherwiseServed(const LeafRegistry &Registry,
                                      const ServiceRollouts &Trials) {
  std::set<std::string> Result;
  Registry.each([&](const LeafEntry &Entry) {
    const ServiceRollout *Trial = Trials.find(Entry.Service);
    if (Trial && !Entry.Draining && !heldOut(*Trial, Entry))
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
                      const LeafExclusions &Bounds, std::size_t SenderCount,
                      TimePoint Now) {
  this->Senders = SenderCount;
  for (auto &[Service, Window] : this->Windows)
    Window.setSharers(SenderCount);
  this->Services.clear();
  std::set<std::string> Kept;
  const std::set<std::string> Served = otherwiseServed(Registry, this->Trials);
  Registry.each([&](const LeafEntry &Entry) {
    const ServiceRollout *Trial = this->Trials.find(Entry.Service);
    const bool Held =
        Trial && heldOut(*Trial, Entry) && Served.contains(Entry.Service);
    if (Entry.Draining || Held || Bounds.ClosedDomains.contains(Entry.Domain))
      return;
    Kept.insert(Entry.Id);
    this->addReplica(Entry, Routes, SenderCount, Now);
  });
  this->retireMissing(Kept);
  if (Routes && Routes->version() != this->PrunedBy)
    this->prune(*Routes);
}

void LeafPool::prune(const RouteTable &Routes) {
  this->PrunedBy = Routes.version();
  std::set<std::string_view> Names;
  for (const RouteSpec &Entry : Routes.routes())
    Names.insert(Entry.Name);
  std::erase_if(this->Figures,
                [&](const auto &Item) { return !Names.contains(Item.first); });
  std::erase_if(this->Windows, [&](const auto &Item) {
    return Routes.service(Item.first) == nullptr;
  });
}

void LeafPool::retireMissing(const std::set<std::string> &Kept) {
  for (auto At = this->Channels.begin(); At != this->Channels.end();) {
    if (Kept.contains(At->first)) {
      ++At;
      continue;
    }
    const LeafChannelPtr Gone = At->second;
    At = this->Channels.erase(At);
    Gone->retire("leaf is leaving or gone");
  }
}

LeafChannelPtr LeafPool::channel(const LeafEntry &Entry) {
  LeafChannelPtr &Known = this->Channels[Entry.Id];
  if (Known && Known->entry().sameIncarnation(Entry)) {
    Known->entry() = Entry;
    return Known;
  }
  const LeafChannelPtr Old = std::exchange(
      Known,
      std::make_shared<LeafChannel>(this->Context, Entry, this->Names,
                                    this->Settings.Channel, this->Totals));
  LeafChannelPtr Result = Known;
  if (Old)
    Old->retire("leaf was started again");
  return Result;
}

void LeafPool::addReplica(const LeafEntry &Entry, const RouteTablePtr &Routes,
                          std::size_t SenderCount, TimePoint Now) {
  const LeafChannelPtr Channel = this->channel(Entry);
  const ServiceSpec *Spec = Routes ? Routes->service(Entry.Service) : nullptr;
  Channel->setMaxConnections(
      connectionShare(Spec ? Spec->ConnectionCap : 1, SenderCount));
  Channel->cold().set(Now + Entry.ColdFor, Spec ? Spec->ColdRatePerSecond : 0,
                      SenderCount, Now);
  this->Services[Entry.Service].push_back(Channel);
}

std::span<const LeafChannelPtr> LeafPool::replicas(std::string_view Service) {
  const auto Found = this->Services.find(Service);
  return Found == this->Services.end()
             ? std::span<const LeafChannelPtr>()
             : std::span<const LeafChannelPtr>(Found->second);
}

double LeafPool::cost(LeafChannel &Channel, Duration Typical, TimePoint Now) {
  double Cost = Channel.stats().cost(Typical, Now);
  if (Channel.saturated())
    Cost += SaturatedCost;
  else if (!Channel.hasIdle())
    Cost += ConnectCost;
  if (Channel.entry().Domain != this->Settings.Domain)
    Cost += OtherDomainCost;
  std::uniform_real_distribution<double> Noise(0, Spread);
  return Cost + Noise(this->Random);
}

VersionSide LeafPool::takeSide(std::string_view Service,
                               std::string_view Route) {
  ServiceRollout *Trial = this->Trials.find(Service);
  return Trial && Trial->takeNew(Route) ? VersionSide::New : VersionSide::Old;
}

VersionSide LeafPool::extraSide(std::string_view Service) {
  const ServiceRollout *Trial = this->Trials.find(Service);
  return Trial && Trial->extrasGoNew() ? VersionSide::New : VersionSide::Old;
}

bool LeafPool::mayAsk(LeafChannel &Channel, TimePoint Now) {
  return !Channel.misdirected() && Channel.stats().available(Now) &&
         Channel.cold().mayTake(Now);
}

bool LeafPool::usable(std::string_view Service, TimePoint Now) {
  return std::ranges::any_of(
      this->replicas(Service),
      [&](const LeafChannelPtr &Channel) { return mayAsk(*Channel, Now); });
}

LeafChannelPtr LeafPool::choose(const LeafCriteria &Wish, TimePoint Now) {
  const ServiceRollout *Trial = this->Trials.find(Wish.Service);
  if (!Trial || Trial->stage() != VersionTraffic::OnTrial)
    return this->chooseAmong(Wish, nullptr, Now);
  if (LeafChannelPtr Chosen = this->chooseAmong(Wish, Trial, Now))
    return Chosen;
  // The old version is always allowed; an unproved one is no way out.
  if (Wish.Side == VersionSide::Old && !Trial->extrasGoNew())
    return nullptr;
  LeafCriteria Other = Wish;
  Other.Side =
      Wish.Side == VersionSide::Old ? VersionSide::New : VersionSide::Old;
  return this->chooseAmong(Other, Trial, Now);
}

LeafChannelPtr LeafPool::chooseAmong(const LeafCriteria &Wish,
                                     const ServiceRollout *Trial,
                                     TimePoint Now) {
  LeafChannelPtr Best;
  double Least = 0;
  for (const LeafChannelPtr &Channel : this->replicas(Wish.Service)) {
    if (!mayAsk(*Channel, Now) ||
        std::ranges::find(Wish.Avoid, Channel) != Wish.Avoid.end())
      continue;
    if (Trial && Trial->isNew(Channel->entry().Version) !=
                     (Wish.Side == VersionSide::New))
      continue;
    const double Cost = this->cost(*Channel, Wish.Typical, Now);
    if (Best && Cost >= Least)
      continue;
    Best = Channel;
    Least = Cost;
  }
  return Best;
}

LeafChannelPtr LeafPool::probe(std::string_view Service,
                               const LeafChannelPtr &Chosen, TimePoint Now) {
  const ServiceRollout *Trial = this->Trials.find(Service);
  for (const LeafChannelPtr &Channel : this->replicas(Service)) {
    if (Channel == Chosen || Channel->misdirected() ||
        Channel->cold().until() > Now)
      continue;
    // Copies would add to what an unproved version gets.
    if (Trial && Trial->isNew(Channel->entry().Version) &&
        !Trial->extrasGoNew())
      continue;
    if (Channel->stats().takeProbe(Now))
      return Channel;
  }
  return nullptr;
}

double LeafPool::meanQueue(std::span<const std::string> Names, TimePoint Now) {
  double Sum = 0;
  int Count = 0;
  for (const std::string &Service : Names)
    for (const LeafChannelPtr &Channel : this->replicas(Service))
      if (const auto Queue = Channel->stats().reportedQueue(Now)) {
        Sum += *Queue;
        ++Count;
      }
  return Count == 0 ? 0 : Sum / Count;
}

ExtraSendBudget &LeafPool::extraSends(std::string_view Service) {
  auto Found = this->Windows.find(Service);
  if (Found == this->Windows.end()) {
    Found = this->Windows
                .emplace(std::string(Service),
                         ExtraSendBudget(this->Settings.ExtraSends))
                .first;
    Found->second.setSharers(this->Senders);
  }
  return Found->second;
}

RouteLatency &LeafPool::figures(const RouteSpec &Of) {
  auto Found = this->Figures.find(Of.Name);
  if (Found == this->Figures.end())
    Found =
        this->Figures.emplace(Of.Name, RouteLatency(Of.LatencyObjective)).first;
  return Found->second;
}

double LeafPool::reachableShare(TimePoint Now) const {
  std::size_t Reachable = 0;
  for (const auto &[Id, Channel] : this->Channels)
    if (Channel->stats().available(Now) && !Channel->stats().suspect())
      ++Reachable;
  return this->Channels.empty()
             ? 1
             : static_cast<double>(Reachable) /
                   static_cast<double>(this->Channels.size());
}

std::uint64_t LeafPool::extraSendsDenied() const {
  std::uint64_t Count = 0;
  for (const auto &[Service, Window] : this->Windows)
    Count += Window.denied();
  return Count;
}

std::size_t LeafPool::connections() const {
  std::size_t Count = 0;
  for (const auto &[Id, Channel] : this->Channels)
    Count += Channel->connections();
  return Count;
}

} // namespace citronlever
