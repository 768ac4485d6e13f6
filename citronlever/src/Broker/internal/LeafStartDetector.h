#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/LeafStage.h"
#include "citronlever/src/Upstream/LeafLifecycle.h"
#include "citronlever/src/Upstream/SchedulerTypes.h"

#include <vector>

namespace citronlever::internal {

/// Finds in the calls of one service where leaves began a start.
class LeafStartDetector {
public:
  /// Longest pause between two calls over which a leaf that turned cold counts
  /// as restarted. After a longer one the group may have had another owner.
  static constexpr Duration MaxPause = Seconds(2);

  /// Notes a call to \p Which, which was in \p Phase.
  LeafStartSign note(LeafIndex Which, LeafPhase Phase, TimePoint Now) {
    if (this->Leaves.size() <= Which)
      this->Leaves.resize(Which + 1);
    LastCall &Last = this->Leaves[Which];
    const LastCall Before = Last;
    Last = {Phase, Now};
    if (Before.At == TimePoint{})
      return LeafStartSign::FirstContact;
    const bool TurnedCold =
        Phase == LeafPhase::Cold && Before.Phase != LeafPhase::Cold;
    return TurnedCold && Now - Before.At <= MaxPause ? LeafStartSign::Restarted
                                                     : LeafStartSign::None;
  }

private:
  struct LastCall {
    LeafPhase Phase = LeafPhase::Cold;
    TimePoint At{};
  };
  std::vector<LastCall> Leaves;
};

} // namespace citronlever::internal
