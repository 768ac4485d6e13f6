#pragma once

#include <cstdint>

namespace citronlever {

/// How far a leaf is from its start, as its owner sees it.
enum class LeafStage : std::uint8_t { Cold, Ramping, Warm };

/// What a call says of the beginning of its leaf's start.
enum class LeafStartEvent : std::uint8_t {
  None,
  /// The first call from this process; the leaf may have started long before.
  FirstContact,
  /// The leaf turned cold between two calls from this process.
  Restarted
};

} // namespace citronlever
