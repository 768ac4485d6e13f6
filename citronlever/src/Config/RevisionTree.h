#pragma once

#include "citronlever/src/Config/ConfigGossip.h"
#include "citronlever/src/Config/RevisionCollector.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>

namespace citronlever {

/// Who this member is in the collection of revisions, and its times.
struct RevisionTreeSettings {
  ConfigPeer Self;
  std::size_t MinGroupSize = 32;
  Duration ReportPeriod = Seconds(5);
  Duration SummaryDelay = Milliseconds(200);
  Duration PullDelay = Seconds(1);
  Duration PullPeriod = Milliseconds(500);
};

/// This member's part in the collection of revisions within its failure
/// domain: it reports its own revision to its group's collector, sums a group
/// up for the domain's collector, and answers for the domain, each where it is
/// the one chosen. Reports go out on a change and periodically; what does not
/// come is asked for while somebody waits for it. Not safe for several
/// threads.
class RevisionTree {
public:
  explicit RevisionTree(RevisionTreeSettings Settings);

  /// Sets the other live members, of all domains.
  ConfigMessages setPeers(std::span<const ConfigPeer> Live, TimePoint Now);

  /// Sets this member's own revision.
  ConfigMessages setRevision(std::uint64_t Revision, TimePoint Now);

  /// Sends what is due.
  ConfigMessages tick(TimePoint Now);

  /// \returns the time of the next tick() that has something to do.
  TimePoint nextDue() const;

  /// Takes any report but answers, which are for a InForceCheck.
  ConfigMessages onReport(const RevisionReport &Report, TimePoint Now);
  void onSummary(const RevisionSummary &Summary);

  /// Answers for the domain. \p Out gets the messages that ask for what is
  /// lacking.
  RevisionReport answerQuery(std::uint64_t Revision, TimePoint Now,
                             ConfigMessages &Out);

  /// \returns this member as a peer; it has no address.
  const ConfigPeer &self() const { return this->Settings.Self; }

  /// \returns the roster of this member's failure domain.
  const DomainRoster &roster() const { return this->Roster; }

  /// \returns this member's roles for people.
  boost::json::value dump() const;

private:
  /// A group that this member collects.
  struct CollectedGroup {
    TimePoint NextSummary;
    TimePoint LastPull;
    /// As sent last.
    MemberSetHash Counted;
    std::uint64_t Highest = 0;
    std::uint32_t BehindCount = 0;
  };
  bool isSelf(const ConfigPeer *Peer) const;
  bool collectsDomain() const { return this->isSelf(this->Roster.collector()); }
  void updateCollectedGroups(TimePoint Now, bool SendNow);
  ConfigMessage ownReport(const Endpoint &To) const;
  ConfigMessage makeReport(const Endpoint &To, RevisionReportKind Kind,
                           std::uint64_t Revision) const;
  void sendOwnReport(ConfigMessages &Out, TimePoint Now);
  void recordReport(std::string_view Name, std::uint64_t Identity,
                    std::uint64_t Revision, TimePoint Now);
  RevisionSummary summary(std::size_t Group);
  void sendSummary(std::size_t Group, CollectedGroup &Collected, TimePoint Now,
                   ConfigMessages &Out);
  void queryMembers(std::size_t Group, std::uint64_t Revision, TimePoint Now,
                    ConfigMessages &Out);
  void queryGroups(std::span<const std::size_t> Groups, std::uint64_t Revision,
                   TimePoint Now, ConfigMessages &Out);
  ConfigMessages onGroupQuery(std::uint64_t Revision, TimePoint Now);

  const RevisionTreeSettings Settings;
  const std::uint64_t Identity;
  std::uint64_t Revision = 0;
  std::uint64_t Sequence = 0;
  TimePoint NextReport;
  DomainRoster Roster;
  RevisionCollector Reports;
  DomainCollector Summaries;
  std::map<std::size_t, CollectedGroup> CollectedGroups;
  /// When each revision was first asked for, and when a group was asked.
  std::map<std::uint64_t, TimePoint> FirstQueries;
  std::map<std::size_t, TimePoint> LastGroupPull;
};

} // namespace citronlever
