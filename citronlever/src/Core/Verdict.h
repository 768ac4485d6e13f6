#pragma once

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace citronlever {

/// Whether a request was executed. The order matters: the higher the value, the
/// stronger the case against retrying a non-idempotent request.
enum class Verdict : std::uint8_t { NotRun = 0, MayHaveRun = 1, Ran = 2 };

/// \returns the verdict of a request with two parts: the higher of theirs.
constexpr Verdict combine(Verdict A, Verdict B) { return std::max(A, B); }

/// \returns whether a non-idempotent request may be retried.
constexpr bool isSafeToRetry(Verdict Value) { return Value == Verdict::NotRun; }

/// \returns the name of \p Value in HTTP headers and bodies.
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

/// Parses the name used in HTTP. Unknown text yields MayHaveRun, which never
/// permits a retry.
constexpr Verdict verdictFromString(std::string_view Text) {
  if (Text == "not_run")
    return Verdict::NotRun;
  if (Text == "ran")
    return Verdict::Ran;
  return Verdict::MayHaveRun;
}

} // namespace citronlever
