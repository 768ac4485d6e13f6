#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>

namespace citronlever {

/// What orders two states of the configuration. The revision decides; epoch
/// and proposal tell apart two histories that reached the same revision.
struct ConfigHead {
  std::uint64_t Revision = 0;
  /// Rises when members repair the store.
  std::uint64_t Epoch = 0;
  /// Proposal id of the change that made this revision.
  std::string ProposalId;
  /// Made at random with the store's log; an emptied store gets another.
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

/// One document as of its last change.
struct ConfigDocument {
  std::string Name;
  /// Configuration revision at which this change was accepted.
  std::uint64_t Revision = 0;
  /// Unique id of the change; the store keeps the body under it.
  std::string ProposalId;
  bool Removed = false;
  /// JSON text; empty when removed.
  std::string Body;

  bool operator==(const ConfigDocument &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Revision, this->ProposalId, this->Removed, this->Body);
  }
};

using ConfigDocumentPtr = std::shared_ptr<const ConfigDocument>;

/// One accepted change, without its body.
struct ConfigLogEntry {
  std::uint64_t Revision = 0;
  std::string Document;
  std::string ProposalId;
  bool Removed = false;
  /// The member that took the change from the operator.
  std::string ProposedBy;
  /// Wall-clock time in milliseconds since 1970, for people only.
  std::uint64_t WallTimeMs = 0;

  bool operator==(const ConfigLogEntry &) const = default;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Revision, this->Document, this->ProposalId, this->Removed,
       this->ProposedBy, this->WallTimeMs);
  }
};

/// Checks a document's name and body.
/// \throws SettingsError with document, field and reason.
void checkDocument(const std::string &Name, std::string_view Body);

} // namespace citronlever
