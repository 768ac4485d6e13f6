#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/ExtraSendBudget.h"
#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <optional>
#include <string>

namespace citronlever {

/// Settings of a process that serves callers by a store's routes and registry.
struct EdgeSettings {
  std::string Name;
  std::string Domain;
  std::string Region;
  /// Callers' requests.
  Endpoint CallerEndpoint;
  /// Whether callers may be sent here.
  Endpoint ReadyEndpoint;
  /// Which addresses callers should use.
  Endpoint DirectoryEndpoint;
  /// Other members.
  Endpoint PeerEndpoint;
  Endpoint StoreEndpoint;
  /// Figures and state of this process, as text; not served if unset.
  std::optional<Endpoint> MetricsEndpoint;
  /// Processor power of this VM, in cores.
  double CapacityCores = 1;
  ExtraSendLimit ExtraSends;
  /// What a version that has not shown itself good may get.
  ExposureLimit Exposure;
  /// Time from a planned stop's signal until the process is killed.
  Duration StopTimeout = Seconds(6);
  /// For how long callers may use the directory's answer.
  Duration DirectoryTimeToLive = Seconds(1);
};

/// Reads the settings file. Every complaint is reported at once.
/// \throws SettingsError with field and reason.
EdgeSettings readEdgeSettings(const std::string &Path);

} // namespace citronlever
