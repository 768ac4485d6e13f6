#pragma once

#include "citronlever/src/Config/ConfigMessages.h"
#include "citronlever/src/Config/ConfigSettings.h"
#include "citronlever/src/Config/DomainRoster.h"

#include <map>
#include <set>
#include <string>

namespace citronlever {

/// Determines whether a revision is in force on every live member, from the
/// answers of the failure domains' collectors. Reports "everywhere" only if the
/// answers cover exactly the members that are live in this process's view.
class InForceCheck {
public:
  explicit InForceCheck(std::uint64_t Revision) : Revision(Revision) {}

  std::uint64_t revision() const { return this->Revision; }

  /// Records a collector's answer; answers for other revisions are ignored.
  void onAnswer(const RevisionReport &Answer);

  /// Handles a membership change. Members that left before they were known to
  /// have the revision are recorded.
  void onRosterChange(const RosterChange &Change);

  /// \returns the extent to which the revision is in force on the members of \p
  /// Fleet.
  InForceResult result(const FleetRoster &Fleet);

  /// Maximum number of departed members that a result lists.
  static constexpr std::size_t MaxDeparted = 64;

private:
  void addDomain(const DomainRoster &Roster, const RevisionReport &Answer,
                 InForceResult &Result);
  void addDeparted(const FleetRoster &Fleet, InForceResult &Result) const;
  /// \returns whether an answer lists every member that lacks the revision.
  static bool listsAllLagging(const RevisionReport &Answer) {
    return Answer.LaggingCount == Answer.LaggingMembers.size();
  }

  std::uint64_t Revision;
  std::map<std::string, RevisionReport> Answers;
  /// Domains whose lagging members were all in KnownLagging at the last result,
  /// and whose members have not changed since.
  std::set<std::string, std::less<>> SettledDomains;
  /// Members that lacked the revision when they were last heard of.
  std::set<std::string, std::less<>> KnownLagging;
};

} // namespace citronlever
