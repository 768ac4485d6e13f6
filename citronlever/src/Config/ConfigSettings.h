#pragma once

#include "citronlever/src/Config/ConfigDocument.h"
#include "citronlever/src/Config/ConfigState.h"
#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// Who this member is, and the times and sizes of its part in configuration.
struct ConfigSettings {
  /// First part of every key in the store.
  std::string Deployment;
  /// Unique member name, "<vm>/entry" or "<vm>/broker".
  std::string Name;
  std::string Vm;
  std::string Domain;
  /// Of this process, as membership tells it to others.
  std::uint64_t Incarnation = 0;
  /// Members asked before the live members are known.
  std::vector<Endpoint> Seeds;

  /// Members of each failure domain that watch the store.
  std::size_t WatchersPerDomain = 2;
  /// Partners that each member exchanges digests with.
  std::size_t NeighbourCount = 6;
  Duration DigestPeriod = Seconds(1);
  Duration PullTimeout = Seconds(1);
  Duration FreshnessTimeout = Seconds(5);
  /// Longest wait of one watch call.
  Duration WatchTimeout = Seconds(4);
  /// Time that a new process waits for its peers before it asks the store.
  Duration StoreStartDelay = Milliseconds(300);
  /// Pause after a failed store call, doubled up to the most.
  Duration RetryDelayMin = Milliseconds(100);
  Duration RetryDelayMax = Seconds(2);
  /// Time for a change to be accepted, or to be settled as not.
  Duration ProposalTimeout = Seconds(10);
  /// Time for which an unsettled change goes on being settled.
  Duration ResolveTimeout = Seconds(600);
  /// Time between a member's reports of its revision.
  Duration ReportPeriod = Seconds(5);
  /// Least members of a group that has a collector of its own.
  std::size_t MinGroupSize = 32;
  /// Longest time for which a group's collector waits for more reports.
  Duration SummaryDelay = Milliseconds(200);
  /// Time after which collectors ask for what has not been reported.
  Duration PullDelay = Seconds(1);
  Duration PullPeriod = Milliseconds(500);
  /// Time between two queries for who lacks a revision; doubled up to the most.
  Duration QueryPeriod = Milliseconds(100);
  Duration QueryPeriodMax = Seconds(1);
  /// Members that must confirm a state before the store is repaired to it.
  std::size_t RepairConfirmations = 2;
  /// Whether members repair a store that went back.
  bool RepairStore = true;
  RevisionPolicy Policy = RevisionPolicy::MonotonicOnly;
};

/// A change that an operator or a controller asks for.
struct ConfigProposal {
  std::string Document;
  /// Revision that the document must have; 0: it must not be there.
  std::uint64_t ExpectedRevision = 0;
  bool Removed = false;
  /// JSON text.
  std::string Body;
};

/// What became of a proposal.
enum class ProposalOutcome : std::uint8_t {
  Accepted,
  /// The document has another revision than expected; nothing was changed.
  Conflict,
  /// The document fails its checks; nothing was changed.
  Invalid,
  /// The store or the fleet cannot take it now; nothing was changed.
  NotAccepted,
  /// The store's reply was lost and it has not answered since. Settling goes
  /// on; the history will show the change if it was accepted.
  Unknown
};

/// \returns the outcome in words.
const char *toString(ProposalOutcome Outcome);

/// Answer to a proposal.
struct ProposalResult {
  ProposalOutcome Outcome = ProposalOutcome::NotAccepted;
  /// Accepted: the change's revision. Conflict: the document's current one.
  std::uint64_t Revision = 0;
  /// The change's unique id.
  std::string ProposalId;
  std::string Reason;
};

/// How far a revision is in force.
struct InForceResult {
  bool Everywhere = false;
  std::uint64_t Revision = 0;
  std::uint64_t LowestRevision = 0;
  std::uint32_t Members = 0;
  std::uint32_t LaggingCount = 0;
  /// Names of live members below the revision, at most some for each domain.
  std::vector<std::string> LaggingMembers;
  /// Members that died, or left, before they were seen to have it: at most
  /// some of them.
  std::vector<std::string> DepartedMembers;
  std::uint32_t DepartedCount = 0;
  /// Failure domains whose collector has not answered; the collector is among
  /// the lacking.
  std::vector<std::string> SilentDomains;
  /// Failure domains whose collector sees other members than this process:
  /// nothing is known of their members until the views agree.
  std::vector<std::string> UnsettledDomains;
};

} // namespace citronlever
