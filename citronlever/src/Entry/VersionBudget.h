#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace citronlever {

/// Version that a request should go to while a rollout is active.
enum class VersionPreference : std::uint8_t {
  Old,
  New,
  /// The new version, to reach a decision about it sooner: within the budget,
  /// and at most once in VersionBudget::ProbePeriod.
  Probe
};

/// Leaf calls reserved for one request until it is settled.
struct VersionReservation {
  /// Empty if no rollout was active.
  std::string RolloutId;
  bool New = false;
  /// Leaf calls reserved for the new version.
  std::uint64_t Calls = 0;
};

/// Limits the leaf calls to a version under rollout: at any time at most the
/// rollout's share of all leaf calls caused by this process since it learnt of
/// the rollout. The limit holds for each entry, hence also for their sum.
/// Thread-safe.
class VersionBudget {
public:
  /// Most leaf calls that a request may cause for one shard, including hedges
  /// and retries. Reserved at its start.
  static constexpr std::uint64_t MaxCallsPerShard = 3;
  /// Leaf calls for each shard that must remain in the budget when an entry's
  /// first request goes to the new version, unless that request is a probe or
  /// HeadroomPeriod has passed. If it shows a bad version, this entry and most
  /// others still have budget for the probes that confirm it.
  static constexpr std::uint64_t HeadroomCallsPerShard = 4;
  static constexpr Duration HeadroomPeriod = Seconds(10);
  /// Longer than an evidence interval (RolloutAgent::Interval), so that each
  /// probe falls in an interval of its own.
  static constexpr Duration ProbePeriod = Milliseconds(220);

  /// Reserves leaf calls for a request to \p Shards shards.
  /// \returns the reservation. It is for the new version only if \p Preference
  /// asks for it and the budget allows it.
  VersionReservation reserve(std::string_view Service,
                             const VersionShare &Share, std::size_t Shards,
                             VersionPreference Preference, TimePoint Now);

  /// Ends a reservation of a request that caused \p LeafCalls leaf calls.
  void settle(std::string_view Service, const VersionReservation &Reservation,
              std::uint64_t LeafCalls);

private:
  /// Leaf calls of one service since its current rollout was learnt of.
  struct RolloutUsage {
    std::string RolloutId;
    TimePoint StartedAt{};
    std::uint64_t OldCalls = 0;
    std::uint64_t NewCalls = 0;
    std::uint64_t ReservedCalls = 0;
    /// When a request was last sent to the new version.
    std::optional<TimePoint> LastNewAt;
  };

  /// \returns whether \p Calls more calls keep the new version within \p Share.
  static bool hasRoom(const RolloutUsage &Usage, double Share,
                      std::uint64_t Calls);

  std::mutex Mutex;
  std::map<std::string, RolloutUsage, std::less<>> UsageByService;
};

} // namespace citronlever
