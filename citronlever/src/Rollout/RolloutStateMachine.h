#pragma once

#include "citronlever/src/Rollout/RolloutDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// Shares and times of a rollout. The defaults are for a service with thousands
/// of calls per second.
struct RolloutPlan {
  /// Shortest deadline of a rollout by default.
  static constexpr Duration MinDeadline = Seconds(30);

  /// Share until the version has proved good.
  double CanaryShare = 0.05;
  /// Shares of the following steps. The last one leaves the old version enough
  /// traffic to compare with.
  std::vector<double> RampShares = {0.15, 0.4, 0.7, 0.9};
  /// Fractions of the deadline at which the ramp starts and must end. The
  /// canary step takes most of the time, because a version may turn bad late.
  double RampStartFraction = 0.6;
  double RampEndFraction = 0.85;
  /// Shortest duration of a step. Collecting evidence takes about half of it.
  Duration MinStepTime = Seconds(2);
  /// Shorter deadlines are raised to this.
  Duration DeadlineFloor = MinDeadline;

  /// \returns the number of steps, including the canary step.
  std::uint32_t stepCount() const {
    return 1 + static_cast<std::uint32_t>(this->RampShares.size());
  }

  /// \returns the share of the queries that the new version gets in \p Step.
  double share(std::uint32_t Step) const;

  /// \returns the elapsed time from which the document's step may end.
  Duration stepEnd(const RolloutDocument &Document) const;
};

/// Inputs to one decision about a rollout.
struct RolloutInput {
  /// Time since the rollout began: the document's value plus the time since the
  /// document was read.
  Duration Elapsed{};
  /// Reason of a bad mark or of the detector's finding; empty if there is none.
  std::string BadReason;
  /// The operator requested a rollback.
  bool RollBackRequested = false;
  /// The evidence of the current step shows that the version is good.
  bool ProvedGood = false;
  /// The current service document names the new version.
  bool ServiceSwitched = false;
  /// Revision of this controller's lease.
  std::uint64_t FencingToken = 0;
};

/// \returns the document of a new rollout.
RolloutDocument makeRolloutDocument(std::string Id, const std::string &Service,
                                    const std::string &FromVersion,
                                    const std::string &ToVersion,
                                    Duration Deadline,
                                    std::uint64_t FencingToken,
                                    const RolloutPlan &Plan = {});

/// Decides the next state of a rollout with a Boost.MSM state machine that is
/// restored from the document.
/// \returns the document to write; nothing if the state is unchanged or a
/// controller with a higher fencing token has taken over.
std::optional<RolloutDocument> decideRollout(const RolloutDocument &Present,
                                             const RolloutInput &Input,
                                             const RolloutPlan &Plan = {});

} // namespace citronlever
