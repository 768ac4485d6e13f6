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
/// Time in which a started broker learns of the other members.
constexpr Duration BrokerJoinQuiet = Milliseconds(500);

/// Passes what the platform says of leaving VMs on to the broker.
class LeavingVmRelay {
public:
  explicit LeavingVmRelay(BrokerServer &Target) : Target(Target) {}

  void told(ByteView Body, TimePoint Now) {
    const auto Message = decode<LeavingVms>(Body);
    const std::lock_guard Lock(this->Mutex);
    if (this->Book.add(Message, Now))
      this->Target.setLeavingVms(this->Book.names());
  }

  void expire(TimePoint Now) {
    const std::lock_guard Lock(this->Mutex);
    if (this->Book.expire(Now))
      this->Target.setLeavingVms(this->Book.names());
  }

private:
  BrokerServer &Target;
  std::mutex Mutex;
  LeavingVmTracker Book;
};

/// Passes the shares of returning failure domains and VMs on to the broker.
class ReturnShareRelay {
public:
  ReturnShareRelay(Node &Source, BrokerServer &Target)
      : Source(Source), Target(Target) {}

  void apply(TimePoint Now) {
    const std::lock_guard Lock(this->Mutex);
    const auto State = this->Source.config().state();
    ReturnShares Next = this->Ramp.shares(*State, Now);
    if (Next == this->Last)
      return;
    this->Last = Next;
    this->Target.setReturnShares(std::move(Next));
  }

private:
  Node &Source;
  BrokerServer &Target;
  std::mutex Mutex;
  ReturnShareCalculator Ramp;
  ReturnShares Last;
};

LeafCallSample sampleOf(const LeafCallReport &Call) {
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

int runSettings(const NodeSettings &Settings, Role Kind) {
  return Kind == Role::Entry ? runEntry(Settings) : runBroker(Settings);
}

} // namespace

int runEntry(const NodeSettings &Settings) {
  Node Common(Settings, Role::Entry);
  EntrySettings Own;
  Own.Callers = Settings.Callers;
  Own.Name = Common.self().Name;
  Own.Incarnation = Common.self().Incarnation;
  Own.DiscoveryTtl = Settings.DiscoveryTtl;
  Own.Policy.UseStandBys = Settings.StandBys;
  EntryServer Server(
      Common.context(), Common.hub(), [&] { return Common.configView(); },
      [&] { return Common.members(); }, Own);
  Server.setVersionHealthLookup(
      [&Agent = Common.rollouts().agent()](std::string_view Id, TimePoint Now) {
        if (Agent.marks().contains(Id))
          return VersionHealth::Bad;
        return Agent.isSuspected(Id, Now) ? VersionHealth::Suspected
                                          : VersionHealth::Unproven;
      });
  Common.operators().addDump("entry",
                             [&](TimePoint Now) { return Server.dump(Now); });
  Common.hub().handle(MessageType::LeavingVms,
                      [](const PeerLinkPtr &, ByteView) {});
  Common.onDrain(
      [&](std::function<void()> Done) { Server.drain(std::move(Done)); });
  Common.everySecond([&](TimePoint Now) {
    Server.setDiscoverable(Common.config().hasFreshConfig(Now));
  });
  Server.listen();
  return Common.run();
}

int runBroker(const NodeSettings &Settings) {
  Node Common(Settings, Role::Broker);
  BrokerSettings Own;
  Own.UseRequestKeys = Settings.RequestKeys;
  Own.ClaimGroups = Settings.ClaimGroups;
  Own.JoinDelay = BrokerJoinQuiet;
  Own.Scheduler.Hedging = Settings.Hedging;
  BrokerServer Server(
      Common.context(), Common.hub(), [&] { return Common.configView(); },
      [&] { return Common.members(); }, Common.self().Name, Own);
  LeavingVmRelay Relay(Server);
  ReturnShareRelay Ramp(Common, Server);
  Common.operators().addDump("broker",
                             [&](TimePoint Now) { return Server.dump(Now); });
  Common.operators().addWhy(
      "broker", [&](std::string_view Kind, std::string_view Name,
                    TimePoint Now) { return Server.explain(Kind, Name, Now); });
  Server.setLeafCallHook([&Agent = Common.rollouts().agent()](
                             const LeafCallReport &Call, TimePoint Now) {
    Agent.addCall(Call.Service, Call.Version, sampleOf(Call), Now);
  });
  Common.setLoads([&] { return Server.shardLoads(Clock::now()); });
  Common.hub().handle(MessageType::LeavingVms,
                      [&](const PeerLinkPtr &, ByteView Body) {
                        Relay.told(Body, Clock::now());
                      });
  Common.membership().onPause([&](Duration Gap) { Server.onPause(Gap); });
  Common.onDrain(
      [&](std::function<void()> Done) { Server.drain(std::move(Done)); });
  Common.config().addChangeHandler(
      [&](const ConfigViewPtr &) { Ramp.apply(Clock::now()); });
  Common.everySecond([&](TimePoint Now) {
    Relay.expire(Now);
    Ramp.apply(Now);
  });
  return Common.run();
}

int daemonMain(int Argc, char **Argv, Role Kind) {
  gflags::SetVersionString(CITRON_VERSION);
  gflags::SetUsageMessage(Kind == Role::Entry
                              ? "serves callers: --settings FILE"
                              : "sends to the leaves it owns: --settings FILE");
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
    return runSettings(Settings, Kind);
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitSettings;
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << '\n';
    return ExitFailure;
  }
}

} // namespace citronlever
