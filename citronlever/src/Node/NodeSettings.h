#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"

#include <boost/json/fwd.hpp>

#include <string>
#include <vector>

namespace citronlever {

/// Settings of one process, read from its JSON file (see docs/API.md).
struct NodeSettings {
  std::string Deployment;
  std::string Vm;
  std::string Domain;
  /// Key of the authentication tags, and the one it replaces.
  std::string Key;
  std::string PreviousKey;
  std::string OperatorToken;
  /// Where this process listens for members, and the address that it tells
  /// them, if that is another one.
  Endpoint Peer;
  Endpoint AdvertisedPeer;
  /// Entries only.
  Endpoint Callers;
  Endpoint Operators;
  Endpoint Platform;
  /// Members asked when the platform does not answer.
  std::vector<Endpoint> Peers;
  int Threads = 2;
  /// How long callers may keep an answer of discovery.
  Duration DiscoveryTtl = Seconds(5);
  Duration ProbePeriod = Milliseconds(500);
  Duration FailureTimeout = Seconds(2);
  /// Time for a configuration change to be accepted, or refused.
  Duration ProposalTimeout = Seconds(10);
  /// Mechanisms that an experiment may switch off.
  bool Hedging = true;
  bool UseStandBys = true;
  /// Request keys are noted on the group's other brokers.
  bool UseRequestKeys = true;
  bool EnableSuspicion = true;
  /// Links between members are watched for silence.
  bool EnableHeartbeats = true;
  bool DetectPause = true;
  bool ClaimGroups = true;
  bool ConfigRepair = true;
  /// Whether only configuration above the present one is taken over.
  bool RequireRisingRevision = true;
  /// Least members of a group that has a collector of revisions of its own.
  std::size_t MinConfigGroupMembers = 32;
};

/// Reads and checks settings.
/// \throws SettingsError with file, field and reason.
NodeSettings nodeSettingsFromJson(const boost::json::value &Value,
                                  const std::string &Where, Role Kind);

/// Reads and checks a settings file.
/// \throws SettingsError with file, field and reason.
NodeSettings readNodeSettings(const std::string &Path, Role Kind);

/// \returns the member that a process with these settings is.
Member memberFromSettings(const NodeSettings &Settings, Role Kind,
                          std::uint64_t Incarnation);

} // namespace citronlever
