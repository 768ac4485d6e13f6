#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Entry/VersionBudget.h"

#include <functional>
#include <string>
#include <string_view>

namespace citronlever {

/// What is known of a version under rollout.
enum class VersionHealth : std::uint8_t {
  Unproven,
  /// More calls of it should soon decide.
  Suspected,
  Bad
};

/// Says how a rollout's version stands; by rollout id.
using VersionHealthLookup =
    std::function<VersionHealth(std::string_view RolloutId, TimePoint Now)>;

/// The version that a request goes to, and what it holds of the budget.
struct VersionChoice {
  std::string Version;
  VersionReservation Reservation;
};

/// Chooses the version of \p ServiceConfig that a request goes to. A share
/// under rollout is taken by the hash of the query, so that a query stays on
/// one version while the share rises, and only while the budget has room for
/// it. A version marked bad gets nothing; one under suspicion gets any query
/// that the budget has room for, some a second, until that is decided. \param
/// Query what identifies the query: route and body, or request key. \param
/// Shards shards that the request is sent to.
VersionChoice chooseVersion(const ConfigView &Config,
                            const Service &ServiceConfig,
                            std::string_view Query, std::size_t Shards,
                            const VersionHealthLookup &HealthLookup,
                            VersionBudget &Budget, TimePoint Now);

} // namespace citronlever
