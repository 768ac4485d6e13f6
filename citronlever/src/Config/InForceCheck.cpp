#include "citronlever/src/Config/InForceCheck.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace citronlever {

void InForceCheck::onAnswer(const RevisionReport &Answer) {
  if (Answer.Revision == this->Revision)
    this->Answers[Answer.Domain] = Answer;
}

void InForceCheck::onRosterChange(const RosterChange &Change) {
  for (const ConfigPeer &Peer : Change.Left)
    if (!this->SettledDomains.contains(Peer.Domain))
      this->KnownLagging.insert(Peer.Name);
  for (const std::string &Domain : Change.Domains)
    this->SettledDomains.erase(Domain);
}

InForceResult InForceCheck::result(const FleetRoster &Fleet) {
  InForceResult Result;
  Result.Revision = this->Revision;
  Result.LowestRevision = std::numeric_limits<std::uint64_t>::max();
  this->SettledDomains.clear();
  for (const auto &[Domain, Roster] : Fleet.domains()) {
    const auto Answer = this->Answers.find(Domain);
    Result.Members += Roster.memberSet().Count;
    if (Answer != this->Answers.end()) {
      this->addDomain(Roster, Answer->second, Result);
      continue;
    }
    Result.SilentDomains.push_back(Domain);
    Result.LaggingMembers.push_back(Roster.collector()->Name);
    ++Result.LaggingCount;
  }
  if (Result.LowestRevision == std::numeric_limits<std::uint64_t>::max())
    Result.LowestRevision = 0;
  this->KnownLagging.insert(Result.LaggingMembers.begin(),
                            Result.LaggingMembers.end());
  this->addDeparted(Fleet, Result);
  Result.Everywhere =
      Result.LaggingCount == 0 && Result.UnsettledDomains.empty();
  // An answer's lowest revision may belong to a member that has left since.
  if (Result.Everywhere)
    Result.LowestRevision = std::max(Result.LowestRevision, this->Revision);
  return Result;
}

void InForceCheck::addDomain(const DomainRoster &Roster,
                             const RevisionReport &Answer,
                             InForceResult &Result) {
  Result.LowestRevision =
      std::min(Result.LowestRevision, Answer.LowestRevision);
  std::set<std::string_view> Live;
  if (!this->KnownLagging.empty() || !Answer.LaggingMembers.empty())
    for (const ConfigPeer &Peer : Roster.members())
      Live.insert(Peer.Name);
  const auto Missing = Roster.missingFrom(Answer.Counted);
  if (!Missing)
    Result.UnsettledDomains.push_back(Roster.members().front().Domain);
  else if (listsAllLagging(Answer)) {
    this->SettledDomains.insert(Answer.Domain);
    std::erase_if(this->KnownLagging, [&Live](const std::string &Name) {
      return Live.contains(Name);
    });
  }
  Result.LaggingCount += Answer.LaggingCount;
  for (const std::string &Name : Answer.LaggingMembers) {
    if (Live.contains(Name)) {
      Result.LaggingMembers.push_back(Name);
    } else {
      --Result.LaggingCount;
      this->KnownLagging.insert(Name);
    }
  }
  if (!Missing)
    return;
  for (const ConfigPeer *Peer : *Missing) {
    Result.LaggingMembers.push_back(Peer->Name);
    ++Result.LaggingCount;
  }
}

void InForceCheck::addDeparted(const FleetRoster &Fleet,
                               InForceResult &Result) const {
  std::set<std::string_view> Live;
  for (const auto &[Domain, Roster] : Fleet.domains())
    for (const ConfigPeer &Peer : Roster.members())
      Live.insert(Peer.Name);
  for (const std::string &Name : this->KnownLagging) {
    if (Live.contains(Name))
      continue;
    ++Result.DepartedCount;
    if (Result.DepartedMembers.size() < MaxDeparted)
      Result.DepartedMembers.push_back(Name);
  }
}

} // namespace citronlever
