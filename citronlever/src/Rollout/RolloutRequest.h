#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// Operators order a service to be moved to another version by a deadline.
struct RolloutRequest {
  std::string Service;
  std::string Version;
  Duration Deadline{};
  /// Revision of the order; another one is another move.
  std::uint64_t Revision = 0;

  /// \returns what names this move in documents and reports.
  std::string id() const {
    return this->Service + "@" + std::to_string(this->Revision);
  }
};

} // namespace citronlever
