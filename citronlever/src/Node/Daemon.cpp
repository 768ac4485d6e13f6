#include "citronlever/src/Node/Daemon.h"

#include "citronlever/Broker"
#include "citronlever/Config"
#include "citronlever/Core"
#include "citronlever/Entry"
#include "citronlever/Membership"
#include "citronlever/Operator"
#include "citronlever/Rollout"
#include "citronlever/Wire"
#include "citronlever/src/Node/LeavingVms.h"
#include "citronlever/src/Node/Node.h"
#include "citronlever/src/Node/ReturnShareCalculator.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <csignal>
#include <iostream>
#include <mutex>

DEFINE_string(settings, "", "JSON file with the settings of this process");
DEFINE_bool(check_settings, false, "check the settings file and exit");

namespace citronlever {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitSettings = 2;
/// Time for a newly started broker to discover the other members before it
/// serves a group.
constexpr Duration BrokerJoinDelay = Milliseconds(500);

/// Applies notices about leaving VMs to the broker. Thread-safe.
class LeavingVmRelay {
public:
  explicit LeavingVmRelay(BrokerServer &Broker) : Broker(Broker) {}

  void onNotice(ByteView Body, TimePoint Now) {
    const auto Message = decode<LeavingVms>(Body);
    const std::lock_guard Lock(this->Mutex);
    if (this->Tracker.add(Message, Now))
      this->Broker.setLeavingVms(this->Tracker.names());
  }

  void expire(TimePoint Now) {
    const std::lock_guard Lock(this->Mutex);
    if (this->Tracker.expire(Now))
      this->Broker.setLeavingVms(this->Tracker.names());
  }

private:
  BrokerServer &Broker;
  std::mutex Mutex;
  LeavingVmTracker Tracker;
};

/// Applies the load shares of returning failure domains and VMs to the broker
/// whenever they change. Thread-safe.
class ReturnShareRelay {
public:
  ReturnShareRelay(Node &Process, BrokerServer &Broker)
      : Process(Process), Broker(Broker) {}

  void apply(TimePoint Now) {
    const std::lock_guard Lock(this->Mutex);
    const auto State = this->Process.config().state();
    ReturnShares Shares = this->Calculator.shares(*State, Now);
    if (Shares == this->LastShares)
      return;
    this->LastShares = Shares;
    this->Broker.setReturnShares(std::move(Shares));
  }

private:
  Node &Process;
  BrokerServer &Broker;
  std::mutex Mutex;
  ReturnShareCalculator Calculator;
  ReturnShares LastShares;
};

LeafCallSample makeSample(const LeafCallReport &Call) {
  LeafCallSample Result;
  Result.Route = Call.Route;
  Result.Leaf = Call.Leaf;
  Result.Failed = Call.Failed;
  Result.Stage = Call.Stage;
  Result.StartEvent = Call.Sign;
  Result.LatencyMs =
      std::chrono::duration<double, std::milli>(Call.Latency).count();
  return Result;
}

int runProcess(const NodeSettings &Settings, Role Kind) {
  return Kind == Role::Entry ? runEntry(Settings) : runBroker(Settings);
}

} // namespace

int runEntry(const NodeSettings &Settings) {
  Node Process(Settings, Role::Entry);
  EntrySettings ServerSettings;
  ServerSettings.Callers = Settings.Callers;
  ServerSettings.Name = Process.self().Name;
  ServerSettings.Incarnation = Process.self().Incarnation;
  ServerSettings.DiscoveryTtl = Settings.DiscoveryTtl;
  ServerSettings.Policy.UseStandBys = Settings.UseStandBys;
  EntryServer Server(
      Process.context(), Process.hub(), [&] { return Process.configView(); },
      [&] { return Process.members(); }, ServerSettings);
  Server.setVersionHealthLookup([&Agent = Process.rollouts().agent()](
                                    std::string_view Id, TimePoint Now) {
    if (Agent.marks().contains(Id))
      return VersionHealth::Bad;
    return Agent.isSuspected(Id, Now) ? VersionHealth::Suspected
                                      : VersionHealth::Unproven;
  });
  Process.operators().addDumpSource(
      "entry", [&](TimePoint Now) { return Server.dump(Now); });
  Process.hub().handle(MessageType::LeavingVms,
                       [](const PeerLinkPtr &, ByteView) {});
  Process.setDrainHandler(
      [&](std::function<void()> Done) { Server.drain(std::move(Done)); });
  Process.runEverySecond([&](TimePoint Now) {
    Server.setDiscoverable(Process.config().hasFreshConfig(Now));
  });
  Server.listen();
  return Process.run();
}

int runBroker(const NodeSettings &Settings) {
  Node Process(Settings, Role::Broker);
  BrokerSettings ServerSettings;
  ServerSettings.UseRequestKeys = Settings.UseRequestKeys;
  ServerSettings.ClaimGroups = Settings.ClaimGroups;
  ServerSettings.JoinDelay = BrokerJoinDelay;
  ServerSettings.Scheduler.Hedging = Settings.Hedging;
  BrokerServer Server(
      Process.context(), Process.hub(), [&] { return Process.configView(); },
      [&] { return Process.members(); }, Process.self().Name, ServerSettings);
  LeavingVmRelay LeavingRelay(Server);
  ReturnShareRelay ReturnRelay(Process, Server);
  Process.operators().addDumpSource(
      "broker", [&](TimePoint Now) { return Server.dump(Now); });
  Process.operators().addExplainer(
      "broker", [&](std::string_view Kind, std::string_view Name,
                    TimePoint Now) { return Server.explain(Kind, Name, Now); });
  Server.setLeafCallHook([&Agent = Process.rollouts().agent()](
                             const LeafCallReport &Call, TimePoint Now) {
    Agent.addCall(Call.Service, Call.Version, makeSample(Call), Now);
  });
  Process.setShardLoadSource([&] { return Server.shardLoads(Clock::now()); });
  Process.hub().handle(MessageType::LeavingVms,
                       [&](const PeerLinkPtr &, ByteView Body) {
                         LeavingRelay.onNotice(Body, Clock::now());
                       });
  Process.membership().onPause([&](Duration Gap) { Server.onPause(Gap); });
  Process.setDrainHandler(
      [&](std::function<void()> Done) { Server.drain(std::move(Done)); });
  Process.config().addChangeHandler(
      [&](const ConfigViewPtr &) { ReturnRelay.apply(Clock::now()); });
  Process.runEverySecond([&](TimePoint Now) {
    LeavingRelay.expire(Now);
    ReturnRelay.apply(Now);
  });
  return Process.run();
}

int daemonMain(int Argc, char **Argv, Role Kind) {
  gflags::SetVersionString(CITRON_VERSION);
  gflags::SetUsageMessage(
      Kind == Role::Entry
          ? "serves callers' requests: --settings FILE"
          : "sends requests to the leaves that it owns: --settings FILE");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(Argv[0]);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const NodeSettings Settings = readNodeSettings(FLAGS_settings, Kind);
    if (FLAGS_check_settings) {
      std::cout << FLAGS_settings << ": good\n";
      return 0;
    }
    return runProcess(Settings, Kind);
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitSettings;
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitFailure;
  }
}

} // namespace citronlever
