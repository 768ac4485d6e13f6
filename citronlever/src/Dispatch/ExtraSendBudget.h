#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace citronlever {

/// What the operators allow of sends beyond the first of each request to one
/// service, over the whole fleet and in each window of time.
struct ExtraSendLimit {
  /// Extra sends for each request.
  double Ratio = 0.2;
  /// Extra sends in a window beside those of the ratio.
  double Slack = 0;
  Duration Window = Seconds(10);
};

/// This process's part of the fleet's extra sends to one service. Load pattern:
/// mass failures and slow leaves, when every request would like a second send.
///
/// Counts requests and extra sends of the last window, so that what a calm time
/// did not use is there for the seconds of a failure. A process that was just
/// started does not know what it has spent and has no part of the slack until a
/// window has gone by.
class ExtraSendBudget {
public:
  explicit ExtraSendBudget(ExtraSendLimit Limit) : Limit(Limit) {}

  /// \p Count processes divide the slack.
  void setSenders(std::size_t Count) { this->Senders = Count; }

  /// A request for the service came from a caller.
  void countRequest(TimePoint Now) {
    this->advanceTo(Now);
    ++this->currentSlice().Requests;
    ++this->Requests;
  }

  /// Takes one extra send and leaves at least the part \p Reserve of the limit.
  bool tryTake(TimePoint Now, double Reserve = 0) {
    this->advanceTo(Now);
    const double Allowed = this->allowedExtras();
    if (static_cast<double>(this->Extras) + 1 > (1 - Reserve) * Allowed) {
      ++this->Denied;
      return false;
    }
    ++this->currentSlice().Extras;
    ++this->Extras;
    return true;
  }

  /// Gives back an extra send that was never handed to a connection.
  void refund() {
    if (this->currentSlice().Extras == 0)
      return;
    --this->currentSlice().Extras;
    --this->Extras;
  }

  std::uint64_t denied() const { return this->Denied; }

private:
  /// Parts of a window in which counts are kept.
  static constexpr std::size_t SliceCount = 20;
  /// Part of the limit that is used: the fleet's views of who shares it differ
  /// for moments, and requests fall into neighbouring windows.
  static constexpr double SafetyFactor = 0.85;

  struct Slice {
    std::uint32_t Requests = 0;
    std::uint32_t Extras = 0;
  };

  Slice &currentSlice() { return this->Slices[this->Index % Slices.size()]; }

  double allowedExtras() const {
    const double Ratio =
        this->Limit.Ratio * static_cast<double>(this->Requests);
    const bool InFirstWindow = this->Index < this->FirstIndex + SliceCount;
    const double Slack =
        InFirstWindow || this->Senders == 0
            ? 0
            : this->Limit.Slack / static_cast<double>(this->Senders);
    return SafetyFactor * (Ratio + Slack);
  }

  void advanceTo(TimePoint Now) {
    const auto SliceLength = this->Limit.Window / static_cast<int>(SliceCount);
    const auto Target =
        static_cast<std::uint64_t>(Now.time_since_epoch() / SliceLength);
    if (this->FirstIndex == 0)
      this->FirstIndex = this->Index = Target;
    if (Target > this->Index + this->Slices.size())
      this->Index = Target - this->Slices.size();
    while (this->Index < Target) {
      ++this->Index;
      // The slice that is used again lies a whole window and one slice back.
      this->Requests -= this->currentSlice().Requests;
      this->Extras -= this->currentSlice().Extras;
      this->currentSlice() = {};
    }
  }

  ExtraSendLimit Limit;
  std::size_t Senders = 0;
  std::array<Slice, SliceCount + 1> Slices{};
  std::uint64_t Index = 0;
  std::uint64_t FirstIndex = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
  std::uint64_t Denied = 0;
};

} // namespace citronlever
