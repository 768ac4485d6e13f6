#pragma once

#include "citronlever/src/Core/Time.h"

#include <optional>
#include <string_view>

namespace citronlever {

/// What a leaf last said about the rate of requests that it takes.
struct StatedRate {
  /// Requests per second from all processes together; none if the leaf takes
  /// any rate.
  std::optional<double> PerSecond;
  /// When the leaf said so, by this process's clock.
  TimePoint At{};

  bool operator==(const StatedRate &) const = default;
};

/// \returns the requests per second that \p Text states, at most MaxStatedRate;
/// none if it is not a decimal number of at least 0.
std::optional<double> parseStatedRate(std::string_view Text);

/// A higher rate counts as this one.
inline constexpr double MaxStatedRate = 1e9;

} // namespace citronlever
