#pragma once

#include "citronlever/src/Core/Verdict.h"

#include <cstdint>
#include <string>

namespace citronlever {

/// How a request to a leaf ended.
enum class LeafOutcome : std::uint8_t {
  Ok,
  /// The leaf does not hold the snapshot or shard.
  NotHeld,
  Cancelled,
  Shed,
  Draining,
  /// The leaf says that it failed.
  Failed,
  /// The leaf says that the deadline passed.
  DeadlinePassed,
  /// No connection could be opened.
  ConnectFailed,
  /// Every connection allowed is in use.
  NoConnection,
  /// The connection broke after the request was handed to it.
  ConnectionLost,
  /// The reply was for something else.
  Mismatch,
  /// The caller gave the request up.
  Abandoned
};

/// \returns a short name for dumps and logs.
const char *toString(LeafOutcome Value);

/// A leaf's answer to one request, or why there is none.
struct LeafReply {
  LeafOutcome Outcome = LeafOutcome::Failed;
  Verdict RunVerdict = Verdict::MayHaveRun;
  int Status = 0;
  std::string Body;
  std::string Version;
  /// Names the leaf's process, if it gives one; changes at a restart.
  std::string Instance;
  /// Reported requests in work, or -1.
  int LoadInFlight = -1;
  int LoadSlots = -1;
  /// The connection had answered before.
  bool Pooled = false;
  /// Part of a reply came before the connection broke: the leaf has done with
  /// the request.
  bool PartiallyReceived = false;
  /// The leaf announced that it is draining.
  bool Draining = false;
};

} // namespace citronlever
