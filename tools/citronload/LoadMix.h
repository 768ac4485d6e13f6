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
  /// Share of the requests, relative to the weights of the other classes.
  double Weight = 1;
  std::uint32_t Limit = 10;
  /// 0: no deadline is sent and the contract's deadline applies.
  std::uint32_t DeadlineMs = 0;
  /// Number of different queries; the text of a query is "q-<number>".
  std::uint32_t Queries = 1000;
  bool Idempotent = true;
};

/// Reads {"classes": [...]}.
/// \throws SettingsError with field and reason.
std::vector<RequestClass> mixFromJson(const boost::json::value &Value,
                                      const std::string &Where);

/// One request of the schedule.
struct PlannedRequest {
  /// Planned send time, relative to the start of the run.
  Duration SendOffset{};
  std::size_t Class = 0;
  std::uint32_t Query = 0;
};

/// Generates an open-loop schedule: Poisson arrivals at a given rate per
/// second, classes chosen by weight. Equal seeds give equal schedules.
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

/// \returns the JSON body of a request.
std::string requestBody(const RequestClass &Class, std::uint32_t Query);

/// \returns the query text, from which the stand-in leaves derive their rows.
std::string queryText(std::uint32_t Query);

} // namespace citronlever::load
