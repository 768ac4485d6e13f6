#pragma once

#include <cstdint>

namespace citronlever {

/// Identifies one of the two versions that a rollout compares.
enum class VersionSide : std::uint8_t { Old = 0, New = 1 };

} // namespace citronlever
