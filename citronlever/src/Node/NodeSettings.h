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
  /// Key of the authentication tags between members, and the key that it
  /// replaces; the latter is empty unless keys are being rotated.
  std::string Key;
  std::string PreviousKey;
  std::string OperatorToken;
  /// Address on which this process listens for other members, and the address
  /// that it advertises to them; equal unless the settings give both.
  Endpoint Peer;
  Endpoint AdvertisedPeer;
  /// Address for callers' requests; entries only.
  Endpoint Callers;
  Endpoint Operators;
  Endpoint Platform;
  /// Members to contact first, also when the platform does not answer.
  std::vector<Endpoint> Peers;
  int Threads = 2;
  /// How long callers may cache a discovery answer.
  Duration DiscoveryTtl = Seconds(5);
  Duration ProbePeriod = Milliseconds(500);
  Duration FailureTimeout = Seconds(2);
  /// Time limit for the decision on a configuration change.
  Duration ProposalTimeout = Seconds(10);
  /// Mechanisms that experiments can switch off, or tune.
  bool Hedging = true;
  bool UseStandBys = true;
  /// Whether request keys are recorded on the group's other brokers.
  bool UseRequestKeys = true;
  bool EnableSuspicion = true;
  /// Whether heartbeats detect silent connections between members.
  bool EnableHeartbeats = true;
  bool DetectPause = true;
  bool ClaimGroups = true;
  bool ConfigRepair = true;
  /// Whether a configuration is adopted only if its revision is above the
  /// current one.
  bool RequireRisingRevision = true;
  /// Minimum number of members of a group that has its own collector of
  /// configuration revisions.
  std::size_t MinConfigGroupMembers = 32;
};

/// Reads and checks settings.
/// \throws SettingsError with file, field and reason.
NodeSettings nodeSettingsFromJson(const boost::json::value &Value,
                                  const std::string &Where, Role Kind);

/// Reads and checks a settings file.
/// \throws SettingsError with file, field and reason.
NodeSettings readNodeSettings(const std::string &Path, Role Kind);

/// \returns the member description of a process with these settings.
Member memberFromSettings(const NodeSettings &Settings, Role Kind,
                          std::uint64_t Incarnation);

} // namespace citronlever
