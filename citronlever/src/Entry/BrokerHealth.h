#pragma once

#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/QueryPlan.h"

#include <string>
#include <string_view>

namespace citronlever {

/// Thresholds and delays of BrokerHealth.
struct BrokerHealthSettings {
  /// Number of calls without an answer at their deadline, and without any
  /// message from the broker since they were sent, after which the broker
  /// counts as silent.
  int UnansweredCallLimit = 2;
  /// A missed deadline noticed later than this is not counted against the
  /// broker: its reply may be waiting unread in this process.
  Duration MaxLocalDelay = Milliseconds(20);
  /// Time after the last unanswered call until a silent broker is used again.
  Duration SilentRetryDelay = Milliseconds(1000);
  /// Time after a failed connection until an unreachable broker is used again.
  Duration UnreachableRetryDelay = Milliseconds(200);
};

/// Tracks which brokers are silent or unreachable from this entry, so that it
/// calls a stand-by before the membership detects the failure. Thread-safe.
class BrokerHealth {
public:
  explicit BrokerHealth(BrokerHealthSettings Settings = {})
      : Settings(Settings) {}

  /// Records a message of any type from \p Broker, which makes it healthy
  /// again.
  void recordMessage(const std::string &Broker, TimePoint Now);

  /// Records that a call got no answer by its deadline. A broker that has sent
  /// anything since the call was sent is slow, not silent.
  /// \param SentAt when the call was sent.
  /// \param Due when its answer was due.
  /// \returns whether the call counts as evidence that the broker is silent.
  bool recordUnanswered(const std::string &Broker, TimePoint SentAt,
                        TimePoint Due, TimePoint Now);

  /// Records that no connection to \p Broker was established in time.
  void recordUnreachable(const std::string &Broker, TimePoint Now);

  /// \returns whether \p Broker is silent or unreachable, so that another
  /// broker should be called first.
  bool isUnhealthy(const std::string &Broker, TimePoint Now);

  /// Moves unhealthy brokers behind the others in each group of \p Plan.
  void moveUnhealthyLast(QueryPlan &Plan, TimePoint Now);

private:
  /// What was last observed of one broker.
  struct CallHistory {
    int Unanswered = 0;
    TimePoint LastHeard{};
    TimePoint LastUnanswered{};
    TimePoint LastUnreachable{};
  };

  BrokerHealthSettings Settings;
  ShardedMap<std::string, CallHistory> Brokers;
};

} // namespace citronlever
