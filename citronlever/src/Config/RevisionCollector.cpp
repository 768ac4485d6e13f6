#include "citronlever/src/Config/RevisionCollector.h"

#include <algorithm>
#include <limits>

namespace citronlever {

void RevisionCollector::record(std::uint64_t Identity, std::uint64_t Revision,
                               TimePoint Now) {
  Report &Known = this->Reports[Identity];
  Known.Revision = std::max(Known.Revision, Revision);
  Known.At = Now;
}

void RevisionCollector::prune(const DomainRoster &Roster, TimePoint Now) {
  std::erase_if(this->Reports, [&](const auto &Known) {
    return Known.second.At + UnknownRetention < Now &&
           !Roster.find(Known.first);
  });
}

std::uint64_t RevisionCollector::revisionOf(std::uint64_t Identity) const {
  const auto Known = this->Reports.find(Identity);
  return Known == this->Reports.end() ? 0 : Known->second.Revision;
}

RevisionSummary RevisionCollector::summary(const DomainRoster &Roster,
                                           std::size_t Group) const {
  RevisionSummary Result;
  Result.Group = static_cast<std::uint32_t>(Group);
  Result.Groups = static_cast<std::uint32_t>(Roster.groupCount());
  for (const std::uint32_t Member : Roster.group(Group))
    Result.Highest =
        std::max(Result.Highest, this->revisionOf(Roster.identity(Member)));
  for (const std::uint32_t Member : Roster.group(Group)) {
    const std::uint64_t Identity = Roster.identity(Member);
    Result.Counted.add(Identity);
    const std::uint64_t Has = this->revisionOf(Identity);
    if (Has == Result.Highest)
      continue;
    ++Result.BehindCount;
    if (Result.Behind.size() < MaxBehind)
      Result.Behind.push_back({Identity, Has});
  }
  return Result;
}

std::vector<const ConfigPeer *>
RevisionCollector::membersBelow(const DomainRoster &Roster, std::size_t Group,
                                std::uint64_t Revision) const {
  std::vector<const ConfigPeer *> Result;
  for (const std::uint32_t Member : Roster.group(Group))
    if (this->revisionOf(Roster.identity(Member)) < Revision)
      Result.push_back(&Roster.members()[Member]);
  return Result;
}

void DomainCollector::record(const RevisionSummary &Summary) {
  const std::uint64_t From = hashOf(Summary.From, Summary.Incarnation);
  RevisionSummary &Known = this->Summaries[{From, Summary.Group}];
  if (Known.Sequence <= Summary.Sequence)
    Known = Summary;
}

void DomainCollector::prune(const DomainRoster &Roster) {
  std::erase_if(this->Summaries, [&](const auto &Known) {
    return !Roster.find(Known.first.first);
  });
}

const RevisionSummary *DomainCollector::summaryOf(const DomainRoster &Roster,
                                                  std::size_t Group) const {
  const ConfigPeer *Collector = Roster.groupCollector(Group);
  if (!Collector)
    return nullptr;
  const auto Known = this->Summaries.find(
      {identityOf(*Collector), static_cast<std::uint32_t>(Group)});
  if (Known == this->Summaries.end() ||
      Known->second.Groups != Roster.groupCount())
    return nullptr;
  return &Known->second;
}

/// Adds up the groups of a domain for one revision.
class DomainCollector::Tally {
public:
  Tally(const DomainRoster &Roster, RevisionReport &Answer)
      : Roster(Roster), Answer(Answer) {}

  /// \returns whether the whole group has the revision.
  bool add(const RevisionSummary *Summary, std::size_t Group) {
    const std::uint32_t Before = this->Answer.LaggingCount;
    const auto Missing = Summary
                             ? this->Roster.missingFrom(Summary->Counted, Group)
                             : std::nullopt;
    if (!Missing) {
      this->lowerTo(0);
      this->addWholeGroup(Group);
    } else if (Summary->Highest < this->Answer.Revision) {
      this->lowerTo(Missing->empty() ? lowestOf(*Summary) : 0);
      this->addWholeGroup(Group);
    } else {
      this->lowerTo(Missing->empty() ? lowestOf(*Summary) : 0);
      for (const ConfigPeer *Peer : *Missing)
        this->addLagging(Peer->Name);
      this->addBehind(*Summary);
    }
    return this->Answer.LaggingCount == Before;
  }

private:
  static std::uint64_t lowestOf(const RevisionSummary &Summary) {
    if (Summary.BehindCount > Summary.Behind.size())
      return 0;
    std::uint64_t Result = Summary.Highest;
    for (const MemberBehind &Behind : Summary.Behind)
      Result = std::min(Result, Behind.Revision);
    return Result;
  }

  void lowerTo(std::uint64_t Revision) {
    this->Answer.LowestRevision =
        std::min(this->Answer.LowestRevision, Revision);
  }

  void addWholeGroup(std::size_t Group) {
    for (const std::uint32_t Member : this->Roster.group(Group))
      this->addLagging(this->Roster.members()[Member].Name);
  }

  void addBehind(const RevisionSummary &Summary) {
    for (const MemberBehind &Behind : Summary.Behind) {
      if (Behind.Revision >= this->Answer.Revision)
        continue;
      // A member that has left in this view, but not yet in the group
      // collector's, is not counted.
      if (const ConfigPeer *Known = this->Roster.find(Behind.Identity))
        this->addLagging(Known->Name);
    }
    this->Answer.LaggingCount +=
        Summary.BehindCount - static_cast<std::uint32_t>(Summary.Behind.size());
  }

  void addLagging(const std::string &Name) {
    ++this->Answer.LaggingCount;
    if (this->Answer.LaggingMembers.size() < MaxLaggingNames)
      this->Answer.LaggingMembers.push_back(Name);
  }

  const DomainRoster &Roster;
  RevisionReport &Answer;
};

DomainRevisionStatus DomainCollector::evaluate(const DomainRoster &Roster,
                                               std::uint64_t Revision) const {
  DomainRevisionStatus Result;
  Result.Answer.Kind = RevisionReportKind::Answer;
  Result.Answer.Revision = Revision;
  Result.Answer.Counted = Roster.memberSet();
  Result.Answer.LowestRevision = std::numeric_limits<std::uint64_t>::max();
  Tally Sum(Roster, Result.Answer);
  for (std::size_t Group = 0; Group < Roster.groupCount(); ++Group)
    if (!Sum.add(this->summaryOf(Roster, Group), Group))
      Result.LaggingGroups.push_back(Group);
  return Result;
}

} // namespace citronlever
