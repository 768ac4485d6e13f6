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

/// A configuration document in force.
struct StoredDocument {
  /// JSON text.
  std::string Body;
  std::uint64_t Revision = 0;
};

/// A change of a document that a controller asks for.
struct DocumentChange {
  std::string Document;
  /// Revision that the document must have; 0: it must not be there.
  std::uint64_t ExpectedRevision = 0;
  std::string Body;
};

/// What became of a change.
struct ChangeResult {
  bool Accepted = false;
  /// For the operator, if it was not accepted.
  std::string Reason;
};

/// What rollouts need of the rest of the process; the daemon joins the parts.
struct RolloutDependencies {
  std::function<ConfigPtr()> Config;
  /// Whether the configuration is proved to be the one in force.
  std::function<bool(TimePoint Now)> IsConfigCurrent;
  /// Whether this process has seen the store before anything was configured.
  std::function<bool()> SawEmptyStore = [] { return false; };
  std::function<MemberViewPtr()> Members;
  /// A document in force, or nothing if there is none of that name.
  std::function<std::optional<StoredDocument>(std::string_view Name)> Document;
  /// Names of the documents in force that begin with a prefix.
  std::function<std::vector<std::string>(std::string_view Prefix)>
      DocumentNames;
  /// Asks for a change by compare-and-swap; the callback runs once.
  std::function<void(DocumentChange, std::function<void(ChangeResult)>)>
      ProposeChange;
  /// Sends to another member, which may fail without a word.
  std::function<void(const Endpoint &To, MessageType Type, Bytes Body)> Send;
};

} // namespace citronlever
