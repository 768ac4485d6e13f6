#include "citronlever/src/Entry/VersionChoice.h"

#include "citronlever/src/Core/Hash.h"

namespace citronlever {

namespace {

/// Size of the 64-bit hash space, 2^64, as a double.
constexpr double HashRange = 18446744073709551616.0;

/// \returns whether the hash of the query, seeded by the rollout, falls within
/// the share of the new version.
bool isSelectedByHash(const VersionShare &Share, std::string_view Query) {
  const std::uint64_t Seed = hashOf(Share.RolloutId);
  const double Position = static_cast<double>(hashOf(Query, Seed)) / HashRange;
  return Position < Share.Share;
}

VersionPreference preferenceFor(const VersionShare &Share,
                                std::string_view Query,
                                const VersionHealthLookup &HealthLookup,
                                TimePoint Now) {
  const VersionHealth Health = HealthLookup ? HealthLookup(Share.RolloutId, Now)
                                            : VersionHealth::Unproven;
  if (Health == VersionHealth::Bad)
    return VersionPreference::Old;
  if (isSelectedByHash(Share, Query))
    return VersionPreference::New;
  return Health == VersionHealth::Suspected && Share.Share > 0
             ? VersionPreference::Probe
             : VersionPreference::Old;
}

} // namespace

VersionChoice chooseVersion(const ConfigView &Config,
                            const Service &ServiceConfig,
                            std::string_view Query, std::size_t Shards,
                            const VersionHealthLookup &HealthLookup,
                            VersionBudget &Budget, TimePoint Now) {
  const auto Found = Config.RolloutShares.find(ServiceConfig.Name);
  if (Found == Config.RolloutShares.end() ||
      Found->second.Version == ServiceConfig.Version)
    return {ServiceConfig.Version, {}};
  const VersionShare &Share = Found->second;
  const VersionPreference Preference =
      preferenceFor(Share, Query, HealthLookup, Now);
  VersionReservation Reservation =
      Budget.reserve(ServiceConfig.Name, Share, Shards, Preference, Now);
  return {Reservation.New ? Share.Version : ServiceConfig.Version,
          std::move(Reservation)};
}

} // namespace citronlever
