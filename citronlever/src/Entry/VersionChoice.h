#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Entry/VersionBudget.h"

#include <functional>
#include <string>
#include <string_view>

namespace citronlever {

/// Health of a version under rollout, as far as known.
enum class VersionHealth : std::uint8_t {
  Unproven,
  /// Suspected to be bad; more calls should decide soon.
  Suspected,
  Bad
};

/// Returns the health of the version of the rollout \p RolloutId.
using VersionHealthLookup =
    std::function<VersionHealth(std::string_view RolloutId, TimePoint Now)>;

/// Version that a request goes to, and its reservation in the budget.
struct VersionChoice {
  std::string Version;
  VersionReservation Reservation;
};

/// Selects the version of \p ServiceConfig for a request. The hash of \p Query
/// decides whether it belongs to the share of the version under rollout, so
/// that a query stays on the new version while the share grows; the budget must
/// also allow it. A version marked bad gets no requests. A suspected one gets
/// any query within the budget, a few a second, until it is decided.
/// \param Query identifies the query: route and body, or request key.
/// \param Shards number of shards that the request is sent to.
VersionChoice chooseVersion(const ConfigView &Config,
                            const Service &ServiceConfig,
                            std::string_view Query, std::size_t Shards,
                            const VersionHealthLookup &HealthLookup,
                            VersionBudget &Budget, TimePoint Now);

} // namespace citronlever
