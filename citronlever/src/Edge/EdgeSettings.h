#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/ExtraSendBudget.h"
#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <optional>
#include <string>

namespace citronlever {

/// Settings of an EdgeNode.
struct EdgeSettings {
  /// Unique among the members.
  std::string Name;
  /// Failure domain of this process.
  std::string Domain;
  std::string Region;
  /// Listens for callers' requests.
  Endpoint CallerEndpoint;
  /// Listens for the platform's readiness checks.
  Endpoint ReadyEndpoint;
  /// Listens for callers that ask which addresses to use.
  Endpoint DirectoryEndpoint;
  /// Listens for other members: HTTP over TCP, and probes over UDP.
  Endpoint PeerEndpoint;
  /// Where the key-value store answers.
  Endpoint StoreEndpoint;
  /// Listens for requests of metrics and state; not served if unset.
  std::optional<Endpoint> MetricsEndpoint;
  /// Processor power of this VM, in cores.
  double CapacityCores = 1;
  /// Limit on sends beyond the first one of each request, for the whole fleet.
  ExtraSendLimit ExtraSends;
  /// Limit on requests to a version that has not been proved good.
  ExposureLimit Exposure;
  /// Time from the signal for a planned stop until the process is killed.
  Duration StopTimeout = Seconds(6);
  /// How long callers may cache the directory's answer.
  Duration DirectoryTimeToLive = Seconds(1);
};

/// Reads the settings file.
/// \throws SettingsError that lists every invalid field with its reason.
EdgeSettings readEdgeSettings(const std::string &Path);

} // namespace citronlever
