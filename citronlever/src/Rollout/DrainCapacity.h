#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// A leaf's measured load, from its one sender.
struct LeafLoad {
  std::string Leaf;
  std::string Vm;
  std::string Domain;
  /// Mean requests in work over the last seconds.
  double MeanInFlight = 0;
  /// Requests at once that the leaf bears now; 0 if it is out or dead.
  double Capacity = 0;
  /// Requests in work at this moment.
  std::uint64_t InFlight = 0;
};

/// The leaves that hold one shard.
struct ShardLoad {
  std::string Service;
  std::uint32_t Shard = 0;
  std::vector<LeafLoad> Replicas;
};

/// A failure domain or a VM that is to leave.
struct DrainTarget {
  enum class Kind : std::uint8_t { Domain, Vm };
  Kind TargetKind = Kind::Domain;
  std::string Name;

  bool operator==(const DrainTarget &) const = default;

  bool contains(const LeafLoad &Leaf) const {
    return this->Name ==
           (this->TargetKind == Kind::Domain ? Leaf.Domain : Leaf.Vm);
  }
};

/// Part of what the remaining leaves bear that may be in use after a move.
inline constexpr double MaxUtilizationAfterDrain = 0.85;

/// Decides whether the rest can carry the load once \p Target is out, shard
/// by shard, since only a shard's own replicas can stand in for each other.
/// \returns the reason why not, or nothing if it can.
std::optional<std::string>
findCapacityShortage(std::span<const ShardLoad> Shards,
                     const DrainTarget &Target,
                     double MaxUtilization = MaxUtilizationAfterDrain);

} // namespace citronlever
