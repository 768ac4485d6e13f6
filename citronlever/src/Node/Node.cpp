#include "citronlever/src/Node/Node.h"

#include "citronlever/Config"
#include "citronlever/Core"
#include "citronlever/Membership"
#include "citronlever/Operator"
#include "citronlever/Platform"
#include "citronlever/Rollout"
#include "citronlever/Wire"
#include "citronlever/src/Node/LeavingVms.h"
#include "citronlever/src/Node/RolloutCommands.h"
#include "citronlever/src/Node/RoutingExplanation.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <csignal>
#include <thread>

namespace citronlever {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration TickPeriod = Seconds(1);
/// Time after the planned stop for last answers to reach their readers.
constexpr Duration LastWords = Milliseconds(300);

/// From here on the process only ends; a further request to stop must not kill
/// it once the signal set has gone.
void blockStopSignals() {
  sigset_t Stops;
  sigemptyset(&Stops);
  sigaddset(&Stops, SIGTERM);
  sigaddset(&Stops, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stops, nullptr);
}

ConfigSettings configSettings(const NodeSettings &Settings,
                              const Member &Self) {
  ConfigSettings Result;
  Result.Deployment = Settings.Deployment;
  Result.Name = Self.Name;
  Result.Vm = Self.Vm;
  Result.Domain = Self.Domain;
  Result.Seeds = Settings.Peers;
  Result.ProposalTimeout = Settings.ProposalTimeout;
  Result.RepairStore = Settings.ConfigRepair;
  Result.Incarnation = Self.Incarnation;
  Result.MinGroupSize = Settings.ConfigGroupMembers;
  Result.Policy = Settings.ConfigOnlyRise ? RevisionPolicy::MonotonicOnly
                                          : RevisionPolicy::AcceptAny;
  return Result;
}

PeerSettings peerSettings(const NodeSettings &Settings) {
  constexpr Duration Never = std::chrono::hours(24);
  PeerSettings Result;
  if (!Settings.Heartbeats) {
    Result.Heartbeat = Never;
    Result.IdleHeartbeat = Never;
  }
  return Result;
}

MembershipSettings membershipSettings(const NodeSettings &Settings) {
  MembershipSettings Result;
  Result.ProbePeriod = Settings.ProbePeriod;
  Result.FailureTimeout = Settings.FailureTimeout;
  Result.EnableSuspicion = Settings.Suspicion;
  Result.DetectPause = Settings.NoticePause;
  if (Settings.Announce != Settings.Peer)
    Result.Listen = Settings.Peer;
  return Result;
}

/// \returns \p View without \p Name.
MemberViewPtr without(const MemberViewPtr &View, std::string_view Name) {
  auto Result = std::make_shared<MemberView>(*View);
  std::erase_if(Result->Members,
                [Name](const Member &Each) { return Each.Name == Name; });
  Result->Digest = 0;
  return Result;
}

std::vector<ConfigPeer> configPeers(const MemberView &View,
                                    std::string_view Self) {
  std::vector<ConfigPeer> Result;
  for (const Member &Each : View.Members)
    if (Each.Name != Self)
      Result.push_back(
          {Each.Name, Each.Vm, Each.Domain, Each.Peer, Each.Incarnation});
  return Result;
}

} // namespace

class Node::State : public std::enable_shared_from_this<Node::State> {
public:
  State(NodeSettings Given, Role Kind)
      : Settings(std::move(Given)),
        Self(selfOf(this->Settings, Kind, makeIncarnation())),
        Context(this->Settings.Threads),
        Auth(std::make_shared<Authenticator>(this->Settings.Deployment,
                                             this->Settings.Key,
                                             this->Settings.OldKey)),
        Hub(this->Context, this->Self.Name, this->Self.Incarnation,
            peerSettings(this->Settings), this->Auth),
        Store(this->Context, this->Settings.Platform),
        Members(this->Context, this->Self, membershipSettings(this->Settings),
                this->Auth, this->Settings.Peers),
        Config(this->Context, this->Store, this->Hub,
               configSettings(this->Settings, this->Self)),
        Operators(this->Context, this->Settings.OperatorToken, this->Config,
                  [this] { return this->Members.view(); }),
        Ports(rolloutPorts(this->Config, [this] { return this->view(); })),
        Rollouts(this->Context, this->Hub, this->Store, this->Ports,
                 this->loadSource(),
                 {this->Settings.Deployment, this->Self.Name, this->Self.Domain,
                  this->Self.Incarnation}),
        Moves(this->Rollouts, this->Ports),
        Signals(this->Context, SIGTERM, SIGINT), Tick(this->Context),
        Linger(this->Context) {}

  int run();
  MemberViewPtr view() const;
  void addDumps();
  void start();
  void signalled();
  void stopServing();
  void finished();
  void armTick();
  void tick(TimePoint Now);
  void readVms();
  void tellLeaving(const LeavingVmTracker::Names &Leaving);
  LoadSource loadSource();

  NodeSettings Settings;
  Member Self;
  asio::io_context Context;
  std::shared_ptr<const Authenticator> Auth;
  PeerHub Hub;
  HttpPlatform Store;
  MembershipAgent Members;
  ConfigAgent Config;
  OperatorServer Operators;
  const RolloutDependencies Ports;
  LoadSource Loads;
  RolloutService Rollouts;
  RolloutCommands Moves;
  asio::signal_set Signals;
  asio::steady_timer Tick;
  asio::steady_timer Linger;
  std::vector<std::function<void(TimePoint)>> Ticks;
  std::function<void(std::function<void()>)> Drain;
  std::atomic<bool> Leaving{false};
  bool SeedsRead = false;
};

MemberViewPtr Node::State::view() const {
  MemberViewPtr View = this->Members.view();
  if (this->Members.isCurrent(Clock::now()))
    return View;
  return without(View, this->Self.Name);
}

void Node::State::addDumps() {
  this->Operators.addDump("process", [this](TimePoint) {
    const PeerHub::Counters Links = this->Hub.counters();
    const PlatformCalls Calls = this->Store.calls();
    return json::value{{"name", this->Self.Name},
                       {"domain", this->Self.Domain},
                       {"incarnation", this->Self.Incarnation},
                       {"version", CITRON_VERSION},
                       {"leaving", this->Leaving.load()},
                       {"links",
                        {{"open", Links.Links},
                         {"frames_in", Links.FramesIn},
                         {"frames_out", Links.FramesOut},
                         {"bytes_in", Links.BytesIn},
                         {"bytes_out", Links.BytesOut},
                         {"refused", Links.Refused}}},
                       {"platform",
                        {{"reads", Calls.Reads},
                         {"writes", Calls.Writes},
                         {"watches", Calls.Watches},
                         {"failed", Calls.Failed}}}};
  });
  this->Operators.addDump(
      "members", [this](TimePoint Now) { return this->Members.dump(Now); });
  this->Operators.addDump(
      "config", [this](TimePoint Now) { return this->Config.dump(Now); });
  this->Operators.addDump(
      "rollouts", [this](TimePoint Now) { return this->Rollouts.dump(Now); });
  this->Operators.addDump(
      "moves", [this](TimePoint Now) { return this->Moves.moves(Now); });
  this->Operators.addWhy(
      "fleet", [this](std::string_view Kind, std::string_view Name, TimePoint) {
        return explainRouting(Kind, Name, this->Config.view(), this->view(),
                              this->Rollouts.agent().marks());
      });
}

/// An entry owns no shards; a broker's source is set after this is built.
LoadSource Node::State::loadSource() {
  if (this->Self.Kind == Role::Entry)
    return nullptr;
  return
      [this] { return this->Loads ? this->Loads() : std::vector<ShardLoad>(); };
}

void Node::State::start() {
  this->addDumps();
  this->Operators.setMoves(&this->Moves);
  this->Members.onChange([this](const MemberViewPtr &View) {
    this->Config.setPeers(configPeers(*View, this->Self.Name));
  });
  this->Hub.onDown([this](const PeerLinkPtr &Link) {
    this->Members.probeSoon(Link->peerName());
  });
  this->Hub.listen(this->Settings.Peer);
  this->Members.start();
  this->Config.start();
  this->Rollouts.start();
  this->Operators.listen(this->Settings.Operators);
  this->armTick();
  this->Signals.async_wait(
      [this](const boost::system::error_code &Failure, int) {
        if (!Failure)
          this->signalled();
      });
  logEvent(event::ProcessStarted, this->Self.Name, this->Self.Incarnation,
           toString(this->Settings.Peer));
}

void Node::State::signalled() {
  logEvent(event::ProcessStopping, this->Self.Name);
  this->Leaving = true;
  this->Members.leave([this] { this->stopServing(); });
}

void Node::State::stopServing() {
  if (!this->Drain)
    return this->finished();
  this->Drain(
      [this] { asio::post(this->Context, [this] { this->finished(); }); });
}

void Node::State::finished() {
  this->Linger.expires_after(LastWords);
  this->Linger.async_wait([this](const boost::system::error_code &) {
    logEvent(event::ProcessStopped, this->Self.Name);
    this->Context.stop();
  });
}

void Node::State::armTick() {
  this->Tick.expires_after(TickPeriod);
  this->Tick.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    this->tick(Clock::now());
    this->armTick();
  });
}

void Node::State::tick(TimePoint Now) {
  const MemberViewPtr View = this->Members.view();
  const bool Alone = View->Members.size() <= 1;
  if (!this->SeedsRead || Alone || readsVmList(*View, this->Self))
    this->readVms();
  for (const auto &Use : this->Ticks)
    Use(Now);
}

void Node::State::readVms() {
  this->Store.vms([this](const PlatformVms &Result) {
    if (Result.Status != PlatformStatus::Done)
      return;
    this->SeedsRead = true;
    LeavingVmTracker::Names Gone;
    std::vector<Endpoint> Seeds;
    for (const PlatformVm &Each : Result.Vms) {
      Seeds.insert(Seeds.end(), Each.Peers.begin(), Each.Peers.end());
      if (Each.Leaving)
        Gone.insert(Each.Name);
    }
    this->Members.addSeeds(Seeds);
    this->tellLeaving(Gone);
  });
}

void Node::State::tellLeaving(const LeavingVmTracker::Names &Gone) {
  if (Gone.empty())
    return;
  const ConfigViewPtr View = this->Config.view();
  const Ownership Owners(this->Members.view(), View);
  for (const LeavingVmsNotice &Notice : leavingVmsNotices(Gone, *View, Owners))
    this->Hub.withLink(Notice.To, [Told = Notice.Told](const PeerLinkPtr &To) {
      if (To)
        To->send(MessageType::LeavingVms, encode(Told));
    });
}

int Node::State::run() {
  this->start();
  const auto Work = asio::make_work_guard(this->Context);
  std::vector<std::thread> Threads;
  for (int I = 1; I < this->Settings.Threads; ++I)
    Threads.emplace_back([this] { this->Context.run(); });
  this->Context.run();
  for (std::thread &Thread : Threads)
    Thread.join();
  blockStopSignals();
  return 0;
}

Node::Node(NodeSettings Settings, Role Kind)
    : Data(std::make_shared<State>(std::move(Settings), Kind)) {}
Node::~Node() = default;

asio::io_context &Node::context() { return this->Data->Context; }
PeerHub &Node::hub() { return this->Data->Hub; }
ConfigAgent &Node::config() { return this->Data->Config; }
MembershipAgent &Node::membership() { return this->Data->Members; }
RolloutService &Node::rollouts() { return this->Data->Rollouts; }
OperatorServer &Node::operators() { return this->Data->Operators; }
const NodeSettings &Node::settings() const { return this->Data->Settings; }
const Member &Node::self() const { return this->Data->Self; }
MemberViewPtr Node::members() const { return this->Data->view(); }
ConfigViewPtr Node::configView() const { return this->Data->Config.view(); }

void Node::onDrain(std::function<void(std::function<void()>)> Use) {
  this->Data->Drain = std::move(Use);
}

void Node::setLoads(LoadSource Use) { this->Data->Loads = std::move(Use); }

void Node::everySecond(std::function<void(TimePoint)> Use) {
  this->Data->Ticks.push_back(std::move(Use));
}

int Node::run() { return this->Data->run(); }

} // namespace citronlever
