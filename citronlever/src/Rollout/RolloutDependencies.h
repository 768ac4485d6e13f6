#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/Codec.h"
#include "citronlever/src/Wire/MessageType.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// A document of the current configuration.
struct StoredDocument {
  /// JSON text.
  std::string Body;
  std::uint64_t Revision = 0;
};

/// A change to a document, proposed by a controller.
struct DocumentChange {
  std::string Document;
  /// Revision that the document must have; 0 if it must not exist.
  std::uint64_t ExpectedRevision = 0;
  std::string Body;
};

/// Outcome of a proposed change.
struct ChangeResult {
  bool Accepted = false;
  /// Reason for the operator, if the change was not accepted.
  std::string Reason;
};

/// Functions that the rollout code needs from the rest of the process; provided
/// by the daemon.
struct RolloutDependencies {
  std::function<ConfigViewPtr()> Config;
  /// Whether the configuration is confirmed to be the current one.
  std::function<bool(TimePoint Now)> IsConfigCurrent;
  /// Whether this process has seen the store before it held any configuration.
  std::function<bool()> SawEmptyStore = [] { return false; };
  std::function<MemberViewPtr()> Members;
  /// A document of the current configuration; nothing if it does not exist.
  std::function<std::optional<StoredDocument>(std::string_view Name)> Document;
  /// Names of the documents in the current configuration with the given prefix.
  std::function<std::vector<std::string>(std::string_view Prefix)>
      DocumentNames;
  /// Proposes a change by compare-and-swap; the callback is called once.
  std::function<void(DocumentChange, std::function<void(ChangeResult)>)>
      ProposeChange;
  /// Sends a message to another member; messages may be lost silently.
  std::function<void(const Endpoint &To, MessageType Type, Bytes Body)> Send;
};

} // namespace citronlever
