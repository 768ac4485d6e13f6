#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Load of one leaf, measured by the only process that sends requests to it.
struct LeafLoad {
  std::string Leaf;
  std::string Vm;
  std::string Domain;
  /// Mean number of requests in flight over the last seconds.
  double MeanInFlight = 0;
  /// Current concurrency limit of the leaf; 0 if it is out of service or
  /// failed.
  double Capacity = 0;
  /// Number of requests in flight now.
  std::uint64_t InFlight = 0;
};

/// The leaves that hold one shard.
struct ShardLoad {
  std::string Service;
  std::uint32_t Shard = 0;
  std::vector<LeafLoad> Replicas;
};

/// A failure domain or VM to be taken out of service.
struct DrainTarget {
  enum class Kind : std::uint8_t { Domain, Vm };
  Kind TargetKind = Kind::Domain;
  std::string Name;

  bool operator==(const DrainTarget &) const = default;

  /// \returns whether the leaf runs in this failure domain or on this VM.
  bool contains(const LeafLoad &Leaf) const {
    return this->Name ==
           (this->TargetKind == Kind::Domain ? Leaf.Domain : Leaf.Vm);
  }
};

/// Largest utilization of the remaining leaves that is accepted after a drain.
inline constexpr double MaxUtilizationAfterDrain = 0.85;

/// Checks whether the remaining replicas can carry the load once \p Target is
/// out of service. Each shard is checked on its own, because only its own
/// replicas can take over its requests.
/// \returns a reason for the operator if a shard lacks capacity; nothing
/// otherwise.
std::optional<std::string>
findCapacityShortage(std::span<const ShardLoad> Shards,
                     const DrainTarget &Target,
                     double MaxUtilization = MaxUtilizationAfterDrain);

} // namespace citronlever
