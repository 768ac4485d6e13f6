#pragma once

#include "citronlever/src/Config/ConfigMessages.h"
#include "citronlever/src/Config/DomainRoster.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace citronlever {

/// Collects the revisions that the members of a group have in force.
class RevisionCollector {
public:
  /// Records the revision of a process. Late and duplicated reports have no
  /// effect, since a process's revision never decreases. Processes that are not
  /// in the roster are recorded too: a new process may report before its join
  /// is known here.
  void record(std::uint64_t Identity, std::uint64_t Revision, TimePoint Now);

  /// Discards processes that are not live and have not reported for
  /// UnknownRetention.
  void prune(const DomainRoster &Roster, TimePoint Now);

  /// \returns the revisions of a group's live members; the sender's fields are
  /// left unset.
  RevisionSummary summary(const DomainRoster &Roster, std::size_t Group) const;

  /// \returns the members of a group that are not known to have \p Revision.
  std::vector<const ConfigPeer *> membersBelow(const DomainRoster &Roster,
                                               std::size_t Group,
                                               std::uint64_t Revision) const;

  /// Maximum number of processes that a summary lists.
  static constexpr std::size_t MaxBehind = 64;
  /// Time for which the report of a process outside the roster is kept.
  static constexpr Duration UnknownRetention = Seconds(30);

private:
  struct Report {
    std::uint64_t Revision = 0;
    TimePoint At;
  };
  std::uint64_t revisionOf(std::uint64_t Identity) const;

  std::map<std::uint64_t, Report> Reports;
};

/// Extent to which a domain's members have one revision.
struct DomainRevisionStatus {
  RevisionReport Answer;
  /// Groups with members that are not known to have the revision.
  std::vector<std::size_t> LaggingGroups;
};

/// Combines the summaries of a failure domain's groups.
class DomainCollector {
public:
  /// Records a summary; one older than the last of the same process and group
  /// is ignored.
  void record(const RevisionSummary &Summary);

  /// Discards summaries of processes that are not live.
  void prune(const DomainRoster &Roster);

  /// \returns the members that have \p Revision. Each group is evaluated by the
  /// summary of its collector in \p Roster; a member that no summary covers is
  /// counted as lacking every revision.
  DomainRevisionStatus evaluate(const DomainRoster &Roster,
                                std::uint64_t Revision) const;

  /// \returns the number of summaries held.
  std::size_t size() const { return this->Summaries.size(); }

  /// Maximum number of names that an answer lists.
  static constexpr std::size_t MaxLaggingNames = 64;

private:
  using SummaryKey = std::pair<std::uint64_t, std::uint32_t>;
  class Tally;
  const RevisionSummary *summaryOf(const DomainRoster &Roster,
                                   std::size_t Group) const;

  /// By the identity of the group's collector, and the group.
  std::map<SummaryKey, RevisionSummary> Summaries;
};

} // namespace citronlever
