#include "citronlever/src/Config/InForceCheck.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace citronlever {

void InForceCheck::onAnswer(const RevisionReport &Answer) {
  if (Answer.Revision == this->Revision)
    this->Answers[Answer.Domain] = Answer;
}

void InForceCheck::onChange(const RosterChange &Change) {
  for (const ConfigPeer &Each : Change.Left)
    if (!this->Settled.contains(Each.Domain))
      this->Named.insert(Each.Name);
  for (const std::string &Domain : Change.Domains)
    this->Settled.erase(Domain);
}

InForceResult InForceCheck::result(const FleetRoster &Fleet) {
  InForceResult Result;
  Result.Revision = this->Revision;
  Result.Lowest = std::numeric_limits<std::uint64_t>::max();
  this->Settled.clear();
  for (const auto &[Domain, Roster] : Fleet.domains()) {
    const auto Answer = this->Answers.find(Domain);
    Result.Members += Roster.sum().Count;
    if (Answer != this->Answers.end()) {
      this->addDomain(Roster, Answer->second, Result);
      continue;
    }
    Result.Silent.push_back(Domain);
    Result.Lacking.push_back(Roster.collector()->Name);
    ++Result.LackingCount;
  }
  if (Result.Lowest == std::numeric_limits<std::uint64_t>::max())
    Result.Lowest = 0;
  this->Named.insert(Result.Lacking.begin(), Result.Lacking.end());
  this->addGone(Fleet, Result);
  Result.Everywhere = Result.LackingCount == 0 && Result.Unsettled.empty();
  // Members that have left may have been below it.
  if (Result.Everywhere)
    Result.Lowest = std::max(Result.Lowest, this->Revision);
  return Result;
}

void InForceCheck::addDomain(const DomainRoster &Roster,
                             const RevisionReport &Answer,
                             InForceResult &Result) {
  Result.Lowest = std::min(Result.Lowest, Answer.Lowest);
  std::set<std::string_view> Live;
  if (!this->Named.empty() || !Answer.Lacking.empty())
    for (const ConfigPeer &Each : Roster.members())
      Live.insert(Each.Name);
  const auto Missing = Roster.missing(Answer.Counted);
  if (!Missing)
    Result.Unsettled.push_back(Roster.members().front().Domain);
  else if (whole(Answer)) {
    this->Settled.insert(Answer.Domain);
    std::erase_if(this->Named, [&Live](const std::string &Name) {
      return Live.contains(Name);
    });
  }
  Result.LackingCount += Answer.LackingCount;
  for (const std::string &Name : Answer.Lacking) {
    if (Live.contains(Name)) {
      Result.Lacking.push_back(Name);
    } else {
      --Result.LackingCount;
      this->Named.insert(Name);
    }
  }
  if (!Missing)
    return;
  for (const ConfigPeer *Each : *Missing) {
    Result.Lacking.push_back(Each->Name);
    ++Result.LackingCount;
  }
}

void InForceCheck::addGone(const FleetRoster &Fleet,
                           InForceResult &Result) const {
  std::set<std::string_view> Live;
  for (const auto &[Domain, Roster] : Fleet.domains())
    for (const ConfigPeer &Each : Roster.members())
      Live.insert(Each.Name);
  for (const std::string &Name : this->Named) {
    if (Live.contains(Name))
      continue;
    ++Result.GoneCount;
    if (Result.Gone.size() < MaxGone)
      Result.Gone.push_back(Name);
  }
}

} // namespace citronlever
