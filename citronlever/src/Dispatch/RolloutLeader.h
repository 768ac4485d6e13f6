#pragma once

#include "citronlever/src/Dispatch/CanaryAnalysis.h"
#include "citronlever/src/Dispatch/ServiceRollout.h"
#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <optional>
#include <string>
#include <string_view>

namespace citronlever {

/// Leads the rollout of one version: combines the reports of all processes and
/// computes the next state with the rollout state machine. Any process can
/// lead; all state that must survive is in the rollout document. Load pattern:
/// the leading process is killed or partitioned in the middle of a rollout.
class RolloutLeader {
public:
  /// Time between two evaluations of the reports and of the next state.
  static constexpr Duration AnalysisInterval = Milliseconds(500);

  RolloutLeader(RolloutRequest Order, TimePoint Now);

  /// \returns the shares and times for a service with a few calls per second.
  static const RolloutPlan &plan();

  /// Adds a report of the process \p Reporter.
  void addReport(std::string_view Reporter, const CanaryReport &Report);

  /// Ends an interval and evaluates its reports.
  void endInterval();

  /// \returns why the version is bad, or an empty string.
  const std::string &badReason() const { return this->BadReason; }

  /// Takes another revision of the same order.
  void renumber(const RolloutRequest &Again);

  /// Takes the rollout's state as read from the store. Other rollouts and older
  /// states are ignored.
  void onStateRead(const RolloutDocument &State, TimePoint Now);

  /// \returns the state to write over \p Current, or nothing.
  /// \param Current the stored state, or null if there is none.
  /// \param OldVersion the version that serves now.
  std::optional<RolloutDocument> nextState(const RolloutDocument *Current,
                                           std::string_view OldVersion,
                                           TimePoint Now) const;

private:
  /// \returns the time since the rollout was ordered.
  Duration elapsed(TimePoint Now) const;

  RolloutRequest Order;
  CanaryAnalysis Analysis;
  std::string BadReason;
  RolloutDocument LastState;
  TimePoint LastStateAt;
};

} // namespace citronlever
