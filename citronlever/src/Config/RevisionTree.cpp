#include "citronlever/src/Config/RevisionTree.h"

#include "citronlever/src/Core/Event.h"

#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace {

/// Maximum number of revisions for which the time of the first query is kept.
constexpr std::size_t MaxFirstQueries = 64;

} // namespace

RevisionTree::RevisionTree(RevisionTreeSettings Given)
    : Settings(std::move(Given)), Identity(identityOf(this->Settings.Self)),
      Roster(this->Settings.MinGroupSize) {
  this->Roster.update({this->Settings.Self}, {});
  this->updateCollectedGroups({}, true);
}

bool RevisionTree::isSelf(const ConfigPeer *Peer) const {
  return Peer && Peer->Name == this->Settings.Self.Name;
}

ConfigMessage RevisionTree::makeReport(const Endpoint &To,
                                       RevisionReportKind Kind,
                                       std::uint64_t OfRevision) const {
  RevisionReport Report;
  Report.Kind = Kind;
  Report.From = this->Settings.Self.Name;
  Report.Incarnation = this->Settings.Self.Incarnation;
  Report.Revision = OfRevision;
  return {To, MessageType::RevisionReport, encode(Report)};
}

ConfigMessage RevisionTree::ownReport(const Endpoint &To) const {
  return this->makeReport(To, RevisionReportKind::Own, this->Revision);
}

void RevisionTree::sendOwnReport(ConfigMessages &Out, TimePoint Now) {
  this->NextReport = Now + this->Settings.ReportPeriod;
  const ConfigPeer *To = this->Roster.groupCollector(
      this->Roster.groupOf(this->Settings.Self.Name));
  if (To && !this->isSelf(To))
    Out.push_back(this->ownReport(To->Address));
}

ConfigMessages RevisionTree::setPeers(std::span<const ConfigPeer> Live,
                                      TimePoint Now) {
  ConfigMessages Out;
  std::vector<ConfigPeer> Members =
      peersInDomain(Live, this->Settings.Self.Domain);
  Members.push_back(this->Settings.Self);
  if (std::ranges::equal(Members, this->Roster.members()))
    return Out;
  const auto Collectors = [this] {
    const std::size_t Group = this->Roster.groupOf(this->Settings.Self.Name);
    return std::pair(identityOf(*this->Roster.groupCollector(Group)),
                     identityOf(*this->Roster.collector()));
  };
  const auto Before = Collectors();
  const bool Collected = this->collectsDomain();
  this->Roster.update(std::move(Members), Now);
  const auto After = Collectors();
  if (Collected != this->collectsDomain())
    logEvent(event::CollectorChanged, this->Settings.Self.Domain,
             Collected ? "given up to" : "taken up by",
             this->Roster.collector()->Name);
  this->Reports.prune(this->Roster, Now);
  this->Summaries.prune(this->Roster);
  this->updateCollectedGroups(Now, Before.second != After.second);
  if (Before.first != After.first)
    this->sendOwnReport(Out, Now);
  return Out;
}

void RevisionTree::updateCollectedGroups(TimePoint Now, bool SendNow) {
  std::map<std::size_t, CollectedGroup> Kept;
  for (std::size_t Group = 0; Group < this->Roster.groupCount(); ++Group) {
    if (!this->isSelf(this->Roster.groupCollector(Group)))
      continue;
    const auto Had = this->CollectedGroups.find(Group);
    const bool New = Had == this->CollectedGroups.end();
    CollectedGroup &Collected = Kept[Group];
    if (!New)
      Collected = Had->second;
    const RevisionSummary Current = this->Reports.summary(this->Roster, Group);
    if (New || SendNow)
      Collected.NextSummary = Now;
    else if (Collected.Counted != Current.Counted)
      Collected.NextSummary =
          std::min(Collected.NextSummary, Now + this->Settings.SummaryDelay);
  }
  this->CollectedGroups = std::move(Kept);
}

ConfigMessages RevisionTree::setRevision(std::uint64_t NewRevision,
                                         TimePoint Now) {
  ConfigMessages Out;
  this->Revision = NewRevision;
  this->recordReport(this->Settings.Self.Name, this->Identity, NewRevision,
                     Now);
  this->sendOwnReport(Out, Now);
  return Out;
}

void RevisionTree::recordReport(std::string_view Name,
                                std::uint64_t ProcessIdentity,
                                std::uint64_t NewRevision, TimePoint Now) {
  this->Reports.record(ProcessIdentity, NewRevision, Now);
  const auto Found = this->CollectedGroups.find(this->Roster.groupOf(Name));
  if (Found == this->CollectedGroups.end())
    return;
  CollectedGroup &Group = Found->second;
  const RevisionSummary Current =
      this->Reports.summary(this->Roster, Found->first);
  if (Current.Highest == Group.Highest &&
      Current.BehindCount == Group.BehindCount &&
      Current.Counted == Group.Counted)
    return;
  // Once every member has reported, the summary is sent without delay.
  Group.NextSummary = std::min(
      Group.NextSummary,
      Current.BehindCount == 0 ? Now : Now + this->Settings.SummaryDelay);
}

RevisionSummary RevisionTree::summary(std::size_t Group) {
  RevisionSummary Result = this->Reports.summary(this->Roster, Group);
  Result.From = this->Settings.Self.Name;
  Result.Incarnation = this->Settings.Self.Incarnation;
  Result.Sequence = ++this->Sequence;
  return Result;
}

void RevisionTree::sendSummary(std::size_t Group, CollectedGroup &Collected,
                               TimePoint Now, ConfigMessages &Out) {
  const RevisionSummary Summary = this->summary(Group);
  Collected.NextSummary = Now + this->Settings.ReportPeriod;
  Collected.Counted = Summary.Counted;
  Collected.Highest = Summary.Highest;
  Collected.BehindCount = Summary.BehindCount;
  // The domain's collector evaluates its own groups when it is queried.
  const ConfigPeer *To = this->Roster.collector();
  if (!this->isSelf(To))
    Out.push_back({To->Address, MessageType::RevisionSummary, encode(Summary)});
}

ConfigMessages RevisionTree::tick(TimePoint Now) {
  ConfigMessages Out;
  if (Now >= this->NextReport)
    this->sendOwnReport(Out, Now);
  for (auto &[Group, Collected] : this->CollectedGroups)
    if (Now >= Collected.NextSummary)
      this->sendSummary(Group, Collected, Now, Out);
  return Out;
}

TimePoint RevisionTree::nextDue() const {
  TimePoint Result = this->NextReport;
  for (const auto &[Group, Collected] : this->CollectedGroups)
    Result = std::min(Result, Collected.NextSummary);
  return Result;
}

void RevisionTree::onSummary(const RevisionSummary &Summary) {
  this->Summaries.record(Summary);
}

ConfigMessages RevisionTree::onReport(const RevisionReport &Report,
                                      TimePoint Now) {
  ConfigMessages Out;
  switch (Report.Kind) {
  case RevisionReportKind::Own:
    this->recordReport(Report.From, hashOf(Report.From, Report.Incarnation),
                       Report.Revision, Now);
    return Out;
  case RevisionReportKind::Query:
    // A member that is not the collector has no summaries and could only report
    // the whole domain as lagging.
    if (this->collectsDomain()) {
      const RevisionReport Reply = this->answerQuery(Report.Revision, Now, Out);
      Out.push_back({{}, MessageType::RevisionReport, encode(Reply)});
    }
    return Out;
  case RevisionReportKind::GroupQuery:
    return this->onGroupQuery(Report.Revision, Now);
  case RevisionReportKind::OwnQuery:
    Out.push_back(this->ownReport({}));
    return Out;
  case RevisionReportKind::Answer:
    return Out;
  }
  return Out;
}

ConfigMessages RevisionTree::onGroupQuery(std::uint64_t Wanted, TimePoint Now) {
  ConfigMessages Out;
  for (const auto &[Group, Collected] : this->CollectedGroups) {
    Out.push_back(
        {{}, MessageType::RevisionSummary, encode(this->summary(Group))});
    this->queryMembers(Group, Wanted, Now, Out);
  }
  return Out;
}

void RevisionTree::queryMembers(std::size_t Group, std::uint64_t Wanted,
                                TimePoint Now, ConfigMessages &Out) {
  CollectedGroup &Collected = this->CollectedGroups[Group];
  if (Collected.LastPull + this->Settings.PullPeriod > Now)
    return;
  Collected.LastPull = Now;
  for (const ConfigPeer *Peer :
       this->Reports.membersBelow(this->Roster, Group, Wanted))
    if (!this->isSelf(Peer))
      Out.push_back(this->makeReport(Peer->Address,
                                     RevisionReportKind::OwnQuery, Wanted));
}

void RevisionTree::queryGroups(std::span<const std::size_t> Groups,
                               std::uint64_t Wanted, TimePoint Now,
                               ConfigMessages &Out) {
  const TimePoint First =
      this->FirstQueries.try_emplace(Wanted, Now).first->second;
  if (this->FirstQueries.size() > MaxFirstQueries)
    this->FirstQueries.erase(this->FirstQueries.begin());
  if (Now < First + this->Settings.PullDelay)
    return;
  for (const std::size_t Group : Groups) {
    const ConfigPeer *To = this->Roster.groupCollector(Group);
    if (this->isSelf(To)) {
      this->queryMembers(Group, Wanted, Now, Out);
      continue;
    }
    TimePoint &Pulled = this->LastGroupPull[Group];
    if (Pulled + this->Settings.PullPeriod > Now)
      continue;
    Pulled = Now;
    Out.push_back(
        this->makeReport(To->Address, RevisionReportKind::GroupQuery, Wanted));
  }
}

RevisionReport RevisionTree::answerQuery(std::uint64_t Wanted, TimePoint Now,
                                         ConfigMessages &Out) {
  for (const auto &[Group, Collected] : this->CollectedGroups)
    this->Summaries.record(this->summary(Group));
  DomainRevisionStatus Status = this->Summaries.evaluate(this->Roster, Wanted);
  this->queryGroups(Status.LaggingGroups, Wanted, Now, Out);
  Status.Answer.From = this->Settings.Self.Name;
  Status.Answer.Incarnation = this->Settings.Self.Incarnation;
  Status.Answer.Domain = this->Settings.Self.Domain;
  return Status.Answer;
}

boost::json::value RevisionTree::dump() const {
  boost::json::array Groups;
  for (const auto &[Group, Collected] : this->CollectedGroups)
    Groups.push_back({{"group", Group},
                      {"members", Collected.Counted.Count},
                      {"highest", Collected.Highest},
                      {"behind", Collected.BehindCount}});
  const ConfigPeer *Domain = this->Roster.collector();
  const ConfigPeer *Own = this->Roster.groupCollector(
      this->Roster.groupOf(this->Settings.Self.Name));
  return {{"domain_collector", Domain ? Domain->Name : ""},
          {"group_collector", Own ? Own->Name : ""},
          {"groups_of_domain", this->Roster.groupCount()},
          {"groups_collected", std::move(Groups)},
          {"summaries_held", this->Summaries.size()}};
}

} // namespace citronlever
