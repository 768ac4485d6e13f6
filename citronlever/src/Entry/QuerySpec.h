#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// What a request asks, as checked by the filters.
struct QuerySpec {
  std::string Service;
  std::string Route;
  bool Idempotent = true;
  std::uint32_t Limit = 10;
  std::uint32_t Priority = 1;
  std::string Customer;
  double HedgeBudget = 0;
  double LowestCoverage = 1;
  AnswerPreference Preference = AnswerPreference::Time;
  std::string RequestKey;
  std::string Body;
  TimePoint Deadline;
};

} // namespace citronlever
