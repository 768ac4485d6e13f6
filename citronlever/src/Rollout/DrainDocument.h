#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// Where a move of a failure domain or VM stands.
enum class DrainPhase : std::uint8_t {
  /// In service; no move under way.
  InService,
  /// Gets no new work; work in flight ends.
  Draining,
  /// Out, with nothing in flight.
  Drained,
  /// Takes work again, more with time.
  Returning
};

/// The document `domains/<name>` or `vms/<name>`.
struct DrainDocument {
  DrainPhase Phase = DrainPhase::InService;
  /// Time under way when this was written.
  Duration Elapsed{};
  /// Why the last move was taken back; empty if it was not.
  std::string Reason;
  /// Revision of the lease of the controller that wrote this.
  std::uint64_t FencingToken = 0;

  bool operator==(const DrainDocument &) const = default;

  /// \returns whether it may be given new work.
  bool isInService() const {
    return this->Phase == DrainPhase::InService ||
           this->Phase == DrainPhase::Returning;
  }
};

/// \returns the phase's name in the document.
std::string_view phaseName(DrainPhase Phase);

/// Reads and checks a document; "state" alone is enough.
/// \throws SettingsError with document, field and reason.
DrainDocument drainFromJson(const boost::json::value &Value,
                            const std::string &Where);

/// Writes the document that drainFromJson() reads.
boost::json::value toJson(const DrainDocument &Value);

} // namespace citronlever
