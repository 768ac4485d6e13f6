#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// Where a rollout stands.
enum class RolloutPhase : std::uint8_t {
  /// A small share, until the version has shown itself good.
  Canary,
  /// Rising shares.
  Ramping,
  /// Proved good; the service document is to name the new version.
  Completing,
  Completed,
  RolledBack
};

/// The document `rollouts/<service>`: all state of a rollout, so that any
/// member can go on with it. Times are spans, since no two VMs compare clocks.
struct RolloutDocument {
  /// Unique; a bad mark names it.
  std::string Id;
  std::string Service;
  std::string FromVersion;
  std::string ToVersion;
  RolloutPhase Phase = RolloutPhase::Canary;
  /// Index of the step in force.
  std::uint32_t Step = 0;
  /// Share of queries that go to the new version, 0 to 1.
  double Share = 0;
  Duration Deadline{};
  /// Time under way when this was written.
  Duration Elapsed{};
  /// Time under way when the step began.
  Duration StepStart{};
  /// Revision of the lease of the controller that wrote this; a controller
  /// with a lower one may write no more.
  std::uint64_t FencingToken = 0;
  /// Name of that controller, to whom evidence is sent.
  std::string Controller;
  /// Why it was taken back; for the operator.
  std::string Reason;

  bool operator==(const RolloutDocument &) const = default;

  bool isFinished() const {
    return this->Phase == RolloutPhase::Completed ||
           this->Phase == RolloutPhase::RolledBack;
  }
};

/// \returns the phase's name in the document.
std::string_view phaseName(RolloutPhase Phase);

/// Reads and checks a rollout document.
/// \throws SettingsError with document, field and reason.
RolloutDocument rolloutFromJson(const boost::json::value &Value,
                                const std::string &Where);

/// Writes the document that rolloutFromJson() reads.
boost::json::value toJson(const RolloutDocument &Value);

} // namespace citronlever
