#pragma once

#include <chrono>
#include <cstdint>

namespace citronlever {

/// \returns milliseconds since 1970; shown to operators, never used in
/// decisions.
inline std::uint64_t wallTimeMs() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

} // namespace citronlever
