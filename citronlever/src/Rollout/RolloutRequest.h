#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// An operator's request to roll out a version of a service within a deadline.
struct RolloutRequest {
  std::string Service;
  std::string Version;
  Duration Deadline{};
  /// Revision of the request in the store; a new revision is a new rollout.
  std::uint64_t Revision = 0;

  /// \returns the id of the rollout in documents and reports.
  std::string id() const {
    return this->Service + "@" + std::to_string(this->Revision);
  }
};

} // namespace citronlever
