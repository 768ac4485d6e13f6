#pragma once

#include "citronlever/src/Config/ConfigMessages.h"
#include "citronlever/src/Config/DomainRoster.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace citronlever {

/// Gathers the revisions that the members of a group have in force.
class RevisionCollector {
public:
  /// Takes a process's revision. Late and doubled reports change nothing: the
  /// revision of a process never falls. Processes that are not in the roster
  /// are remembered too, since they may know of their join before this one.
  void record(std::uint64_t Identity, std::uint64_t Revision, TimePoint Now);

  /// Forgets processes that are not live and have not reported for long.
  void prune(const DomainRoster &Roster, TimePoint Now);

  /// \returns what the live members of a group have; the sender's fields are
  /// left open.
  RevisionSummary summary(const DomainRoster &Roster, std::size_t Group) const;

  /// \returns the members of a group that are not known to have \p Revision.
  std::vector<const ConfigPeer *> membersBelow(const DomainRoster &Roster,
                                               std::size_t Group,
                                               std::uint64_t Revision) const;

  /// Most processes that a summary lists.
  static constexpr std::size_t MaxBehind = 64;
  /// Time for which the report of an unknown process is kept.
  static constexpr Duration UnknownRetention = Seconds(30);

private:
  struct Report {
    std::uint64_t Revision = 0;
    TimePoint At;
  };
  std::uint64_t revisionOf(std::uint64_t Identity) const;

  std::map<std::uint64_t, Report> Reports;
};

/// What a domain's collector knows about one revision.
struct DomainRevisionStatus {
  RevisionReport Answer;
  /// Groups with members that are not known to have it.
  std::vector<std::size_t> LaggingGroups;
};

/// Joins the summaries of a failure domain's groups.
class DomainCollector {
public:
  /// Takes a summary; an older one of the same process changes nothing.
  void record(const RevisionSummary &Summary);

  /// Forgets summaries of processes that are not live.
  void prune(const DomainRoster &Roster);

  /// \returns who has \p Revision. A group counts by the summary of the member
  /// that is its collector in \p Roster; a member that no summary speaks for
  /// lacks every revision.
  DomainRevisionStatus evaluate(const DomainRoster &Roster,
                                std::uint64_t Revision) const;

  /// \returns the number of summaries held.
  std::size_t size() const { return this->Summaries.size(); }

  /// Most names that an answer lists.
  static constexpr std::size_t MaxLaggingNames = 64;

private:
  using SummaryKey = std::pair<std::uint64_t, std::uint32_t>;
  class Tally;
  const RevisionSummary *summaryOf(const DomainRoster &Roster,
                                   std::size_t Group) const;

  /// By the collector's identity, and the group.
  std::map<SummaryKey, RevisionSummary> Summaries;
};

} // namespace citronlever
