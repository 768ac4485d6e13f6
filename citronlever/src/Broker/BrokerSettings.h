#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LeafClient.h"
#include "citronlever/src/Upstream/SchedulerTypes.h"

namespace citronlever {

/// Limits and timeouts of a broker.
struct BrokerSettings {
  SchedulerSettings Scheduler;
  LeafClientSettings Client;
  /// Time reserved for the reply to reach the entry; at most a tenth of the
  /// time left.
  Duration ReplyMargin = Milliseconds(5);
  /// Number of brokers that store a group's request keys, the owner included.
  std::size_t KeyCandidates = 3;
  /// Longest wait for the stand-bys to record a request key; at most half of
  /// the time left.
  Duration KeyIntentTimeout = Milliseconds(100);
  /// Time for which the outcome of a request key is stored.
  Duration KeyRetention = std::chrono::minutes(10);
  /// Memory limit of the request key table.
  std::size_t KeyMemoryBytes = 32 << 20;
  /// Claim a newly gained group from its other candidates before serving it;
  /// off only in experiments.
  bool ClaimGroups = true;
  /// Longest wait for the previous owner to release a claimed group.
  Duration ClaimTimeout = Milliseconds(250);
  /// Longest time that a previous owner may spend on requests in progress
  /// before it answers a claim.
  Duration ReleaseTimeout = Seconds(1);
  /// Time after its start during which a process serves no group, because its
  /// member view may still be incomplete.
  Duration JoinDelay{};
  /// Gap between two clock checks that counts as a pause of this process. After
  /// a longer one other brokers may serve the groups that this process served.
  Duration PauseThreshold = Milliseconds(700);
  /// Run requests with a key at most once; off only in experiments.
  bool UseRequestKeys = true;
};

} // namespace citronlever
