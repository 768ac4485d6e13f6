#pragma once

#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/QueryPlan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronlever {

/// State of the call for one group.
enum class CallState : std::uint8_t { RetryScheduled, Connecting, Sent, Done };

/// A call without an answer by its due time.
struct UnansweredCall {
  std::string Broker;
  TimePoint SentAt{};
  TimePoint Due{};
};

/// Progress of the part of a request that concerns one shard group.
struct GroupRun {
  CallState State = CallState::Done;
  /// Number of calls made so far; identifies the current one.
  std::uint32_t Attempt = 0;
  std::uint64_t LinkId = 0;
  TimePoint SentAt{};
  BrokerTarget To;
  std::vector<std::string> TriedBrokers;
  /// Shards without an answer so far.
  std::vector<std::uint32_t> RemainingShards;
  std::vector<std::vector<Row>> Rows;
  int Retries = 0;
  TimePoint RetryAt{};
  BrokerStatus LastStatus = BrokerStatus::Ok;
  /// Whether the current call was cancelled at its broker.
  bool CancelSent = false;
  /// Combined outcome of all calls so far.
  Verdict Outcome = Verdict::NotRun;
};

} // namespace citronlever
