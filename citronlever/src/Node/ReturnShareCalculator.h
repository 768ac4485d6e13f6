#pragma once

#include "citronlever/src/Broker/ReturnShares.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronlever {

/// Calculates the load shares of failure domains and VMs that return to
/// service. The share rises with the time that the return has taken: the time
/// recorded in the document, plus the time since this process first saw that
/// revision. Not thread-safe.
class ReturnShareCalculator {
public:
  /// \returns the share of each returning failure domain and VM; those that
  /// are not returning are absent.
  /// \throws SettingsError if a document is malformed.
  ReturnShares shares(const ConfigState &State, TimePoint Now);

private:
  /// When this process first saw a revision of a document.
  struct Sighting {
    std::uint64_t Revision = 0;
    TimePoint Time{};
  };

  std::map<std::string, Sighting, std::less<>> FirstSightings;
};

} // namespace citronlever
