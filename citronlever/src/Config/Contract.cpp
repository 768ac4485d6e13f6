#include "citronlever/src/Config/Contract.h"

#include "citronlever/src/Config/Names.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr double MinRate = 0.001;
constexpr double MaxRate = 10e6;
constexpr std::int64_t MaxConcurrency = 1000000;
constexpr std::int64_t MaxPriority = 9;
constexpr std::int64_t MaxDeadlineMs = 60000;

AnswerPreference readPreference(JsonFields &Fields) {
  const std::string Text = Fields.text("first", "time");
  if (Text == "time")
    return AnswerPreference::Time;
  if (Text == "coverage")
    return AnswerPreference::Coverage;
  Fields.fail("first", "neither \"time\" nor \"coverage\"");
}

} // namespace

Contract contractFromJson(const json::value &Value, const std::string &Where) {
  JsonFields Fields(Value, Where);
  Contract Result;
  Result.Customer = readName(Fields, "customer");
  Result.Rate = Fields.number("rate", MinRate, MaxRate, Result.Rate);
  Result.Burst = Fields.number("burst", 1, MaxRate, Result.Burst);
  Result.Concurrency = static_cast<std::uint32_t>(
      Fields.integer("concurrency", 1, MaxConcurrency, Result.Concurrency));
  Result.Priority = static_cast<std::uint32_t>(
      Fields.integer("priority", 0, MaxPriority, Result.Priority));
  Result.Deadline = Fields.milliseconds("deadline_ms", 1, MaxDeadlineMs,
                                        toMs(Result.Deadline));
  Result.LowestCoverage =
      Fields.number("lowest_coverage", 0, 1, Result.LowestCoverage);
  Result.Preference = readPreference(Fields);
  Result.HedgeBudget = Fields.number("hedge_budget", 0, 1, Result.HedgeBudget);
  Fields.finish();
  return Result;
}

json::value toJson(const Contract &Value) {
  return {{"customer", Value.Customer},
          {"rate", Value.Rate},
          {"burst", Value.Burst},
          {"concurrency", Value.Concurrency},
          {"priority", Value.Priority},
          {"deadline_ms", toMs(Value.Deadline)},
          {"lowest_coverage", Value.LowestCoverage},
          {"first",
           Value.Preference == AnswerPreference::Time ? "time" : "coverage"},
          {"hedge_budget", Value.HedgeBudget}};
}

} // namespace citronlever
