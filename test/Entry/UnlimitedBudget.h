#pragma once

#include "citronlever/Entry"

#include <cstdint>

namespace citronlever::test {

/// A budget large enough for any share, so that only the hash decides.
struct UnlimitedBudget {
  static constexpr std::uint64_t OldCalls = 1000000000;

  UnlimitedBudget(const ConfigView &Config, std::string_view Service) {
    const VersionShare &Share = Config.RolloutShares.find(Service)->second;
    this->CallBudget.settle(
        Service,
        this->CallBudget.reserve(Service, Share, 1, VersionPreference::Old, {}),
        OldCalls);
  }

  VersionBudget CallBudget;
};

} // namespace citronlever::test
