#include "citronlever/src/Upstream/LeafReply.h"

namespace citronlever {

const char *toString(LeafOutcome Value) {
  switch (Value) {
  case LeafOutcome::Ok:
    return "ok";
  case LeafOutcome::NotHeld:
    return "not_held";
  case LeafOutcome::Cancelled:
    return "cancelled";
  case LeafOutcome::Shed:
    return "shed";
  case LeafOutcome::Draining:
    return "draining";
  case LeafOutcome::Failed:
    return "failed";
  case LeafOutcome::DeadlinePassed:
    return "deadline_passed";
  case LeafOutcome::ConnectFailed:
    return "connect_failed";
  case LeafOutcome::NoConnection:
    return "no_connection";
  case LeafOutcome::ConnectionLost:
    return "connection_lost";
  case LeafOutcome::Mismatch:
    return "mismatch";
  case LeafOutcome::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

} // namespace citronlever
