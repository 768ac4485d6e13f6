#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// Outcome of one call to one leaf.
enum class ChannelOutcome : std::uint8_t {
  /// A complete answer to this request.
  Answered,
  /// The leaf refused the request and will not run it.
  NotRun,
  /// No byte of the request was written to a connection.
  NotSent,
  /// The request was sent, but no complete answer that can be trusted arrived.
  Lost
};

/// Outcome of a call, with the answer if there is one.
struct ChannelAnswer {
  ChannelOutcome Outcome = ChannelOutcome::NotSent;
  HttpResponse Response;
  /// Time from the send to the complete answer.
  Duration Latency{};
  /// Why there is no answer, for log messages and error bodies.
  std::string Reason;
};

} // namespace citronlever
