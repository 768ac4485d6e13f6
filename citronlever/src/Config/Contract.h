#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// What an answer gives up first when not every shard answers in time.
enum class AnswerPreference : std::uint8_t {
  /// Answer by the deadline with the coverage reached so far.
  Time,
  /// Fail the request rather than answer below the lowest coverage.
  Coverage
};

/// Limits and answer quality agreed with one customer. Admission, deadlines and
/// hedging derive their limits from it.
struct Contract {
  std::string Customer;
  /// Requests per second over the whole fleet, and the burst allowed above that
  /// rate.
  double Rate = 100;
  double Burst = 20;
  /// Concurrent requests over the whole fleet.
  std::uint32_t Concurrency = 64;
  /// 0 is the most important; under overload the highest number is refused
  /// first.
  std::uint32_t Priority = 1;
  /// Maximum time for an answer; a caller may ask for a shorter one.
  Duration Deadline = Milliseconds(150);
  /// Lowest share of shards, 0 to 1, with which an answer is given at all.
  double LowestCoverage = 0.9;
  AnswerPreference Preference = AnswerPreference::Time;
  /// Extra leaf calls allowed for hedges, as a share of first attempts.
  double HedgeBudget = 0.05;

  bool operator==(const Contract &) const = default;
};

/// Parses and validates a contract document (see docs/API.md). \p Where names
/// the document in errors.
/// \throws SettingsError with document, field and reason.
Contract contractFromJson(const boost::json::value &Value,
                          const std::string &Where);

/// Writes the document that contractFromJson() reads.
boost::json::value toJson(const Contract &Value);

} // namespace citronlever
