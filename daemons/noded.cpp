#include "citronlever/Core"
#include "citronlever/Edge"
#include "citronlever/src/Core/EventLoop.h"
#include "citronlever/src/Core/LogWriter.h"
#include "platform/DiscoveryHandlers.h"
#include "platform/HttpKeyStore.h"
#include "platform/PlatformDocuments.h"
#include "platform/SettingsPath.h"
#include "platform/WireNames.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_string(settings, "",
              "JSON file with the settings of this process; if empty, the file "
              "that the platform names");
DEFINE_bool(check, false, "validate the settings file and exit");

namespace citronlever {

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitSettings = 2;

std::string settingsFilePath() {
  return FLAGS_settings.empty() ? platform::settingsPath() : FLAGS_settings;
}

/// Holds SIGHUP back, for this thread and those that it starts, or lets it
/// through. Without a handler it would end the process.
void setReloadSignalBlocked(bool Blocked) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(Blocked ? SIG_BLOCK : SIG_UNBLOCK, &Signals, nullptr);
}

/// Lets SIGHUP through while it exists.
class ReloadSignalScope {
public:
  ReloadSignalScope() { setReloadSignalBlocked(false); }
  ~ReloadSignalScope() { setReloadSignalBlocked(true); }
  ReloadSignalScope(const ReloadSignalScope &) = delete;
  ReloadSignalScope &operator=(const ReloadSignalScope &) = delete;
};

/// Logs each SIGHUP; settings are read only at the start.
void watchReloadSignal(boost::asio::signal_set &Signals,
                       const EdgeSettings &Settings) {
  Signals.async_wait([&](auto Failure, int) {
    if (Failure)
      return;
    logEvent(event::SettingsReloadRequested, Settings.Name,
             "settings are read only at the start; restart to apply changes");
    watchReloadSignal(Signals, Settings);
  });
}

void serve(const EdgeSettings &Settings) {
  boost::asio::io_context Context(1);
  platform::HttpKeyStore Store(Context, Settings.StoreEndpoint);
  const platform::PlatformDocuments Documents;
  EdgeNode Node(Context, Settings, Store, Documents, platform::WireHeaders);
  HttpServer Ready(Context, {}, platform::readyHandler(Node));
  HttpServer Directory(Context, {}, platform::directoryHandler(Node));
  HttpServer Metrics(Context, {}, metricsHandler(Node));
  boost::asio::signal_set Stop(Context, SIGTERM, SIGINT);
  Stop.async_wait([&](auto Failure, int) {
    if (!Failure)
      Node.stop([&] { Context.stop(); });
  });
  boost::asio::signal_set Reload(Context, SIGHUP);
  watchReloadSignal(Reload, Settings);
  // Destroyed before the signal sets, with which the handlers end.
  const ReloadSignalScope Handled;
  Ready.listen(Settings.ReadyEndpoint);
  Directory.listen(Settings.DirectoryEndpoint);
  if (Settings.MetricsEndpoint)
    Metrics.listen(*Settings.MetricsEndpoint);
  Node.start();
  runEventLoop(Context);
}

int run() {
  EdgeSettings Settings;
  try {
    Settings = readEdgeSettings(settingsFilePath());
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.what() << std::endl;
    return ExitSettings;
  }
  if (FLAGS_check)
    return EXIT_SUCCESS;
  LogWriter Log(Settings.Name);
  setEventSink([&Log](const EventKind &Kind, std::string_view Details) {
    Log.write(Kind, Details, Clock::now());
  });
  int Status = EXIT_SUCCESS;
  try {
    serve(Settings);
  } catch (const std::exception &Failure) {
    logEvent(event::ProcessFailed, Failure.what());
    Status = ExitFailure;
  }
  setEventSink({});
  return Status;
}

} // namespace

} // namespace citronlever

/// Runs an EdgeNode on the users' platform: one process on each VM.
int main(int Argc, char **Argv) {
  citronlever::setReloadSignalBlocked(true);
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage("--settings FILE");
  gflags::SetVersionString(CITRON_VERSION);
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return citronlever::run();
}
