#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever::load {

/// One kind of request in a mix.
struct RequestClass {
  std::string Name;
  std::string Customer;
  std::string Service;
  std::string Route;
  /// Part of the requests, against the other classes.
  double Weight = 1;
  std::uint32_t Limit = 10;
  /// 0 leaves the contract's deadline.
  std::uint32_t DeadlineMs = 0;
  /// Number of different queries; the text of a query is "q-<number>".
  std::uint32_t Queries = 1000;
  bool Idempotent = true;
};

/// Reads {"classes": [...]}. \throws SettingsError with field and reason.
std::vector<RequestClass> mixFromJson(const boost::json::value &Value,
                                      const std::string &Where);

/// One request as planned before the run began.
struct PlannedRequest {
  /// When it is meant to leave, from the start of the run.
  Duration SendOffset{};
  std::size_t Class = 0;
  std::uint32_t Query = 0;
};

/// Draws an open-loop schedule: Poisson arrivals at \p Rate a second, classes
/// by weight. Equal seeds give equal schedules.
class LoadSchedule {
public:
  LoadSchedule(const std::vector<RequestClass> &Classes, double Rate,
               std::uint64_t Seed);

  PlannedRequest next();

private:
  std::mt19937_64 Random;
  std::exponential_distribution<double> InterarrivalSeconds;
  std::discrete_distribution<std::size_t> ClassChoice;
  std::vector<std::uint32_t> Queries;
  double ElapsedSeconds = 0;
};

/// \returns the caller's object of a request.
std::string requestBody(const RequestClass &Class, std::uint32_t Query);

/// \returns the text that the stand-in leaves derive their rows from.
std::string queryText(std::uint32_t Query);

} // namespace citronlever::load
