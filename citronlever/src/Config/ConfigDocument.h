#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace citronlever {

/// Identifies and orders states of the configuration. The revision decides;
/// epoch and proposal id distinguish two histories that reached the same
/// revision.
struct ConfigHead {
  std::uint64_t Revision = 0;
  /// Incremented when members repair the store.
  std::uint64_t Epoch = 0;
  /// Id of the proposal that created this revision.
  std::string ProposalId;
  /// Random id created together with the store's log; an emptied store gets a
  /// new one.
  std::string Lineage;

  bool operator==(const ConfigHead &) const = default;
  std::strong_ordering operator<=>(const ConfigHead &Other) const {
    return std::tie(this->Revision, this->Epoch, this->ProposalId,
                    this->Lineage) <=> std::tie(Other.Revision, Other.Epoch,
                                                Other.ProposalId,
                                                Other.Lineage);
  }

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Revision, this->Epoch, this->ProposalId, this->Lineage);
  }
};

/// One configuration document as of its last change.
struct ConfigDocument {
  /// "<kind>/<name>", such as "services/search".
  std::string Name;
  /// Configuration revision at which this change was accepted.
  std::uint64_t Revision = 0;
  /// Unique id of the change; the key of the body in the store.
  std::string ProposalId;
  bool Removed = false;
  /// JSON text; empty if removed.
  std::string Body;

  bool operator==(const ConfigDocument &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Revision, this->ProposalId, this->Removed, this->Body);
  }
};

using ConfigDocumentPtr = std::shared_ptr<const ConfigDocument>;

/// One accepted change in the configuration log, without the document's body.
struct ConfigLogEntry {
  std::uint64_t Revision = 0;
  /// Name of the changed document.
  std::string Document;
  std::string ProposalId;
  bool Removed = false;
  /// The member that received the change from the operator.
  std::string ProposedBy;
  /// Wall-clock time in milliseconds since 1970; shown to operators, never used
  /// in decisions.
  std::uint64_t WallTimeMs = 0;

  bool operator==(const ConfigLogEntry &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Revision, this->Document, this->ProposalId, this->Removed,
       this->ProposedBy, this->WallTimeMs);
  }
};

/// Validates a document's name and body.
/// \throws SettingsError with document, field and reason.
void checkDocument(const std::string &Name, std::string_view Body);

} // namespace citronlever
