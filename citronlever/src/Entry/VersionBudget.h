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

/// What a request would have of a version under rollout.
enum class VersionPreference : std::uint8_t {
  Old,
  New,
  /// The new version, to have it decided soon: within the budget and not more
  /// often than VersionBudget::ProbePeriod.
  Probe
};

/// What a request holds of its service's budget until it is over.
struct VersionReservation {
  /// Empty if no rollout was under way.
  std::string RolloutId;
  bool New = false;
  /// Leaf calls reserved for the new version.
  std::uint64_t Calls = 0;
};

/// Bounds the leaf calls of a version under rollout: at no moment more than
/// the rollout's share of all leaf calls that this process has caused since it
/// learnt of the rollout. The bound holds for each entry, and so for their sum.
/// Safe to call from several threads.
class VersionBudget {
public:
  /// Leaf calls that a request may cause for one shard, hedges and retries
  /// included; reserved when it starts and settled when it is over.
  static constexpr std::uint64_t MaxCallsPerShard = 3;
  /// Leaf calls for one shard that must be left when an entry's first request
  /// goes to the new version, unless it is a probe or HeadroomPeriod has
  /// passed. If that request shows that the version is bad, this entry and most
  /// others have room for the probes that prove it.
  static constexpr std::uint64_t HeadroomCallsPerShard = 4;
  static constexpr Duration HeadroomPeriod = Seconds(10);
  /// Longer than an interval of evidence (RolloutAgent::Interval), so that each
  /// probe counts by itself.
  static constexpr Duration ProbePeriod = Milliseconds(220);

  /// Takes a request over \p Shards shards into the books.
  /// \returns what it holds; New only if it was wished for and there is room.
  VersionReservation reserve(std::string_view Service,
                             const VersionShare &Share, std::size_t Shards,
                             VersionPreference Preference, TimePoint Now);

  /// A request is over after \p LeafCalls leaf calls.
  void settle(std::string_view Service, const VersionReservation &Reservation,
              std::uint64_t LeafCalls);

private:
  struct RolloutUsage {
    std::string RolloutId;
    TimePoint StartedAt{};
    std::uint64_t OldCalls = 0;
    std::uint64_t NewCalls = 0;
    std::uint64_t ReservedCalls = 0;
    /// When a request last went to the new version.
    std::optional<TimePoint> LastNewAt;
  };

  static bool hasRoom(const RolloutUsage &Usage, double Share,
                      std::uint64_t Calls);

  std::mutex Mutex;
  std::map<std::string, RolloutUsage, std::less<>> UsageByService;
};

} // namespace citronlever
