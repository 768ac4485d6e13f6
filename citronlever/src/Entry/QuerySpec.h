#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// A request as checked and completed by the filters.
struct QuerySpec {
  std::string Service;
  std::string Route;
  bool Idempotent = true;
  std::uint32_t Limit = 10;
  std::uint32_t Priority = 1;
  std::string Customer;
  /// Hedged leaf calls allowed, as a share of first calls.
  double HedgeBudget = 0;
  /// Lowest share of shards for which an answer is returned.
  double LowestCoverage = 1;

  /// Whether to return early or to retry missing shards.
  AnswerPreference Preference = AnswerPreference::Time;
  std::string RequestKey;
  std::string Body;
  TimePoint Deadline;
};

} // namespace citronlever
