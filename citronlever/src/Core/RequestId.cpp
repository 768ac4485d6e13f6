#include "citronlever/src/Core/RequestId.h"

#include "citronlever/src/Core/Error.h"

#include <charconv>
#include <cstdio>
#include <random>

namespace citronlever {

namespace {

constexpr std::size_t HexDigits = 16;

std::uint64_t parseHex(std::string_view Text) {
  std::uint64_t Value = 0;
  const auto [End, Status] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Status != std::errc() || End != Text.data() + Text.size())
    throw DecodeError("request id is not hexadecimal");
  return Value;
}

} // namespace

std::string toString(const RequestId &Id) {
  char Text[2 * HexDigits + 2];
  std::snprintf(Text, sizeof(Text), "%016llx-%016llx",
                static_cast<unsigned long long>(Id.Incarnation),
                static_cast<unsigned long long>(Id.Counter));
  return Text;
}

RequestId requestIdFromString(std::string_view Text) {
  if (Text.size() != 2 * HexDigits + 1 || Text[HexDigits] != '-')
    throw DecodeError(
        "request id is not two 16-digit numbers joined by a hyphen");
  return {parseHex(Text.substr(0, HexDigits)),
          parseHex(Text.substr(HexDigits + 1))};
}

std::uint64_t makeIncarnation() {
  std::random_device Device;
  const std::uint64_t High = Device();
  const std::uint64_t Low = Device();
  return (High << 32 | Low) | 1;
}

} // namespace citronlever
