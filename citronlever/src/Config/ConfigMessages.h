#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/MemberSetHash.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// The sender's head (MessageType::ConfigDigest).
struct ConfigDigest {
  std::string From;
  std::string Vm;
  ConfigHead Head;
  /// Requests the receiver's digest in return.
  bool WantReply = false;
  /// Answers a digest with WantReply set, which shows that the link works in
  /// both directions.
  bool Reply = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Vm, this->Head, this->WantReply, this->Reply);
  }
};

/// Requests the changes that the sender lacks (MessageType::ConfigPull).
struct ConfigPull {
  ConfigHead Mine;
  /// Highest document revision received in earlier parts of this pull.
  std::uint64_t Cursor = 0;
  /// Earlier parts belonged to a full transfer.
  bool Full = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Mine, this->Cursor, this->Full);
  }
};

/// One part of a transfer: documents ordered by revision
/// (MessageType::ConfigDelta).
struct ConfigDelta {
  /// The head that the receiver reaches after the last part.
  ConfigHead Target;
  /// The parts form the whole configuration rather than the changes since the
  /// puller's head.
  bool Full = false;
  bool More = false;
  std::vector<ConfigDocument> Documents;
  /// Sent with the last part only.
  std::vector<ConfigLogEntry> History;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target, this->Full, this->More, this->Documents, this->History);
  }
};

/// Type of a revision report.
enum class RevisionReportKind : std::uint8_t {
  /// A member reports its own revision to its group's collector.
  Own = 0,
  /// A member asks a domain's collector which members lack a revision.
  Query = 1,
  /// The domain collector's answer to Query.
  Answer = 2,
  /// A domain's collector requests a group's summary from its collector.
  GroupQuery = 3,
  /// A group's collector requests a member's revision.
  OwnQuery = 4
};

/// Report or query of members' revisions (MessageType::RevisionReport).
struct RevisionReport {
  RevisionReportKind Kind = RevisionReportKind::Own;
  std::string From;
  /// Incarnation of the sending process.
  std::uint64_t Incarnation = 0;
  /// Own: the member's revision. Other kinds: the revision in question.
  std::uint64_t Revision = 0;
  /// Answer only: the domain, the lowest revision of its members, the members
  /// covered by the answer, and those not known to have the revision.
  std::string Domain;
  std::uint64_t LowestRevision = 0;
  MemberSetHash Counted;
  std::uint32_t LaggingCount = 0;
  std::vector<std::string> LaggingMembers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->From, this->Incarnation, this->Revision, this->Domain,
       this->LowestRevision, this->Counted, this->LaggingCount,
       this->LaggingMembers);
  }
};

/// A process whose revision is below the highest of its group.
struct MemberBehind {
  std::uint64_t Identity = 0;
  std::uint64_t Revision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Identity, this->Revision);
  }
};

/// Revisions of one group's members, sent by the group's collector to the
/// domain's collector (MessageType::RevisionSummary).
struct RevisionSummary {
  std::string From;
  /// Incarnation of the sending process, and a number that it increments with
  /// each summary.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Index of the group, and the number of groups in the domain.
  std::uint32_t Group = 0;
  std::uint32_t Groups = 1;
  /// The members covered by the summary. All of them have revision Highest
  /// except those that are behind.
  MemberSetHash Counted;
  std::uint64_t Highest = 0;
  std::uint32_t BehindCount = 0;
  /// Members with a lower revision than Highest; may be fewer than BehindCount.
  std::vector<MemberBehind> Behind;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Incarnation, this->Sequence, this->Group, this->Groups,
       this->Counted, this->Highest, this->BehindCount, this->Behind);
  }
};

} // namespace citronlever
