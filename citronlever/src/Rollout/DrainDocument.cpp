#include "citronlever/src/Rollout/DrainDocument.h"

#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <array>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxSpanMs = 30LL * 24 * 3600 * 1000;

constexpr std::array Phases = {DrainPhase::InService, DrainPhase::Draining,
                               DrainPhase::Drained, DrainPhase::Returning};

} // namespace

std::string_view phaseName(DrainPhase Phase) {
  switch (Phase) {
  case DrainPhase::InService:
    return "in";
  case DrainPhase::Draining:
    return "leaving";
  case DrainPhase::Drained:
    return "out";
  case DrainPhase::Returning:
    return "returning";
  }
  return "in";
}

DrainDocument drainFromJson(const json::value &Value,
                            const std::string &Where) {
  JsonFields Fields(Value, Where);
  DrainDocument Result;
  const std::string State = Fields.text("state");
  if (State != "in" && State != "out")
    Fields.fail("state", "must be \"in\" or \"out\"");
  const std::string Name = Fields.text("phase", State);
  const auto *const Found =
      std::find_if(Phases.begin(), Phases.end(),
                   [&](DrainPhase Phase) { return phaseName(Phase) == Name; });
  if (Found == Phases.end())
    Fields.fail("phase", "unknown drain phase");
  Result.Phase = *Found;
  if (Result.isInService() != (State == "in"))
    Fields.fail("phase", "does not match the state");
  Result.Elapsed = Fields.milliseconds("elapsed_ms", 0, MaxSpanMs, 0);
  Result.Reason = Fields.text("reason", "");
  Result.FencingToken = static_cast<std::uint64_t>(
      Fields.integer("fence", 0, std::numeric_limits<std::int64_t>::max(), 0));
  Fields.finish();
  return Result;
}

json::value toJson(const DrainDocument &Value) {
  return json::object{{"state", Value.isInService() ? "in" : "out"},
                      {"phase", phaseName(Value.Phase)},
                      {"elapsed_ms", toMs(Value.Elapsed)},
                      {"reason", Value.Reason},
                      {"fence", static_cast<std::int64_t>(Value.FencingToken)}};
}

} // namespace citronlever
