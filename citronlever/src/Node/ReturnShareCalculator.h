#pragma once

#include "citronlever/src/Broker/ReturnShares.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronlever {

/// Finds the shares of the failure domains and VMs that return, from the
/// documents in force and the time since this process first saw each.
class ReturnShareCalculator {
public:
  ReturnShares shares(const ConfigState &State, TimePoint Now);

private:
  struct Sighting {
    std::uint64_t Revision = 0;
    TimePoint Time{};
  };

  std::map<std::string, Sighting, std::less<>> FirstSightings;
};

} // namespace citronlever
