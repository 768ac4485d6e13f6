#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Rollout/LeafStage.h"
#include "citronlever/src/Upstream/LeafLifecycle.h"
#include "citronlever/src/Upstream/SchedulerTypes.h"

#include <vector>

namespace citronlever::internal {

/// Detects the starts of leaves from the calls of one service.
class LeafStartDetector {
public:
  /// Longest time between two calls in which a leaf that turned cold counts as
  /// restarted. After a longer one the group may have had another owner, and
  /// the leaf may have started long before.
  static constexpr Duration MaxCallGap = Seconds(2);

  /// Records a call to leaf \p Index, which was in \p Phase. \returns what it
  /// says about a start of the leaf.
  LeafStartEvent observe(LeafIndex Index, LeafPhase Phase, TimePoint Now) {
    if (this->LastCalls.size() <= Index)
      this->LastCalls.resize(Index + 1);
    LastCall &Current = this->LastCalls[Index];
    const LastCall Previous = Current;
    Current = {Phase, Now};
    if (Previous.At == TimePoint{})
      return LeafStartEvent::FirstContact;
    const bool TurnedCold =
        Phase == LeafPhase::Cold && Previous.Phase != LeafPhase::Cold;
    return TurnedCold && Now - Previous.At <= MaxCallGap
               ? LeafStartEvent::Restarted
               : LeafStartEvent::None;
  }

private:
  struct LastCall {
    LeafPhase Phase = LeafPhase::Cold;
    TimePoint At{};
  };
  std::vector<LastCall> LastCalls;
};

} // namespace citronlever::internal
