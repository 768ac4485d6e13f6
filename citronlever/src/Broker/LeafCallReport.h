#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/LeafStage.h"
#include "citronlever/src/Upstream/LeafReply.h"

#include <functional>
#include <optional>
#include <string_view>

namespace citronlever {

/// One finished leaf call as the broker saw it, for the judgement of versions.
struct LeafCallReport {
  std::string_view Service;
  std::string_view Route;
  std::string_view Version;
  std::string_view Leaf;
  bool Failed = false;
  LeafStage Stage = LeafStage::Settled;
  LeafStartSign Sign = LeafStartSign::None;
  Duration Latency{};
};

/// Takes each finished call that says something of a version; called under the
/// service's lock, so it must be short.
using LeafCallHook = std::function<void(const LeafCallReport &, TimePoint Now)>;

/// \returns whether a call that ended so failed, or nothing if it says nothing
/// of the version: a shed, refused or misplaced request does not. A request
/// given up for a hedge counts with the time it had taken, or hedging would
/// hide a slow version.
std::optional<bool> isVersionFailure(LeafOutcome Outcome);

} // namespace citronlever
