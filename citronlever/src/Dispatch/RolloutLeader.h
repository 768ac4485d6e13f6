#pragma once

#include "citronlever/src/Dispatch/CanaryAnalysis.h"
#include "citronlever/src/Dispatch/ServiceRollout.h"
#include "citronlever/src/Rollout/RolloutMachine.h"

#include <optional>
#include <string>
#include <string_view>

namespace citronlever {

/// Leads one move to another version: joins what processes report, and decides
/// the move's next state by the product's rollout machine. Any process may do
/// so; all that must last is in the state's document. Load pattern: the process
/// that leads is killed or cut off in the middle of a move.
class RolloutLeader {
public:
  /// Evidence is judged, and a decision looked for, once in this time.
  static constexpr Duration AnalysisInterval = Milliseconds(500);

  RolloutLeader(VersionOrder Order, TimePoint Now);

  /// \returns shares and times for a service of a few calls a second.
  static const RolloutPlan &plan();

  /// Takes the report of one process, \p Reporter.
  void addReport(std::string_view Reporter, const CanaryReport &Report);

  /// Ends an interval of evidence.
  void endInterval();

  /// \returns why the version is bad, or an empty text.
  const std::string &badReason() const { return this->BadReason; }

  /// A state of the move has been read.
  void onStateRead(const RolloutDocument &State, TimePoint Now);

  /// \returns the state to be written over \p Current (null: there is none
  /// yet), or nothing. \p OldVersion names the version that serves now.
  std::optional<RolloutDocument> nextState(const RolloutDocument *Current,
                                           std::string_view OldVersion,
                                           TimePoint Now) const;

private:
  Duration elapsed(TimePoint Now) const;

  VersionOrder Order;
  CanaryAnalysis Analysis;
  std::string BadReason;
  RolloutDocument LastState;
  TimePoint LastStateAt;
};

} // namespace citronlever
