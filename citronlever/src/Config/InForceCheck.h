#pragma once

#include "citronlever/src/Config/ConfigMessages.h"
#include "citronlever/src/Config/ConfigSettings.h"
#include "citronlever/src/Config/DomainRoster.h"

#include <map>
#include <set>
#include <string>

namespace citronlever {

/// Finds out for an operator whether a revision is in force on every live
/// member, from the answers of the domains' collectors. "Everywhere" is only
/// told if the answers speak for exactly the members that are live here.
class InForceCheck {
public:
  explicit InForceCheck(std::uint64_t Revision) : Revision(Revision) {}

  std::uint64_t revision() const { return this->Revision; }

  /// Takes an answer; one about another revision changes nothing.
  void onAnswer(const RevisionReport &Answer);

  /// The members have changed; those that left without having been seen to
  /// have the revision are remembered.
  void onRosterChange(const RosterChange &Change);

  /// \returns how far the revision is in force on the members of \p Fleet.
  InForceResult result(const FleetRoster &Fleet);

  /// Most names of members that are gone.
  static constexpr std::size_t MaxDeparted = 64;

private:
  void addDomain(const DomainRoster &Roster, const RevisionReport &Answer,
                 InForceResult &Result);
  void addDeparted(const FleetRoster &Fleet, InForceResult &Result) const;
  /// \returns whether an answer names all that lack the revision.
  static bool listsAllLagging(const RevisionReport &Answer) {
    return Answer.LaggingCount == Answer.LaggingMembers.size();
  }

  std::uint64_t Revision;
  std::map<std::string, RevisionReport> Answers;
  /// Domains whose members below the revision were all among Named when the
  /// last result was taken, and have not changed since.
  std::set<std::string, std::less<>> SettledDomains;
  /// Members that lacked it when last heard of.
  std::set<std::string, std::less<>> KnownLagging;
};

} // namespace citronlever
