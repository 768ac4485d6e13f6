#pragma once

#include <cstdint>

namespace citronlever {

/// Warm-up stage of a leaf, as its owner estimates it.
enum class LeafStage : std::uint8_t { Cold, Ramping, Warm };

/// Whether a call shows that its leaf has just started.
enum class LeafStartEvent : std::uint8_t {
  None,
  /// First call from this process; the leaf may have started long ago.
  FirstContact,
  /// The leaf became cold between two calls from this process.
  Restarted
};

} // namespace citronlever
