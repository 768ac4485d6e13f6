#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace citronlever {

/// Configured limit on extra sends (hedges, retries and probes: all sends of a
/// request but the first) to one service. It holds for the whole fleet and for
/// each time window.
struct ExtraSendLimit {
  /// Extra sends allowed per request.
  double Ratio = 0.2;
  /// Extra sends allowed per window in addition to the ratio.
  double Slack = 0;
  Duration Window = Seconds(10);
};

/// This process's share of the fleet's extra sends to one service. Load
/// pattern: mass failures and slow leaves, when every request would benefit
/// from a second send.
///
/// Counts requests and extra sends over a sliding window, so that what a calm
/// period leaves unused is available in the first seconds of a failure. A
/// process that has just begun to send may replace one that has spent its
/// share, and does not know how much it spent itself before a restart. It gets
/// no share of the slack until a full window has passed.
class ExtraSendBudget {
public:
  explicit ExtraSendBudget(ExtraSendLimit Limit) : Limit(Limit) {}

  /// Sets the number of processes that share the slack, and since when this
  /// process has been one of them.
  void setSenders(std::size_t Count, TimePoint Since) {
    this->Senders = Count;
    this->SenderSince = Since;
  }

  /// Counts a caller's request for the service.
  void countRequest(TimePoint Now) {
    this->advanceTo(Now);
    ++this->currentSlice().Requests;
    ++this->Requests;
  }

  /// Takes one extra send if that leaves at least the share \p Reserve of the
  /// limit unused.
  /// \returns whether it was taken.
  bool tryTake(TimePoint Now, double Reserve = 0) {
    this->advanceTo(Now);
    const double Allowed = this->allowedExtras(Now);
    if (static_cast<double>(this->Extras) + 1 > (1 - Reserve) * Allowed) {
      ++this->Denied;
      return false;
    }
    ++this->currentSlice().Extras;
    ++this->Extras;
    this->LastTakenAt = Now;
    return true;
  }

  /// Returns an extra send that was not written to any connection.
  void refund() {
    if (this->currentSlice().Extras == 0)
      return;
    --this->currentSlice().Extras;
    --this->Extras;
  }

  /// \returns whether no extra send was taken within the last window.
  bool isUnused(TimePoint Now) const {
    return this->LastTakenAt == TimePoint{} ||
           Now - this->LastTakenAt > this->Limit.Window;
  }

  /// \returns how many extra sends were denied.
  std::uint64_t denied() const { return this->Denied; }

private:
  /// Number of slices in a window.
  static constexpr std::size_t SliceCount = 20;
  /// Share of the limit that is used. Processes may briefly disagree on how
  /// many share the limit, and the fleet's window is not aligned with this one.
  static constexpr double SafetyFactor = 0.85;

  /// Counters of one part of the window.
  struct Slice {
    std::uint32_t Requests = 0;
    std::uint32_t Extras = 0;
  };

  Slice &currentSlice() { return this->Slices[this->Index % Slices.size()]; }

  /// \returns how many extra sends the window allows.
  double allowedExtras(TimePoint Now) const {
    const double Ratio =
        this->Limit.Ratio * static_cast<double>(this->Requests);
    const bool InFirstWindow = Now < this->SenderSince + this->Limit.Window;
    const double Slack =
        InFirstWindow || this->Senders == 0
            ? 0
            : this->Limit.Slack / static_cast<double>(this->Senders);
    return SafetyFactor * (Ratio + Slack);
  }

  /// Moves the window to \p Now and drops slices that have left it.
  void advanceTo(TimePoint Now) {
    const auto SliceLength = this->Limit.Window / static_cast<int>(SliceCount);
    const auto Target =
        static_cast<std::uint64_t>(Now.time_since_epoch() / SliceLength);
    if (this->Index == 0)
      this->Index = Target;
    if (Target > this->Index + this->Slices.size())
      this->Index = Target - this->Slices.size();
    while (this->Index < Target) {
      ++this->Index;
      // The slice that is reused holds counts that are older than a window.
      this->Requests -= this->currentSlice().Requests;
      this->Extras -= this->currentSlice().Extras;
      this->currentSlice() = {};
    }
  }

  ExtraSendLimit Limit;
  std::size_t Senders = 0;
  TimePoint SenderSince{};
  TimePoint LastTakenAt{};
  std::array<Slice, SliceCount + 1> Slices{};
  std::uint64_t Index = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
  std::uint64_t Denied = 0;
};

} // namespace citronlever
