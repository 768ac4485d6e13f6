#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/LeafStage.h"
#include "citronlever/src/Upstream/LeafReply.h"

#include <functional>
#include <optional>
#include <string_view>

namespace citronlever {

/// One finished leaf call as the broker saw it. Rollouts compare versions by
/// these reports.
struct LeafCallReport {
  std::string_view Service;
  std::string_view Route;
  std::string_view Version;
  std::string_view Leaf;
  bool Failed = false;
  LeafStage Stage = LeafStage::Warm;
  LeafStartEvent Sign = LeafStartEvent::None;
  Duration Latency{};
};

/// Receives each finished call that says something about a version. Runs under
/// the lock of the service, so it must return quickly.
using LeafCallHook = std::function<void(const LeafCallReport &, TimePoint Now)>;

/// \returns whether a call with this outcome counts as a failure of the leaf's
/// version, or nothing if it says nothing about the version, as for a shed,
/// refused or misplaced request. A request abandoned for a hedge counts with
/// the time that it had taken; otherwise hedging would hide a slow version.
std::optional<bool> isVersionFailure(LeafOutcome Outcome);

} // namespace citronlever
