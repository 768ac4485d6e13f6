#include "citronlever/src/Dispatch/StatedRate.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace citronlever {

std::optional<double> parseStatedRate(std::string_view Text) {
  const auto IsSpace = [](char Byte) { return Byte == ' ' || Byte == '\t'; };
  while (!Text.empty() && IsSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && IsSpace(Text.back()))
    Text.remove_suffix(1);
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Failure] = std::from_chars(Text.data(), End, Value);
  if (Failure != std::errc() || Last != End || !std::isfinite(Value) ||
      std::signbit(Value))
    return std::nullopt;
  return std::min(Value, MaxStatedRate);
}

} // namespace citronlever
