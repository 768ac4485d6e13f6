#pragma once

#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/QueryPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// How far the call for one group has come.
enum class CallState : std::uint8_t { RetryScheduled, Connecting, Sent, Done };

/// A call that its broker had not answered when it was due.
struct UnansweredCall {
  std::string Broker;
  TimePoint SentAt{};
  TimePoint Due{};
};

/// The state of one group's part.
struct GroupRun {
  CallState State = CallState::Done;
  std::uint32_t Attempt = 0;
  std::uint64_t LinkId = 0;
  TimePoint SentAt{};
  BrokerTarget To;
  std::vector<std::string> TriedBrokers;
  /// Shards not answered so far.
  std::vector<std::uint32_t> RemainingShards;
  std::vector<std::vector<Row>> Rows;
  int Retries = 0;
  TimePoint RetryAt{};
  BrokerStatus LastStatus = BrokerStatus::Ok;
  bool CancelSent = false;
  Verdict Outcome = Verdict::NotRun;
};

} // namespace citronlever
