#pragma once

#include <algorithm>
#include <cstddef>

namespace citronlever {

/// \returns how many connections this process may open to a leaf that accepts
/// \p ConnectionCap connections from all \p Senders together; at least 1. Load
/// pattern: every process opens connections at once, after restarts or when a
/// leaf comes back.
inline int connectionShare(int ConnectionCap, std::size_t Senders) {
  // Leaves room for senders that the others do not know of yet, and for a leaf
  // that lowers its cap under load.
  constexpr double SafetyFactor = 0.85;
  const double Share =
      SafetyFactor * ConnectionCap / static_cast<double>(Senders);
  return std::max(1, static_cast<int>(Share));
}

} // namespace citronlever
