#include "citronlever/src/Routing/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace citronlever {

std::string hostKey(std::string_view Host) {
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
  for (std::size_t At = 0; At < this->Routes.size(); ++At) {
    const RouteSpec &Entry = this->Routes[At];
    this->ByHost[hostKey(Entry.Host)][Entry.PathPrefix] = At;
  }
}

const RouteSpec *RouteTable::match(std::string_view Host,
                                   std::string_view Path) const {
  const auto OfHost = this->ByHost.find(hostKey(Host));
  if (OfHost == this->ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only the path's own slashes can match.
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    const auto Found = OfHost->second.find(Path.substr(0, Slash + 1));
    if (Found != OfHost->second.end())
      return &this->Routes[Found->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const ServiceSpec *RouteTable::service(std::string_view Name) const {
  const auto Found = this->Services.find(Name);
  return Found == this->Services.end() ? nullptr : &Found->second;
}

int RouteTable::leastConnectionCap() const {
  int Least = std::numeric_limits<int>::max();
  for (const RouteSpec &Entry : this->Routes)
    for (const std::string &Shard : Entry.Shards)
      if (const ServiceSpec *Spec = this->service(Shard))
        Least = std::min(Least, Spec->ConnectionCap);
  if (Least != std::numeric_limits<int>::max())
    return Least;
  for (const auto &[Name, Spec] : this->Services)
    Least = std::min(Least, Spec.ConnectionCap);
  return Least;
}

bool CurrentRoutes::offer(RouteTablePtr Offered) {
  if (this->Table && Offered->version() <= this->Table->version())
    return false;
  this->Table = std::move(Offered);
  return true;
}

} // namespace citronlever
