#pragma once

#include "citronlever/src/Core/Time.h"

#include <utility>

namespace citronlever {

/// Since when this process has been one of the senders that share the fleet's
/// limits. Load pattern: many senders are lost at once and others take their
/// place; what the lost ones have spent must not be spent again.
///
/// A sender of at least one window of the limits that was out for less than one
/// keeps its tenure: its own counts still cover the window, and a process that
/// took its place had no share of the slack yet.
class SenderTenure {
public:
  /// \param Window time over which the fleet's limits are counted.
  /// \param ProcessStart counts as the begin while this process has not been a
  /// sender: it may have sent before a restart.
  SenderTenure(Duration Window, TimePoint ProcessStart)
      : Window(Window), Since(ProcessStart), LastSenderAt(ProcessStart) {}

  /// Records whether this process is a sender at \p Now.
  void update(bool NowSender, TimePoint Now) {
    const bool WasSender = std::exchange(this->IsSender, NowSender);
    if (!NowSender)
      return;
    if (!WasSender && !this->keepsTenure(Now))
      this->Since = Now;
    this->LastSenderAt = Now;
  }

  /// \returns the begin of the current or latest tenure.
  TimePoint since() const { return this->Since; }

private:
  bool keepsTenure(TimePoint Now) const {
    return this->LastSenderAt - this->Since >= this->Window &&
           Now - this->LastSenderAt < this->Window;
  }

  Duration Window;
  TimePoint Since;
  TimePoint LastSenderAt;
  bool IsSender = false;
};

} // namespace citronlever
