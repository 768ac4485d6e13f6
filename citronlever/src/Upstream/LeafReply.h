#pragma once

#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// How a request to a leaf ended.
enum class LeafOutcome : std::uint8_t {
  /// Status 200.
  Ok,
  /// The leaf does not hold the snapshot or shard.
  NotHeld,
  /// The leaf dropped the request after it was cancelled.
  Cancelled,
  /// The leaf refused the request because of its load.
  Shed,
  /// The leaf refused the request because it is draining.
  Draining,
  /// The leaf reported an error.
  Failed,
  /// The leaf reported that the deadline had passed.
  DeadlinePassed,
  /// No connection could be opened.
  ConnectFailed,
  /// All permitted connections are in use; nothing was sent.
  NoConnection,
  /// The connection broke after the request was started on it.
  ConnectionLost,
  /// The reply does not belong to the request.
  Mismatch,
  /// The caller gave up the request.
  Abandoned
};

/// \returns the name of the outcome for dumps and logs.
const char *toString(LeafOutcome Value);

/// A leaf's answer to one request, or the reason why there is none.
struct LeafReply {
  LeafOutcome Outcome = LeafOutcome::Failed;
  /// Whether the leaf may have executed the request.
  Verdict RunVerdict = Verdict::MayHaveRun;
  /// HTTP status, or 0 without a reply.
  int Status = 0;
  std::string Body;
  std::string Version;
  /// Id of the leaf's process if the leaf sends one; changes at a restart.
  std::string Instance;
  /// Requests in flight and slots that the leaf reports, or -1.
  int LoadInFlight = -1;
  int LoadSlots = -1;
  /// The request used a connection on which the leaf had answered before.
  bool Pooled = false;
  /// Part of a reply arrived before the connection broke, so the leaf does not
  /// work on the request any longer.
  bool PartiallyReceived = false;
  /// The reply announces that the leaf is draining.
  bool Draining = false;
};

} // namespace citronlever
