#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace citronlever::standin {

/// How one version of a leaf's program behaves.
struct VersionBehaviour {
  /// Share of requests that fail with 500, before they have any effect.
  double FailShare = 0;
  double SlowFactor = 1;
  /// Time from the change to this version until the behaviour starts.
  Duration After{};
  /// Only while all slots are in use, this request included.
  bool UnderLoad = false;
  /// Only on this route; "" for every route.
  std::string Route;
};

/// A wrong reply, for the checks of late and crossed replies.
enum class ReplyFault : std::uint8_t {
  None,
  WrongId,
  WrongSnapshot,
  Truncated,
  Doubled,
  Late
};

/// Settings of a leaf that control requests change while it runs.
struct LeafBehaviour {
  int Slots = 2;
  int Connections = 25;
  /// Requests that wait for a slot; one more is shed.
  int QueueLimit = 8;
  Duration ConnectCost = Milliseconds(5);

  /// Mean service time, drawn from an exponential distribution if so set.
  double ServiceMs = 5;
  bool Exponential = false;
  double StragglerShare = 0;
  double StragglerFactor = 20;
  double SlowFactor = 1;
  double FailShare = 0;
  /// Share of requests that never end while it is in force.
  double StallShare = 0;

  int ColdSlots = 1;
  /// A cold leaf warms up once this time has passed and this many requests
  /// have been served.
  Duration MinColdTime = Seconds(2);
  int MinColdRequests = 20;
  double ColdSlowFactor = 3;
  /// After an overload while cold everything fails for this long.
  Duration OverloadFailureTime = Milliseconds(500);

  bool Draining = false;
  bool IgnoreCancel = false;
  bool IgnoreDeadline = false;
  /// Age of the state that the health endpoint reports.
  Duration HealthLag{};
  /// State that the health endpoint reports; "" for the actual state.
  std::string ReportedHealth;

  ReplyFault Fault = ReplyFault::None;
  double ReplyFaultShare = 0;
  Duration ReplyFaultDelay = Milliseconds(500);

  std::string Version = "v1";
  std::map<std::string, VersionBehaviour, std::less<>> Versions;
  /// Snapshots held, each with the shards held of it.
  std::map<std::string, std::set<std::uint32_t>, std::less<>> Snapshots;
  /// Journal every request, not only those with an effect.
  bool JournalRequests = false;

  /// Changes the fields named in \p Fields.
  /// \throws std::exception on an unknown field or a wrong type.
  void apply(const boost::json::object &Fields);
};

} // namespace citronlever::standin
