#pragma once

#include "citronlever/src/Routing/RouteSpec.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace citronlever {

/// Routes, services and limits of one configuration version; immutable, so a
/// request that keeps its table sees one version from beginning to end.
class RouteTable {
public:
  RouteTable(std::uint64_t Version, std::vector<RouteSpec> Routes,
             std::vector<ServiceSpec> Services, CallerLimits Limits);

  /// \returns the route of \p Host with the longest prefix of \p Path, or
  /// null. \p Host may carry a port; its case does not matter.
  const RouteSpec *match(std::string_view Host, std::string_view Path) const;

  /// \returns the service \p Name, or null.
  const ServiceSpec *findService(std::string_view Name) const;

  /// \returns the fewest connections that a leaf of any route's shard accepts,
  /// or of any service if no route has shards.
  int minConnectionCap() const;

  std::uint64_t version() const { return this->Version; }
  const CallerLimits &limits() const { return this->Limits; }
  const std::vector<RouteSpec> &routes() const { return this->Routes; }

private:
  std::uint64_t Version;
  std::vector<RouteSpec> Routes;
  std::map<std::string, ServiceSpec, std::less<>> Services;
  CallerLimits Limits;
  /// Host, then path prefix; values index \c Routes.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      RouteIndexes;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \returns \p Host in lower case and without its port.
std::string normalizeHost(std::string_view Host);

/// Holds the newest table of this process; an older one never replaces it.
class CurrentRoutes {
public:
  /// \returns whether \p Table is newer and now in force.
  bool replaceIfNewer(RouteTablePtr Table);

  /// \returns null while no configuration is known.
  const RouteTablePtr &get() const { return this->Table; }

private:
  RouteTablePtr Table;
};

} // namespace citronlever
