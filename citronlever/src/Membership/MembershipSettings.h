#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstddef>

namespace citronlever {

/// Timeouts and limits of the membership protocol.
struct MembershipSettings {
  /// Address to listen on, if it differs from the address announced to others.
  Endpoint Listen;
  /// Time between two regular probes sent by one member.
  Duration ProbePeriod = Milliseconds(500);
  /// Time without an answer after which a probe is repeated, and then sent
  /// through other members too.
  Duration ProbeRetry = Milliseconds(150);
  /// Time from the first unanswered probe until a member is declared dead, if
  /// enough others confirm that it is silent. A longer gap between the
  /// ticks of this process counts as a pause.
  Duration FailureTimeout = Seconds(2);
  /// The same for a member that no other member found silent.
  Duration UnconfirmedTimeout = Seconds(8);
  /// Whether a silent member is suspected first, so that it can refute the
  /// suspicion; otherwise one failed probe declares it dead.
  bool EnableSuspicion = true;
  /// Number of other members that must have found a member silent for
  /// FailureTimeout to apply.
  std::size_t Confirmations = 2;
  /// Expected number of members that probe a suspect on their own when they
  /// learn of the suspicion.
  std::size_t ConfirmationProbes = 6;
  /// Number of members of a failure domain, on different VMs, that are probed
  /// at once to find out whether the whole domain is silent. 0 disables domain
  /// sampling; a domain with fewer VMs is not sampled.
  std::size_t DomainSampleSize = 10;
  Duration DomainSamplePeriod = Seconds(1);
  /// Number of members asked for an indirect probe of a member that did not
  /// answer.
  std::size_t IndirectProbes = 3;
  /// Time between two rounds of gossip while there are rumors to send.
  Duration GossipPeriod = Milliseconds(200);
  /// Number of members that a round of gossip is sent to.
  std::size_t GossipFanout = 2;
  /// Time between two state syncs with a random member; SyncPeriodAfterUpdate
  /// applies after a sync that changed something.
  Duration SyncPeriod = Seconds(10);
  Duration SyncPeriodAfterUpdate = Seconds(1);
  Duration SyncPeriodJoining = Milliseconds(200);
  /// A joining member takes its view as complete when syncs with other joining
  /// members have changed nothing for this time. The answer of a member that
  /// has joined is accepted at once.
  Duration JoinSettleTime = Seconds(1);
  /// Maximum number of datagrams sent in answer to one sync request.
  std::size_t SyncPages = 8;
  std::size_t SyncPagesJoining = 24;
  /// Time between two pings of a known address that belongs to no live member.
  Duration SeedPeriod = Seconds(1);
  std::size_t MaxSeeds = 256;
  /// Time for which the record of a dead member is kept.
  Duration DeadRetention = std::chrono::hours(1);
  /// Whether a member that finds most of the fleet silent keeps the silent
  /// members as suspects, and for how long.
  bool HoldWhenIsolated = true;
  Duration IsolationHoldTime = std::chrono::minutes(5);
  /// Time for which a death counts towards isolation.
  Duration IsolationWindow = Seconds(30);
  /// Whether a pause of this process makes it give up ownership.
  bool DetectPause = true;
  /// Limit for gossip and state sync together. Probes and their answers are not
  /// counted; the probe period limits them.
  double BytesPerSecond = 3000;
  double BurstBytes = 48 * 1024;
  std::size_t MaxDatagramBytes = 1200;
};

} // namespace citronlever
