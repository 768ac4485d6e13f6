#pragma once

#include <algorithm>
#include <cstddef>

namespace citronlever {

/// \returns how many connections this process may hold to one leaf that
/// accepts \p ConnectionCap from all \p Senders together. Load pattern: every
/// process opens connections at once, after restarts or when a leaf comes back.
inline int connectionShare(int ConnectionCap, std::size_t Senders) {
  // Room for senders that come before the others know of them, and for a cap
  // that the leaf lowers under load.
  constexpr double SafetyFactor = 0.85;
  const double Share =
      SafetyFactor * ConnectionCap / static_cast<double>(Senders);
  return std::max(1, static_cast<int>(Share));
}

} // namespace citronlever
