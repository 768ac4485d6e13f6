#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <string>

namespace citronlever {

/// Drain phase of a failure domain or VM.
enum class DrainPhase : std::uint8_t {
  /// Serves requests; no drain in progress.
  InService,
  /// Gets no new requests; requests in flight may finish.
  Draining,
  /// Out of service, with no request in flight.
  Drained,
  /// Serves requests again with a rising share of its load.
  Returning
};

/// Drain state of a failure domain or VM: the document `domains/<name>` or
/// `vms/<name>`.
struct DrainDocument {
  DrainPhase Phase = DrainPhase::InService;
  /// Time since the phase began, as of the last write.
  Duration Elapsed{};
  /// Why the last drain was refused or aborted; empty otherwise.
  std::string Reason;
  /// Revision of the lease of the controller that wrote this document.
  std::uint64_t FencingToken = 0;

  bool operator==(const DrainDocument &) const = default;

  /// \returns whether it may get new requests.
  bool isInService() const {
    return this->Phase == DrainPhase::InService ||
           this->Phase == DrainPhase::Returning;
  }
};

/// \returns the phase's name in the document.
std::string_view phaseName(DrainPhase Phase);

/// Parses and validates a drain document. All fields but "state" are optional.
/// \throws SettingsError naming document, field and reason.
DrainDocument drainFromJson(const boost::json::value &Value,
                            const std::string &Where);

/// Serializes a document in the format that drainFromJson() parses.
boost::json::value toJson(const DrainDocument &Value);

} // namespace citronlever
