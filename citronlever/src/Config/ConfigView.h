#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Config/Service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace citronlever {

/// Share of a service's traffic that goes to a version under rollout.
struct VersionShare {
  std::string RolloutId;
  std::string Version;
  /// Share of queries, 0 to 1, selected by query hash.
  double Share = 0;

  bool operator==(const VersionShare &) const = default;
};

/// Immutable snapshot of the configuration in force in this process, shared by
/// its readers.
struct ConfigView {
  /// Incremented by every accepted change.
  std::uint64_t Revision = 0;
  std::map<std::string, std::shared_ptr<const Service>, std::less<>> Services;
  std::map<std::string, Contract, std::less<>> Contracts;
  /// Failure domains and VMs that operators have taken out of service.
  std::set<std::string, std::less<>> DomainsOutOfService;
  std::set<std::string, std::less<>> VmsOutOfService;
  /// The share of the new version, by service, for services with an active
  /// rollout.
  std::map<std::string, VersionShare, std::less<>> RolloutShares;

  /// \returns whether \p Leaf may receive new requests.
  bool isInService(const Leaf &Leaf) const {
    return !this->DomainsOutOfService.contains(Leaf.Domain) &&
           !this->VmsOutOfService.contains(Leaf.Vm);
  }
};

using ConfigViewPtr = std::shared_ptr<const ConfigView>;

} // namespace citronlever
