#include "citronlever/src/Entry/BrokerHealth.h"

#include <algorithm>

namespace citronlever {

void BrokerHealth::recordMessage(const std::string &Broker, TimePoint Now) {
  this->Brokers.with(Broker, [&](auto &Map) {
    CallHistory &History = Map[Broker];
    History = CallHistory();
    History.LastHeard = Now;
  });
}

bool BrokerHealth::recordUnanswered(const std::string &Broker, TimePoint SentAt,
                                    TimePoint Due, TimePoint Now) {
  return this->Brokers.with(Broker, [&](auto &Map) {
    CallHistory &History = Map[Broker];
    if (History.LastHeard >= SentAt || Now - Due > this->Settings.MaxLocalDelay)
      return false;
    ++History.Unanswered;
    History.LastUnanswered = Now;
    return true;
  });
}

void BrokerHealth::recordUnreachable(const std::string &Broker, TimePoint Now) {
  this->Brokers.with(Broker,
                     [&](auto &Map) { Map[Broker].LastUnreachable = Now; });
}

bool BrokerHealth::isUnhealthy(const std::string &Broker, TimePoint Now) {
  return this->Brokers.with(Broker, [&](auto &Map) {
    const auto Found = Map.find(Broker);
    if (Found == Map.end())
      return false;
    const CallHistory &History = Found->second;
    const bool Silent =
        History.Unanswered >= this->Settings.UnansweredCallLimit &&
        Now - History.LastUnanswered < this->Settings.SilentRetryDelay;
    const bool Unreachable =
        History.LastUnreachable != TimePoint{} &&
        Now - History.LastUnreachable < this->Settings.UnreachableRetryDelay;
    return Silent || Unreachable;
  });
}

void BrokerHealth::moveUnhealthyLast(QueryPlan &Plan, TimePoint Now) {
  for (GroupPlan &Planned : Plan.Groups)
    std::stable_partition(Planned.Candidates.begin(), Planned.Candidates.end(),
                          [&](const BrokerTarget &Candidate) {
                            return !this->isUnhealthy(Candidate.Name, Now);
                          });
}

} // namespace citronlever
