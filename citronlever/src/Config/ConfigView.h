#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Config/Service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace citronlever {

/// The part of a service's traffic that goes to a version under rollout.
struct VersionShare {
  std::string RolloutId;
  std::string Version;
  /// Share of queries, 0 to 1, chosen by query hash.
  double Share = 0;

  bool operator==(const VersionShare &) const = default;
};

/// The configuration in force on this process: immutable, shared by readers.
struct ConfigView {
  /// Rises with every accepted change.
  std::uint64_t Revision = 0;
  std::map<std::string, std::shared_ptr<const Service>, std::less<>> Services;
  std::map<std::string, Contract, std::less<>> Contracts;
  /// Failure domains and VMs that operators have taken out.
  std::set<std::string, std::less<>> DomainsOutOfService;
  std::set<std::string, std::less<>> VmsOutOfService;
  /// For each service with a rollout under way, its share.
  std::map<std::string, VersionShare, std::less<>> RolloutShares;

  /// \returns whether \p Leaf may be given new work.
  bool isInService(const Leaf &Leaf) const {
    return !this->DomainsOutOfService.contains(Leaf.Domain) &&
           !this->VmsOutOfService.contains(Leaf.Vm);
  }
};

using ConfigViewPtr = std::shared_ptr<const ConfigView>;

} // namespace citronlever
