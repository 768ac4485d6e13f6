#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// Phase of a rollout.
enum class RolloutPhase : std::uint8_t {
  /// A small share of the queries, until the version has proved good.
  Canary,
  /// Rising shares.
  Ramping,
  /// Proved good; the service document is being switched to the new version.
  Completing,
  Completed,
  RolledBack
};

/// State of a rollout: the document `rollouts/<service>`. It is complete, so
/// that any member can continue the rollout. Times are durations, because
/// clocks of different VMs are not comparable.
struct RolloutDocument {
  /// Unique id, by which a bad mark refers to the rollout.
  std::string Id;
  std::string Service;
  std::string FromVersion;
  std::string ToVersion;
  RolloutPhase Phase = RolloutPhase::Canary;
  /// Index of the current step.
  std::uint32_t Step = 0;
  /// Share of the queries that go to the new version, 0 to 1.
  double Share = 0;
  Duration Deadline{};
  /// Time since the rollout began, as of the last write.
  Duration Elapsed{};
  /// Elapsed time at which the current step began.
  Duration StepStart{};
  /// Revision of the lease of the controller that wrote this document. A
  /// controller with a lower revision must not write any more.
  std::uint64_t FencingToken = 0;
  /// Name of that controller, to which evidence is sent.
  std::string Controller;
  /// Why the version was rolled back, for the operator.
  std::string Reason;

  bool operator==(const RolloutDocument &) const = default;

  bool isFinished() const {
    return this->Phase == RolloutPhase::Completed ||
           this->Phase == RolloutPhase::RolledBack;
  }
};

/// \returns the phase's name in the document.
std::string_view phaseName(RolloutPhase Phase);

/// Parses and validates a rollout document.
/// \throws SettingsError naming document, field and reason.
RolloutDocument rolloutFromJson(const boost::json::value &Value,
                                const std::string &Where);

/// Serializes a document in the format that rolloutFromJson() parses.
boost::json::value toJson(const RolloutDocument &Value);

} // namespace citronlever
