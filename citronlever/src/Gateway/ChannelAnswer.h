#pragma once

#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// What became of one call to one leaf.
enum class ChannelOutcome : std::uint8_t {
  /// A whole answer to this very request.
  Answered,
  /// The leaf said that it has not run the request and will not.
  NotRun,
  /// No byte of the request was handed to a connection.
  NotSent,
  /// The request was sent; no whole, trustworthy answer came.
  Lost
};

/// Outcome of one call, with the answer if there is one.
struct ChannelAnswer {
  ChannelOutcome Outcome = ChannelOutcome::NotSent;
  HttpResponse Response;
  /// From sending to the whole answer.
  Duration Latency{};
  /// Why there is no answer; for people.
  std::string Reason;
};

} // namespace citronlever
