#pragma once

#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/QueryPlan.h"

#include <string>
#include <string_view>

namespace citronlever {

/// Times after which a broker is passed over.
struct BrokerHealthSettings {
  /// Calls left unanswered at their deadline, with nothing heard since
  /// they were sent, after which a broker counts as silent.
  int UnansweredCallLimit = 2;
  /// A deadline that is noticed later than this says nothing about the broker:
  /// its replies may lie unread here.
  Duration MaxLocalDelay = Milliseconds(20);
  /// Time after which a silent broker is tried again.
  Duration SilentRetryDelay = Milliseconds(1000);
  /// Time after which an unreachable broker is tried again.
  Duration UnreachableRetryDelay = Milliseconds(200);
};

/// What this entry has seen of each broker: enough to turn to a stand-by
/// before the membership notices. Safe to call from several threads.
class BrokerHealth {
public:
  explicit BrokerHealth(BrokerHealthSettings Settings = {})
      : Settings(Settings) {}

  /// A message of any kind came from \p Broker.
  void recordMessage(const std::string &Broker, TimePoint Now);

  /// A call passed its deadline without an answer. A broker that has answered
  /// others since the call was sent is slow, not silent.
  /// \param SentAt when the call was sent; \param Due when its answer was due.
  /// \returns whether the call counts as evidence of a silent broker.
  bool recordUnanswered(const std::string &Broker, TimePoint SentAt,
                        TimePoint Due, TimePoint Now);

  /// No connection could be had in time.
  void recordUnreachable(const std::string &Broker, TimePoint Now);

  /// \returns whether others should be asked in place of \p Broker.
  bool isUnhealthy(const std::string &Broker, TimePoint Now);

  /// Moves brokers to be avoided behind the others in every group.
  void moveUnhealthyLast(QueryPlan &Plan, TimePoint Now);

private:
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
