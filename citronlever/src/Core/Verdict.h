#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace citronlever {

/// Says whether a request may have had an effect. Ordered: a later value is
/// the weaker statement for a caller that would like to send again.
enum class Verdict : std::uint8_t { NotRun = 0, MayHaveRun = 1, Ran = 2 };

/// \returns the verdict of a request made of two parts.
constexpr Verdict combine(Verdict A, Verdict B) { return std::max(A, B); }

/// \returns whether a non-idempotent request may be sent again.
constexpr bool isSafeToRetry(Verdict Value) { return Value == Verdict::NotRun; }

/// \returns the name used in HTTP headers and bodies.
constexpr std::string_view toString(Verdict Value) {
  switch (Value) {
  case Verdict::NotRun:
    return "not_run";
  case Verdict::MayHaveRun:
    return "may_have_run";
  case Verdict::Ran:
    return "ran";
  }
  return "may_have_run";
}

/// Reads the HTTP name; anything unknown is MayHaveRun, the safe reading.
constexpr Verdict verdictFromString(std::string_view Text) {
  if (Text == "not_run")
    return Verdict::NotRun;
  if (Text == "ran")
    return Verdict::Ran;
  return Verdict::MayHaveRun;
}

} // namespace citronlever
