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
/// Delay between the end of draining and the end of the process, in which the
/// last replies are sent.
constexpr Duration StopLinger = Milliseconds(300);

/// Blocks SIGTERM and SIGINT for the rest of the process's life: once the
/// signal set is destroyed, a repeated stop signal would kill the process
/// during its cleanup.
void blockStopSignals() {
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
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
  Result.MinGroupSize = Settings.MinConfigGroupMembers;
  Result.Policy = Settings.RequireRisingRevision ? RevisionPolicy::MonotonicOnly
                                                 : RevisionPolicy::AcceptAny;
  return Result;
}

PeerSettings peerSettings(const NodeSettings &Settings) {
  constexpr Duration Never = std::chrono::hours(24);
  PeerSettings Result;
  if (!Settings.EnableHeartbeats) {
    Result.Heartbeat = Never;
    Result.IdleHeartbeat = Never;
  }
  return Result;
}

MembershipSettings membershipSettings(const NodeSettings &Settings) {
  MembershipSettings Result;
  Result.ProbePeriod = Settings.ProbePeriod;
  Result.FailureTimeout = Settings.FailureTimeout;
  Result.EnableSuspicion = Settings.EnableSuspicion;
  Result.DetectPause = Settings.DetectPause;
  if (Settings.AdvertisedPeer != Settings.Peer)
    Result.Listen = Settings.Peer;
  return Result;
}

/// \returns a copy of \p View that lacks the member \p Name.
MemberViewPtr withoutMember(const MemberViewPtr &View, std::string_view Name) {
  auto Result = std::make_shared<MemberView>(*View);
  std::erase_if(Result->Members, [Name](const Member &Candidate) {
    return Candidate.Name == Name;
  });
  Result->Digest = 0;
  return Result;
}

std::vector<ConfigPeer> configPeers(const MemberView &View,
                                    std::string_view Self) {
  std::vector<ConfigPeer> Result;
  for (const Member &Peer : View.Members)
    if (Peer.Name != Self)
      Result.push_back(
          {Peer.Name, Peer.Vm, Peer.Domain, Peer.Peer, Peer.Incarnation});
  return Result;
}

} // namespace

class Node::State : public std::enable_shared_from_this<Node::State> {
public:
  State(NodeSettings LoadedSettings, Role Kind)
      : Settings(std::move(LoadedSettings)),
        Self(memberFromSettings(this->Settings, Kind, makeIncarnation())),
        Context(this->Settings.Threads),
        Auth(std::make_shared<Authenticator>(this->Settings.Deployment,
                                             this->Settings.Key,
                                             this->Settings.PreviousKey)),
        Hub(this->Context, this->Self.Name, this->Self.Incarnation,
            peerSettings(this->Settings), this->Auth),
        Store(this->Context, this->Settings.Platform),
        Members(this->Context, this->Self, membershipSettings(this->Settings),
                this->Auth, this->Settings.Peers),
        Config(this->Context, this->Store, this->Hub,
               configSettings(this->Settings, this->Self)),
        Operators(this->Context, this->Settings.OperatorToken, this->Config,
                  [this] { return this->Members.view(); }),
        Ports(makeRolloutPorts(this->Config,
                               [this] { return this->currentMembers(); })),
        Rollouts(this->Context, this->Hub, this->Store, this->Ports,
                 this->makeLoadSource(),
                 {this->Settings.Deployment, this->Self.Name, this->Self.Domain,
                  this->Self.Incarnation}),
        Commands(this->Rollouts, this->Ports),
        Signals(this->Context, SIGTERM, SIGINT), TickTimer(this->Context),
        LingerTimer(this->Context) {}

  int run();
  MemberViewPtr currentMembers() const;
  void registerReports();
  void start();
  void onStopSignal();
  void drainServer();
  void finishStop();
  void armTick();
  void tick(TimePoint Now);
  void readVms();
  void notifyLeavingVms(const LeavingVmTracker::Names &LeavingNames);
  LoadSource makeLoadSource();

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
  LoadSource ShardLoads;
  RolloutService Rollouts;
  RolloutCommands Commands;
  asio::signal_set Signals;
  asio::steady_timer TickTimer;
  asio::steady_timer LingerTimer;
  std::vector<std::function<void(TimePoint)>> TickTasks;
  std::function<void(std::function<void()>)> DrainHandler;
  std::atomic<bool> Leaving{false};
  bool VmListRead = false;
};

MemberViewPtr Node::State::currentMembers() const {
  MemberViewPtr View = this->Members.view();
  if (this->Members.isCurrent(Clock::now()))
    return View;
  return withoutMember(View, this->Self.Name);
}

void Node::State::registerReports() {
  this->Operators.addDumpSource("process", [this](TimePoint) {
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
  this->Operators.addDumpSource(
      "members", [this](TimePoint Now) { return this->Members.dump(Now); });
  this->Operators.addDumpSource(
      "config", [this](TimePoint Now) { return this->Config.dump(Now); });
  this->Operators.addDumpSource(
      "rollouts", [this](TimePoint Now) { return this->Rollouts.dump(Now); });
  this->Operators.addDumpSource(
      "moves", [this](TimePoint Now) { return this->Commands.listMoves(Now); });
  this->Operators.addExplainer(
      "fleet", [this](std::string_view Kind, std::string_view Name, TimePoint) {
        return explainRouting(Kind, Name, this->Config.view(),
                              this->currentMembers(),
                              this->Rollouts.agent().marks());
      });
}

/// \returns null for an entry, which owns no shards. A broker sets its source
/// after this object is constructed, so it is looked up at each call.
LoadSource Node::State::makeLoadSource() {
  if (this->Self.Kind == Role::Entry)
    return nullptr;
  return [this] {
    return this->ShardLoads ? this->ShardLoads() : std::vector<ShardLoad>();
  };
}

void Node::State::start() {
  this->registerReports();
  this->Operators.setCommands(&this->Commands);
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
          this->onStopSignal();
      });
  logEvent(event::ProcessStarted, this->Self.Name, this->Self.Incarnation,
           toString(this->Settings.Peer));
}

void Node::State::onStopSignal() {
  logEvent(event::ProcessStopping, this->Self.Name);
  this->Leaving = true;
  this->Members.leave([this] { this->drainServer(); });
}

void Node::State::drainServer() {
  if (!this->DrainHandler)
    return this->finishStop();
  this->DrainHandler(
      [this] { asio::post(this->Context, [this] { this->finishStop(); }); });
}

void Node::State::finishStop() {
  this->LingerTimer.expires_after(StopLinger);
  this->LingerTimer.async_wait([this](const boost::system::error_code &) {
    logEvent(event::ProcessStopped, this->Self.Name);
    this->Context.stop();
  });
}

void Node::State::armTick() {
  this->TickTimer.expires_after(TickPeriod);
  this->TickTimer.async_wait([this](const boost::system::error_code &Failure) {
    if (Failure)
      return;
    this->tick(Clock::now());
    this->armTick();
  });
}

void Node::State::tick(TimePoint Now) {
  const MemberViewPtr View = this->Members.view();
  const bool IsOnlyMember = View->Members.size() <= 1;
  if (!this->VmListRead || IsOnlyMember || readsVmList(*View, this->Self))
    this->readVms();
  for (const auto &Task : this->TickTasks)
    Task(Now);
}

void Node::State::readVms() {
  this->Store.vms([this](const PlatformVms &Result) {
    if (Result.Status != PlatformStatus::Done)
      return;
    this->VmListRead = true;
    LeavingVmTracker::Names LeavingNames;
    std::vector<Endpoint> Seeds;
    for (const PlatformVm &Vm : Result.Vms) {
      Seeds.insert(Seeds.end(), Vm.Peers.begin(), Vm.Peers.end());
      if (Vm.Leaving)
        LeavingNames.insert(Vm.Name);
    }
    this->Members.addSeeds(Seeds);
    this->notifyLeavingVms(LeavingNames);
  });
}

void Node::State::notifyLeavingVms(
    const LeavingVmTracker::Names &LeavingNames) {
  if (LeavingNames.empty())
    return;
  const ConfigViewPtr View = this->Config.view();
  const Ownership Owners(this->Members.view(), View);
  for (const LeavingVmsNotice &Notice :
       leavingVmsNotices(LeavingNames, *View, Owners))
    this->Hub.withLink(Notice.To,
                       [Message = Notice.Message](const PeerLinkPtr &Link) {
                         if (Link)
                           Link->send(MessageType::LeavingVms, encode(Message));
                       });
}

int Node::State::run() {
  this->start();
  const auto Work = asio::make_work_guard(this->Context);
  std::vector<std::thread> Threads;
  for (int I = 1; I < this->Settings.Threads; ++I)
    Threads.emplace_back([this] { runEventLoop(this->Context); });
  runEventLoop(this->Context);
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
MemberViewPtr Node::members() const { return this->Data->currentMembers(); }
ConfigViewPtr Node::configView() const { return this->Data->Config.view(); }

void Node::setDrainHandler(std::function<void(std::function<void()>)> Handler) {
  this->Data->DrainHandler = std::move(Handler);
}

void Node::setShardLoadSource(LoadSource Source) {
  this->Data->ShardLoads = std::move(Source);
}

void Node::runEverySecond(std::function<void(TimePoint)> Task) {
  this->Data->TickTasks.push_back(std::move(Task));
}

int Node::run() { return this->Data->run(); }

} // namespace citronlever
