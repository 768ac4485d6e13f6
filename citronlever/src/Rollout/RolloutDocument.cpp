#include "citronlever/src/Rollout/RolloutDocument.h"

#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <array>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxSpanMs = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t MaxSteps = 100;

constexpr std::array Phases = {
    RolloutPhase::Canary, RolloutPhase::Ramping, RolloutPhase::Completing,
    RolloutPhase::Completed, RolloutPhase::RolledBack};

RolloutPhase phaseField(JsonFields &Fields) {
  const std::string Name = Fields.text("state");
  for (const RolloutPhase Phase : Phases)
    if (phaseName(Phase) == Name)
      return Phase;
  Fields.fail("state", "unknown rollout state");
}

} // namespace

std::string_view phaseName(RolloutPhase Phase) {
  switch (Phase) {
  case RolloutPhase::Canary:
    return "canary";
  case RolloutPhase::Ramping:
    return "ramping";
  case RolloutPhase::Completing:
    return "completing";
  case RolloutPhase::Completed:
    return "completed";
  case RolloutPhase::RolledBack:
    return "taken_back";
  }
  return "taken_back";
}

RolloutDocument rolloutFromJson(const json::value &Value,
                                const std::string &Where) {
  JsonFields Fields(Value, Where);
  RolloutDocument Result;
  Result.Id = Fields.text("id");
  Result.Service = Fields.text("service");
  Result.FromVersion = Fields.text("from");
  Result.ToVersion = Fields.text("version");
  Result.Phase = phaseField(Fields);
  Result.Step =
      static_cast<std::uint32_t>(Fields.integer("step", 0, MaxSteps, 0));
  Result.Share = Fields.number("share", 0, 1);
  Result.Deadline = Milliseconds(Fields.integer("deadline_ms", 1, MaxSpanMs));
  Result.Elapsed = Fields.milliseconds("elapsed_ms", 0, MaxSpanMs, 0);
  Result.StepStart = Fields.milliseconds("step_began_ms", 0, MaxSpanMs, 0);
  Result.FencingToken = static_cast<std::uint64_t>(
      Fields.integer("fence", 0, std::numeric_limits<std::int64_t>::max(), 0));
  Result.Controller = Fields.text("controller", "");
  Result.Reason = Fields.text("reason", "");
  Fields.finish();
  return Result;
}

json::value toJson(const RolloutDocument &Value) {
  return json::object{{"id", Value.Id},
                      {"service", Value.Service},
                      {"from", Value.FromVersion},
                      {"version", Value.ToVersion},
                      {"state", phaseName(Value.Phase)},
                      {"step", static_cast<std::int64_t>(Value.Step)},
                      {"share", Value.Share},
                      {"deadline_ms", toMs(Value.Deadline)},
                      {"elapsed_ms", toMs(Value.Elapsed)},
                      {"step_began_ms", toMs(Value.StepStart)},
                      {"fence", static_cast<std::int64_t>(Value.FencingToken)},
                      {"controller", Value.Controller},
                      {"reason", Value.Reason}};
}

} // namespace citronlever
