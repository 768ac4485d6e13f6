#include "citronlever/src/Broker/internal/LeafDescription.h"

#include <sstream>

namespace citronlever::internal {

namespace {

double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// \returns how long the leaf has been in its phase, and after which event.
std::string phaseOrigin(const LeafDescriptionContext &Context, TimePoint Now) {
  if (Context.PhaseSince == TimePoint{})
    return "since this broker took it over";
  std::ostringstream Text;
  Text.precision(3);
  Text << "for " << toSeconds(Now - Context.PhaseSince) << " s, after a call "
       << "that ended as " << Context.PhaseChangeOutcome;
  return Text.str();
}

std::string concurrencyLimit(const LeafTracker &Tracker, TimePoint Now) {
  return "gets at most " + std::to_string(Tracker.limit(Now)) + " at once";
}

std::string describePhase(const LeafTracker &Tracker,
                          const LeafDescriptionContext &Context,
                          TimePoint Now) {
  const std::string Origin = phaseOrigin(Context, Now);
  switch (Tracker.Lifecycle.phase()) {
  case LeafPhase::Cold:
    return "cold " + Origin + ": " + concurrencyLimit(Tracker, Now);
  case LeafPhase::Ramping:
    return "ramping " + Origin + ": " + concurrencyLimit(Tracker, Now) +
           ", more with each success";
  case LeafPhase::Warm:
    return "warm " + Origin + ": " + concurrencyLimit(Tracker, Now);
  case LeafPhase::Draining:
    return "out: it said that it is draining, " + Origin;
  case LeafPhase::OutOfService:
    if (Context.VmLeaving)
      return "out: the platform says that its VM is leaving";
    return Context.OutByOperators
               ? "out: operators took its failure domain or VM out"
               : "out: it is about to be taken back in";
  case LeafPhase::Failed:
    return "failed " + Origin + ": gets only single probe requests";
  }
  return "";
}

} // namespace

std::vector<std::string> describeLeaf(const LeafTracker &Tracker,
                                      const LeafDescriptionContext &Context,
                                      TimePoint Now) {
  std::vector<std::string> Result{describePhase(Tracker, Context, Now)};
  const double LatencyMs = Tracker.Limit.latencyMs();
  const bool IsAvoided =
      Context.FastestReplicaMs > 0 &&
      LatencyMs > Context.AvoidRatio * Context.FastestReplicaMs;
  std::ostringstream Text;
  Text.precision(3);
  if (IsAvoided && Tracker.acceptsWork()) {
    Text << "avoided: " << LatencyMs << " ms against "
         << Context.FastestReplicaMs
         << " ms of the quickest replica; last call "
         << toSeconds(Now - Tracker.lastSent()) << " s ago";
    Result.push_back(Text.str());
  }
  if (Context.ReturnShare < 1)
    Result.push_back(
        "returning: gets " +
        std::to_string(static_cast<int>(Context.ReturnShare * 100)) +
        " % of its work");
  if (Tracker.Limit.hasSecondSender(Now))
    Result.emplace_back("halved: its load includes requests of another sender");
  return Result;
}

} // namespace citronlever::internal
