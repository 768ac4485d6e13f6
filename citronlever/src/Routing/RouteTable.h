#pragma once

#include "citronlever/src/Routing/RouteSpec.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace citronlever {

/// Routes, services and caller limits of one configuration version. Immutable,
/// so a request that holds a reference to its table uses the same version from
/// start to end.
class RouteTable {
public:
  RouteTable(std::uint64_t Version, std::vector<RouteSpec> Routes,
             std::vector<ServiceSpec> Services, CallerLimits Limits);

  /// \returns the route of \p Host with the longest path prefix that matches
  /// \p Path, or null. \p Host is compared case-insensitively and may include a
  /// port, which is ignored.
  const RouteSpec *match(std::string_view Host, std::string_view Path) const;

  /// \returns the service named \p Name, or null.
  const ServiceSpec *findService(std::string_view Name) const;

  /// \returns the lowest connection cap among the services that are shards of
  /// a route, or among all services if no route has shards.
  int minConnectionCap() const;

  std::uint64_t version() const { return this->Version; }
  const CallerLimits &limits() const { return this->Limits; }
  const std::vector<RouteSpec> &routes() const { return this->Routes; }

private:
  std::uint64_t Version;
  std::vector<RouteSpec> Routes;
  std::map<std::string, ServiceSpec, std::less<>> Services;
  CallerLimits Limits;
  /// Indexes into \c Routes by normalized host, then by path prefix.
  std::map<std::string, std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
      RouteIndexes;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \returns \p Host in lower case and without a port.
std::string normalizeHost(std::string_view Host);

/// Holds the newest route table that this process has received. An older table
/// never replaces a newer one.
class CurrentRoutes {
public:
  /// Replaces the current table if \p Table has a higher version.
  /// \returns whether it was replaced.
  bool replaceIfNewer(RouteTablePtr Table);

  /// \returns the current table, or null if none has been received yet.
  const RouteTablePtr &get() const { return this->Table; }

private:
  RouteTablePtr Table;
};

} // namespace citronlever
