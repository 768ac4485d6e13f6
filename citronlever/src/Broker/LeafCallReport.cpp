#include "citronlever/src/Broker/LeafCallReport.h"

namespace citronlever {

std::optional<bool> isVersionFailure(LeafOutcome Outcome) {
  switch (Outcome) {
  case LeafOutcome::Ok:
  case LeafOutcome::Cancelled:
  case LeafOutcome::Abandoned:
    return false;
  case LeafOutcome::Failed:
  case LeafOutcome::DeadlinePassed:
  case LeafOutcome::ConnectionLost:
    return true;
  default:
    return std::nullopt;
  }
}

} // namespace citronlever
