#include "citronlever/src/Broker/internal/LeafDescription.h"

#include <sstream>

namespace citronlever::internal {

namespace {

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// \returns since when, and after what, the leaf is in its phase.
std::string since(const LeafNotes &Notes, TimePoint Now) {
  if (Notes.PhaseSince == TimePoint{})
    return "since this broker took it over";
  std::ostringstream Text;
  Text.precision(3);
  Text << "for " << secondsOf(Now - Notes.PhaseSince) << " s, after a call "
       << "that ended as " << Notes.PhaseAfter;
  return Text.str();
}

std::string atOnce(const LeafTracker &Of, TimePoint Now) {
  return "gets at most " + std::to_string(Of.limit(Now)) + " at once";
}

std::string phaseWords(const LeafTracker &Of, const LeafNotes &Notes,
                       TimePoint Now) {
  const std::string Since = since(Notes, Now);
  switch (Of.Lifecycle.phase()) {
  case LeafPhase::Cold:
    return "cold " + Since + ": " + atOnce(Of, Now);
  case LeafPhase::Ramping:
    return "ramping " + Since + ": " + atOnce(Of, Now) +
           ", more with each success";
  case LeafPhase::Warm:
    return "warm " + Since + ": " + atOnce(Of, Now);
  case LeafPhase::Draining:
    return "out: it said that it is draining, " + Since;
  case LeafPhase::OutOfService:
    if (Notes.VmLeaving)
      return "out: the platform says that its VM is leaving";
    return Notes.OperatorsOut
               ? "out: operators took its failure domain or VM out"
               : "out: it is about to be taken back in";
  case LeafPhase::Failed:
    return "failed " + Since + ": gets single probes only";
  }
  return "";
}

} // namespace

std::vector<std::string> leafWords(const LeafTracker &Of,
                                   const LeafNotes &Notes, TimePoint Now) {
  std::vector<std::string> Result{phaseWords(Of, Notes, Now)};
  const double Ms = Of.Limit.latencyMs();
  const bool Avoided =
      Notes.QuickestMs > 0 && Ms > Notes.AvoidRatio * Notes.QuickestMs;
  std::ostringstream Text;
  Text.precision(3);
  if (Avoided && Of.acceptsWork()) {
    Text << "avoided: " << Ms << " ms against " << Notes.QuickestMs
         << " ms of the quickest replica; last call "
         << secondsOf(Now - Of.lastSent()) << " s ago";
    Result.push_back(Text.str());
  }
  if (Notes.ReturnShare < 1)
    Result.push_back("returning: gets " +
                     std::to_string(static_cast<int>(Notes.ReturnShare * 100)) +
                     " % of its work");
  if (Of.Limit.hasSecondSender(Now))
    Result.emplace_back("halved: another sender's work shows in its load");
  return Result;
}

} // namespace citronlever::internal
