#include "citronlever/src/Routing/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace citronlever {

std::string normalizeHost(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Result(Host);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Byte) { return std::tolower(Byte); });
  return Result;
}

RouteTable::RouteTable(std::uint64_t Version, std::vector<RouteSpec> Routes,
                       std::vector<ServiceSpec> Services, CallerLimits Limits)
    : Version(Version), Routes(std::move(Routes)), Limits(Limits) {
  for (ServiceSpec &Spec : Services)
    this->Services.insert_or_assign(Spec.Name, Spec);
  for (std::size_t Index = 0; Index < this->Routes.size(); ++Index) {
    const RouteSpec &Route = this->Routes[Index];
    this->RouteIndexes[normalizeHost(Route.Host)][Route.PathPrefix] = Index;
  }
}

const RouteSpec *RouteTable::match(std::string_view Host,
                                   std::string_view Path) const {
  const auto HostRoutes = this->RouteIndexes.find(normalizeHost(Host));
  if (HostRoutes == this->RouteIndexes.end())
    return nullptr;
  // Prefixes end with a slash, so a prefix can only end at a slash of the path;
  // trying the slashes from the last to the first finds the longest prefix.
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    const auto Found = HostRoutes->second.find(Path.substr(0, Slash + 1));
    if (Found != HostRoutes->second.end())
      return &this->Routes[Found->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const ServiceSpec *RouteTable::findService(std::string_view Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

int RouteTable::minConnectionCap() const {
  int MinCap = std::numeric_limits<int>::max();
  for (const RouteSpec &Route : this->Routes)
    for (const std::string &Shard : Route.Shards)
      if (const ServiceSpec *Spec = this->findService(Shard))
        MinCap = std::min(MinCap, Spec->ConnectionCap);
  if (MinCap != std::numeric_limits<int>::max())
    return MinCap;
  for (const auto &[Name, Spec] : this->Services)
    MinCap = std::min(MinCap, Spec.ConnectionCap);
  return MinCap;
}

bool CurrentRoutes::replaceIfNewer(RouteTablePtr NewTable) {
  if (this->Table && NewTable->version() <= this->Table->version())
    return false;
  this->Table = std::move(NewTable);
  return true;
}

} // namespace citronlever
