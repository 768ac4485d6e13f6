#include "tools/citronload/LoadMix.h"

#include "citronlever/src/Core/JsonFields.h"

namespace citronlever::load {

namespace {

constexpr std::int64_t MaxLimit = 1000;
constexpr std::int64_t MaxDeadlineMs = 600000;
constexpr std::int64_t MaxQueries = 1000000000;
constexpr double MaxWeight = 1e9;

RequestClass classFromJson(const boost::json::value &Value,
                           const std::string &Where) {
  JsonFields Fields(Value, Where);
  RequestClass Result;
  Result.Customer = Fields.text("customer");
  Result.Service = Fields.text("service");
  Result.Route = Fields.text("route");
  Result.Name = Fields.text("name", Result.Customer + "/" + Result.Service +
                                        "/" + Result.Route);
  Result.Weight = Fields.number("weight", 0, MaxWeight, Result.Weight);
  Result.Limit = static_cast<std::uint32_t>(
      Fields.integer("limit", 1, MaxLimit, Result.Limit));
  Result.DeadlineMs = static_cast<std::uint32_t>(
      Fields.integer("deadline_ms", 0, MaxDeadlineMs, 0));
  Result.Queries = static_cast<std::uint32_t>(
      Fields.integer("queries", 1, MaxQueries, Result.Queries));
  Result.Idempotent = Fields.boolean("idempotent", true);
  Fields.finish();
  return Result;
}

std::vector<double> weightsOf(const std::vector<RequestClass> &Classes) {
  std::vector<double> Weights;
  Weights.reserve(Classes.size());
  for (const RequestClass &Class : Classes)
    Weights.push_back(Class.Weight);
  return Weights;
}

} // namespace

std::vector<RequestClass> mixFromJson(const boost::json::value &Value,
                                      const std::string &Where) {
  JsonFields Fields(Value, Where);
  std::vector<RequestClass> Result;
  Fields.each("classes",
              [&](const boost::json::value &Element, const std::string &Path) {
                Result.push_back(classFromJson(Element, Path));
              });
  if (Result.empty())
    Fields.fail("classes", "missing or empty");
  Fields.finish();
  return Result;
}

LoadSchedule::LoadSchedule(const std::vector<RequestClass> &Classes,
                           double Rate, std::uint64_t Seed)
    : Random(Seed), InterarrivalSeconds(Rate) {
  const std::vector<double> Weights = weightsOf(Classes);
  this->ClassChoice =
      std::discrete_distribution<std::size_t>(Weights.begin(), Weights.end());
  for (const RequestClass &Class : Classes)
    this->Queries.push_back(Class.Queries);
}

PlannedRequest LoadSchedule::next() {
  this->ElapsedSeconds += this->InterarrivalSeconds(this->Random);
  PlannedRequest Result;
  Result.SendOffset = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->ElapsedSeconds));
  Result.Class = this->ClassChoice(this->Random);
  Result.Query =
      static_cast<std::uint32_t>(this->Random() % this->Queries[Result.Class]);
  return Result;
}

std::string queryText(std::uint32_t Query) {
  return "q-" + std::to_string(Query);
}

std::string requestBody(const RequestClass &Class, std::uint32_t Query) {
  return "{\"q\":\"" + queryText(Query) +
         "\",\"limit\":" + std::to_string(Class.Limit) + "}";
}

} // namespace citronlever::load
