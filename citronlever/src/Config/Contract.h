#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// What gives way first when not every shard answers in time.
enum class AnswerPreference : std::uint8_t {
  /// Answer at the deadline with the coverage reached.
  Time,
  /// Refuse rather than answer below the lowest coverage.
  Coverage
};

/// What one customer may ask for; every limit on it follows from here.
struct Contract {
  std::string Customer;
  /// Requests a second over the whole fleet, and the burst above it.
  double Rate = 100;
  double Burst = 20;
  /// Requests in work at once over the whole fleet.
  std::uint32_t Concurrency = 64;
  /// 0 is served first; under overload the highest number is refused first.
  std::uint32_t Priority = 1;
  /// Longest time for an answer; a caller may ask for less.
  Duration Deadline = Milliseconds(150);
  /// Lowest share of shards for an answer to be given at all.
  double LowestCoverage = 0.9;
  AnswerPreference Preference = AnswerPreference::Time;
  /// Extra leaf calls allowed for hedges, as a share of first sends.
  double HedgeBudget = 0.05;

  bool operator==(const Contract &) const = default;
};

/// Reads and checks a contract document (see docs/API.md).
/// \throws SettingsError with document, field and reason.
Contract contractFromJson(const boost::json::value &Value,
                          const std::string &Where);

/// Writes the document that contractFromJson() reads.
boost::json::value toJson(const Contract &Value);

} // namespace citronlever
