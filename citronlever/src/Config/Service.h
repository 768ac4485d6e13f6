#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// One upstream process, as listed in the service document.
struct Leaf {
  std::string Id;
  Endpoint Address;
  std::string Vm;
  std::string Domain;
  std::string Version;

  bool operator==(const Leaf &) const = default;
};

/// One type of request that a service answers.
struct Route {
  std::string Name;
  bool Idempotent = true;

  bool operator==(const Route &) const = default;
};

/// A consistent state of a service's index and the placement of its shards.
struct Snapshot {
  std::string Id;
  /// For each shard, the indices into Service::Leaves of its replicas.
  std::vector<std::vector<std::uint32_t>> Shards;

  bool operator==(const Snapshot &) const = default;
};

/// Capacity of each leaf of a service.
struct LeafLimits {
  /// Concurrent requests that a leaf can process.
  int Slots = 2;
  /// Connections that a leaf accepts.
  int Connections = 25;
  /// Concurrent requests that a cold leaf can process.
  int ColdSlots = 1;
  /// Time that a new connection to a leaf costs.
  Duration ConnectCost = Milliseconds(5);
  /// Factor by which a leaf may be slower than usual while it starts; 0 if the
  /// document does not state one.
  double ColdFactor = 0;

  bool operator==(const LeafLimits &) const = default;
};

/// A set of leaves that together answer one set of routes.
struct Service {
  std::string Name;
  std::vector<Route> Routes;
  std::vector<Leaf> Leaves;
  /// Newest first; queries may still ask for any of them.
  std::vector<Snapshot> Snapshots;
  /// The version that receives all traffic when no rollout is active.
  std::string Version;
  LeafLimits Limits;
  /// Number of consecutive shards that one broker owns as a group.
  std::uint32_t GroupShards = 8;
  /// Extra leaf calls allowed for hedges and retries, as a share of first
  /// attempts.
  double HedgeBudget = 0.05;

  bool operator==(const Service &) const = default;

  /// \returns the snapshot named \p Id, or null.
  const Snapshot *findSnapshot(std::string_view Id) const;
  /// \returns the route named \p Name, or null.
  const Route *findRoute(std::string_view Name) const;
  /// \returns the number of groups in a snapshot of \p Shards shards.
  std::uint32_t groupCount(std::size_t Shards) const {
    return static_cast<std::uint32_t>((Shards + this->GroupShards - 1) /
                                      this->GroupShards);
  }
};

/// Parses and validates a service document (see docs/API.md). \p Where names
/// the document in errors.
/// \throws SettingsError with document, field and reason.
Service serviceFromJson(const boost::json::value &Value,
                        const std::string &Where);

/// Writes the document that serviceFromJson() reads.
boost::json::value toJson(const Service &Value);

} // namespace citronlever
