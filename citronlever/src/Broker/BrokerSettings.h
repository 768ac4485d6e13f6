#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LeafClient.h"
#include "citronlever/src/Upstream/SchedulerTypes.h"

namespace citronlever {

/// Bounds and times of a broker.
struct BrokerSettings {
  SchedulerSettings Scheduler;
  LeafClientSettings Client;
  /// Part of the time left that is kept for the way back to the entry.
  Duration ReplyMargin = Milliseconds(5);
  /// Brokers that keep a group's request keys, the owner included.
  std::size_t KeyCandidates = 3;
  /// Longest wait for the stand-bys to note a request key; at most half of the
  /// time left.
  Duration KeyIntentTimeout = Milliseconds(100);
  Duration KeyRetention = std::chrono::minutes(10);
  std::size_t KeyMemoryBytes = 32 << 20;
  /// A group that is gained is claimed from its other candidates first; off in
  /// experiments alone.
  bool ClaimGroups = true;
  /// Longest wait for the previous owner to let go.
  Duration ClaimTimeout = Milliseconds(250);
  /// Longest time for which a previous owner finishes what it has in work
  /// before it answers a claim.
  Duration ReleaseTimeout = Seconds(1);
  /// A new process serves nothing for this long, while it learns of the others.
  Duration JoinDelay{};
  /// A gap between two looks at the clock after which others may serve what
  /// this process served.
  Duration PauseThreshold = Milliseconds(700);
  /// Carry requests with a key at most once; off in experiments alone.
  bool UseRequestKeys = true;
};

} // namespace citronlever
