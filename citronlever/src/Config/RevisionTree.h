#pragma once

#include "citronlever/src/Config/ConfigGossip.h"
#include "citronlever/src/Config/RevisionCollector.h"

#include <boost/json/fwd.hpp>

#include <map>
#include <optional>
#include <span>
#include <string>

namespace citronlever {

/// Identity of this member in the aggregation of revisions, and its timing.
struct RevisionTreeSettings {
  ConfigPeer Self;
  std::size_t MinGroupSize = 32;
  Duration ReportPeriod = Seconds(5);
  Duration SummaryDelay = Milliseconds(200);
  Duration PullDelay = Seconds(1);
  Duration PullPeriod = Milliseconds(500);
};

/// This member's part in the aggregation tree of its failure domain, which
/// determines the revision that each member has in force. Each member reports
/// its revision to its group's collector; a group's collector sends summaries
/// to the domain's collector, which answers queries for the domain. Reports are
/// sent on a change and periodically; missing ones are requested while a query
/// is pending. Not thread-safe.
class RevisionTree {
public:
  explicit RevisionTree(RevisionTreeSettings Settings);

  /// Sets the other live members of all domains. \returns the messages to send.
  ConfigMessages setPeers(std::span<const ConfigPeer> Live, TimePoint Now);

  /// Sets this member's own revision. \returns the messages to send.
  ConfigMessages setRevision(std::uint64_t Revision, TimePoint Now);

  /// \returns the periodic reports and summaries that are due.
  ConfigMessages tick(TimePoint Now);

  /// \returns the time at which tick() must be called next.
  TimePoint nextDue() const;

  /// Handles any report except answers, which an InForceCheck handles. \returns
  /// the replies and requests to send.
  ConfigMessages onReport(const RevisionReport &Report, TimePoint Now);
  /// Handles a group's summary.
  void onSummary(const RevisionSummary &Summary);

  /// \returns the answer of this domain's collector to a query for \p Revision.
  /// Requests for missing reports are appended to \p Out.
  RevisionReport answerQuery(std::uint64_t Revision, TimePoint Now,
                             ConfigMessages &Out);

  /// \returns this member as a peer, without an address.
  const ConfigPeer &self() const { return this->Settings.Self; }

  /// \returns the roster of this member's failure domain.
  const DomainRoster &roster() const { return this->Roster; }

  /// \returns this member's roles for the operator's dump.
  boost::json::value dump() const;

private:
  /// A group for which this member is the collector.
  struct CollectedGroup {
    TimePoint NextSummary;
    TimePoint LastPull;
    /// Contents of the last summary sent.
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
  /// Time of the first query for each revision, and of the last request to each
  /// group.
  std::map<std::uint64_t, TimePoint> FirstQueries;
  std::map<std::size_t, TimePoint> LastGroupPull;
};

} // namespace citronlever
