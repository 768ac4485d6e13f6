#include "citronlever/src/Entry/VersionChoice.h"

#include "citronlever/src/Core/Hash.h"

namespace citronlever {

namespace {

/// Part of the hash space; 2^64 as a double.
constexpr double HashRange = 18446744073709551616.0;

bool takenByHash(const VersionShare &Share, std::string_view Query) {
  const std::uint64_t Seed = hashOf(Share.RolloutId);
  const double Place = static_cast<double>(hashOf(Query, Seed)) / HashRange;
  return Place < Share.Share;
}

VersionWish wishFor(const VersionShare &Share, std::string_view Query,
                    const VersionStandingLookup &Lookup, TimePoint Now) {
  const VersionStanding Standing =
      Lookup ? Lookup(Share.RolloutId, Now) : VersionStanding::Unproved;
  if (Standing == VersionStanding::Bad)
    return VersionWish::Old;
  if (takenByHash(Share, Query))
    return VersionWish::New;
  return Standing == VersionStanding::Suspected && Share.Share > 0
             ? VersionWish::Probe
             : VersionWish::Old;
}

} // namespace

VersionChoice chooseVersion(const ConfigView &Config, const Service &Target,
                            std::string_view Query, std::size_t Shards,
                            const VersionStandingLookup &Standing,
                            VersionBudget &Budget, TimePoint Now) {
  const auto Found = Config.RolloutShares.find(Target.Name);
  if (Found == Config.RolloutShares.end() ||
      Found->second.Version == Target.Version)
    return {Target.Version, {}};
  const VersionShare &Share = Found->second;
  const VersionWish Wish = wishFor(Share, Query, Standing, Now);
  VersionReservation Held =
      Budget.reserve(Target.Name, Share, Shards, Wish, Now);
  return {Held.New ? Share.Version : Target.Version, std::move(Held)};
}

} // namespace citronlever
