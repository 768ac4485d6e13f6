#pragma once

#include "tools/citronload/LoadMix.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace citronlever::load {

/// What an answer says of itself outside its body.
struct AnswerHeaders {
  int Status = 0;
  std::string Verdict;
  std::string Snapshot;
  /// "<answered>/<total>".
  std::string Coverage;
};

/// Checks one answer of stand-in leaves against the naive version: one
/// snapshot in all rows, true arithmetic of the coverage in status line,
/// header and body, and the rows that a merge of leaf after leaf gives.
/// \returns what is wrong, or nothing.
std::optional<std::string> checkAnswer(const RequestClass &Class,
                                       std::uint32_t Query,
                                       const AnswerHeaders &Headers,
                                       std::string_view Body);

/// Reads "<answered>/<total>"; zeros if it is not there.
void readCoverage(std::string_view Text, std::uint32_t &Answered,
                  std::uint32_t &Total);

} // namespace citronlever::load
