#pragma once

#include "citronlever/src/Rollout/RolloutDocument.h"

#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// Shares and times of a rollout. The values given here are those of a service
/// with thousands of calls a second.
struct RolloutPlan {
  /// Shortest deadline that a rollout is started with.
  static constexpr Duration MinDeadline = Seconds(30);

  /// Share before the version has shown itself good.
  double CanaryShare = 0.05;
  /// Shares after that. The last leaves the old version enough traffic to
  /// compare with.
  std::vector<double> RampShares = {0.15, 0.4, 0.7, 0.9};
  /// Parts of the deadline at which the ramp begins, and is to be over. The
  /// canary takes most of the time, since a version may turn bad late.
  double RampStartFraction = 0.6;
  double RampEndFraction = 0.85;
  /// Shortest time for a step: evidence needs about half of it.
  Duration MinStepTime = Seconds(2);
  Duration DeadlineFloor = MinDeadline;

  /// \returns the number of steps, the canary included.
  std::uint32_t stepCount() const {
    return 1 + static_cast<std::uint32_t>(this->RampShares.size());
  }

  /// \returns the share of \p Step.
  double share(std::uint32_t Step) const;

  /// \returns the time under way at which \p Step may end.
  Duration stepEnd(const RolloutDocument &Document) const;
};

/// What a controller knows when it decides.
struct RolloutInput {
  /// Time under way: what the document says and the time since it was seen.
  Duration Elapsed{};
  /// A bad mark, or the detector's finding; empty if there is none.
  std::string BadReason;
  /// The operator wants it taken back.
  bool RollBackRequested = false;
  /// The step's evidence is enough and clean.
  bool ProvedGood = false;
  /// The service document in force names the new version.
  bool ServiceSwitched = false;
  /// Revision of this controller's lease.
  std::uint64_t FencingToken = 0;
};

/// \returns the document of a rollout that begins.
RolloutDocument makeRolloutDocument(std::string Id, const std::string &Service,
                                    const std::string &FromVersion,
                                    const std::string &ToVersion,
                                    Duration Deadline,
                                    std::uint64_t FencingToken,
                                    const RolloutPlan &Plan = {});

/// Decides the next state of a rollout, by a Boost.MSM machine restored from
/// the document.
/// \returns the document to be written, or nothing if all stays as it is or a
/// controller with a higher fence has taken over.
std::optional<RolloutDocument> decideRollout(const RolloutDocument &Present,
                                             const RolloutInput &Input,
                                             const RolloutPlan &Plan = {});

} // namespace citronlever
