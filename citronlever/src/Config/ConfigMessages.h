#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/MemberSetHash.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// What a member has (MessageType::ConfigDigest).
struct ConfigDigest {
  std::string From;
  std::string Vm;
  ConfigHead Head;
  /// Asks for the other member's digest.
  bool WantReply = false;
  /// Answers a digest that asked for one, so both ways work.
  bool Reply = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Vm, this->Head, this->WantReply, this->Reply);
  }
};

/// Asks for what the sender lacks (MessageType::ConfigPull).
struct ConfigPull {
  ConfigHead Mine;
  /// Last document revision got in earlier parts of this pull.
  std::uint64_t Cursor = 0;
  /// Earlier parts were of the whole configuration.
  bool Full = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Mine, this->Cursor, this->Full);
  }
};

/// Documents in order of revision (MessageType::ConfigDelta).
struct ConfigDelta {
  /// The state that the last part completes.
  ConfigHead Target;
  /// The parts make the whole configuration, not what changed since.
  bool Full = false;
  bool More = false;
  std::vector<ConfigDocument> Documents;
  /// With the last part only.
  std::vector<ConfigLogEntry> History;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Target, this->Full, this->More, this->Documents, this->History);
  }
};

/// What the report carries.
enum class RevisionReportKind : std::uint8_t {
  /// A member tells its group's collector its own revision.
  Own = 0,
  /// A member asks a domain's collector who lacks a revision.
  Query = 1,
  /// The domain's collector's answer.
  Answer = 2,
  /// A domain's collector asks a group's collector for its summary.
  GroupQuery = 3,
  /// A group's collector asks a member for its revision.
  OwnQuery = 4
};

/// Who has which revision (MessageType::RevisionReport).
struct RevisionReport {
  RevisionReportKind Kind = RevisionReportKind::Own;
  std::string From;
  /// Of the sender's process.
  std::uint64_t Incarnation = 0;
  /// Own: the member's revision. Others: the revision asked about.
  std::uint64_t Revision = 0;
  /// Answer: the domain, the members that are spoken for, their lowest
  /// revision and who of them is below the one asked.
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

/// A process below the highest revision of its group.
struct MemberBehind {
  std::uint64_t Identity = 0;
  std::uint64_t Revision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Identity, this->Revision);
  }
};

/// What the members of one group have, from the group's collector to the
/// domain's (MessageType::RevisionSummary).
struct RevisionSummary {
  std::string From;
  /// Of the sender's process, and rising with each of its summaries.
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  /// Which group, of how many.
  std::uint32_t Group = 0;
  std::uint32_t Groups = 1;
  /// The members that are spoken for: they have the revision Highest, but for
  /// those behind.
  MemberSetHash Counted;
  std::uint64_t Highest = 0;
  std::uint32_t BehindCount = 0;
  /// At most some of them.
  std::vector<MemberBehind> Behind;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Incarnation, this->Sequence, this->Group, this->Groups,
       this->Counted, this->Highest, this->BehindCount, this->Behind);
  }
};

} // namespace citronlever
