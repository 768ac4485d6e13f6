#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Identity of this member, and the timing and sizes of its configuration
/// agent.
struct ConfigSettings {
  /// First part of every key in the store.
  std::string Deployment;
  /// Unique member name: "<vm>/entry" or "<vm>/broker".
  std::string Name;
  std::string Vm;
  std::string Domain;
  /// Incarnation of this process, as membership announces it.
  std::uint64_t Incarnation = 0;
  /// Addresses of members to contact while the live members are unknown.
  std::vector<Endpoint> Seeds;

  /// Number of members in each failure domain that watch the store.
  std::size_t WatchersPerDomain = 2;
  /// Number of peers with which each member exchanges digests.
  std::size_t NeighbourCount = 6;
  /// Interval between periodic digests.
  Duration DigestPeriod = Seconds(1);
  /// Time to wait for the next part of a pull.
  Duration PullTimeout = Seconds(1);
  /// Age at which contact with the store or a peer no longer counts.
  Duration FreshnessTimeout = Seconds(5);
  /// Maximum duration of one watch call.
  Duration WatchTimeout = Seconds(4);
  /// Time that a new process gives its peers to supply the configuration before
  /// it reads the store.
  Duration StoreStartDelay = Milliseconds(300);
  /// Delay after a failed store call, doubled up to the maximum.
  Duration RetryDelayMin = Milliseconds(100);
  Duration RetryDelayMax = Seconds(2);
  /// Time for a change to be accepted or known to be rejected.
  Duration ProposalTimeout = Seconds(10);
  /// Time after ProposalTimeout during which the outcome of a change whose
  /// reply was lost is still being determined.
  Duration ResolveTimeout = Seconds(600);
  /// Interval between a member's reports of its revision.
  Duration ReportPeriod = Seconds(5);
  /// Minimum average size of the groups that have a collector of their own.
  std::size_t MinGroupSize = 32;
  /// Maximum time for which a group's collector batches reports before it sends
  /// a summary.
  Duration SummaryDelay = Milliseconds(200);
  /// Time after the first query for a revision at which collectors start to
  /// request missing reports.
  Duration PullDelay = Seconds(1);
  /// Interval between requests to the same group or for the same group's
  /// members.
  Duration PullPeriod = Milliseconds(500);
  /// Interval between two queries for the members that lack a revision, doubled
  /// up to the maximum.
  Duration QueryPeriod = Milliseconds(100);
  Duration QueryPeriodMax = Seconds(1);
  /// Number of members on other VMs that must confirm a state before the store
  /// is repaired from it.
  std::size_t RepairConfirmations = 2;
  /// Whether members repair a store that has lost accepted changes.
  bool RepairStore = true;
  RevisionPolicy Policy = RevisionPolicy::MonotonicOnly;
};

/// A change requested by an operator or a controller.
struct ConfigProposal {
  std::string Document;
  /// Revision that the document must have; 0 means it must not exist.
  std::uint64_t ExpectedRevision = 0;
  bool Removed = false;
  /// JSON text.
  std::string Body;
};

/// Outcome of a proposal.
enum class ProposalOutcome : std::uint8_t {
  Accepted,
  /// The document's revision differs from the expected one; nothing was
  /// changed.
  Conflict,
  /// The document failed validation; nothing was changed.
  Invalid,
  /// The store or the fleet cannot accept changes now; nothing was changed.
  NotAccepted,
  /// The store's reply was lost and the store has not answered since. The
  /// outcome is still being determined; the history will show the change if it
  /// was accepted.
  Unknown
};

/// \returns the outcome's name in the operator API.
const char *toString(ProposalOutcome Outcome);

/// Reply to a proposal.
struct ProposalResult {
  ProposalOutcome Outcome = ProposalOutcome::NotAccepted;
  /// Accepted: the change's revision. Conflict: the document's current one.
  std::uint64_t Revision = 0;
  /// Unique id of the change; empty if it was invalid.
  std::string ProposalId;
  std::string Reason;
};

/// Extent to which a revision is in force.
struct InForceResult {
  /// Whether every live member has the revision.
  bool Everywhere = false;
  std::uint64_t Revision = 0;
  /// Lowest revision in the domains' answers; 0 if there is none.
  std::uint64_t LowestRevision = 0;
  /// Number of live members.
  std::uint32_t Members = 0;
  std::uint32_t LaggingCount = 0;
  /// Names of live members not known to have the revision; limited for each
  /// domain.
  std::vector<std::string> LaggingMembers;
  /// Names of members that died or left before they were known to have the
  /// revision; limited in number.
  std::vector<std::string> DepartedMembers;
  std::uint32_t DepartedCount = 0;
  /// Failure domains whose collector has not answered; the collector is listed
  /// in LaggingMembers.
  std::vector<std::string> SilentDomains;
  /// Failure domains whose collector sees a different set of members than this
  /// process. Nothing is known about their members until the views agree.
  std::vector<std::string> UnsettledDomains;
};

} // namespace citronlever
