#pragma once

#include "tools/citronload/LoadMix.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlever::load {

/// The status and the headers of an answer that the check uses.
struct AnswerHeaders {
  int Status = 0;
  std::string Verdict;
  std::string Snapshot;
  /// "<answered>/<total>".
  std::string Coverage;
};

/// Checks one answer that was computed from stand-in leaves against a reference
/// computation: all rows must be of one snapshot, the coverage must agree in
/// status line, header and body, and the rows must be those of a plain merge
/// over all answered shards. \returns a description of the first fault, or
/// nothing.
std::optional<std::string> checkAnswer(const RequestClass &Class,
                                       std::uint32_t Query,
                                       const AnswerHeaders &Headers,
                                       std::string_view Body);

/// Parses "<answered>/<total>"; both are 0 if \p Text has no such form.
void readCoverage(std::string_view Text, std::uint32_t &Answered,
                  std::uint32_t &Total);

} // namespace citronlever::load
