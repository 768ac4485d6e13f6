#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstddef>

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
/// Tokens come with requests and, for the slack, with time. A bucket of half
/// the slack that regains the other half in a window never gives more than the
/// limit in any window. It starts empty, since a process that was restarted
/// does not know what it has spent.
class ExtraSendWindow {
public:
  explicit ExtraSendWindow(ExtraSendLimit Limit) : Limit(Limit) {}

  /// \p Sharers processes divide the slack.
  void setSharers(std::size_t Count, TimePoint Now) {
    this->refill(Now);
    this->Sharers = Count;
    this->Tokens = std::min(this->Tokens, this->capacity());
  }

  /// A request for the service came from a caller.
  void request(TimePoint Now) {
    this->refill(Now);
    this->gain(SafeShare * this->Limit.Ratio);
  }

  /// Takes one extra send and leaves at least \p Reserve (of 1) of the bucket.
  bool tryTake(TimePoint Now, double Reserve = 0) {
    this->refill(Now);
    if (this->Tokens < 1 + Reserve * this->capacity())
      return false;
    this->Tokens -= 1;
    return true;
  }

  /// Gives back an extra send that was never handed to a connection.
  void giveBack() { this->gain(1); }

  double tokens() const { return this->Tokens; }

private:
  /// Part of the limit that is used, since requests that this process counts
  /// may fall into a neighbouring window of the operators' count.
  static constexpr double SafeShare = 0.85;
  /// A bucket that can't hold one send would never give one.
  static constexpr double LeastCapacity = 1.5;

  double part() const {
    return this->Sharers == 0 ? 0
                              : SafeShare * this->Limit.Slack /
                                    static_cast<double>(this->Sharers);
  }

  double capacity() const {
    return this->Sharers == 0 ? 0 : std::max(LeastCapacity, this->part() / 2);
  }

  void gain(double Count) {
    this->Tokens = std::min(this->capacity(), this->Tokens + Count);
  }

  void refill(TimePoint Now) {
    if (this->Last != TimePoint{} && Now > this->Last)
      this->gain(this->part() / 2 *
                 (std::chrono::duration<double>(Now - this->Last) /
                  this->Limit.Window));
    this->Last = std::max(this->Last, Now);
  }

  ExtraSendLimit Limit;
  std::size_t Sharers = 0;
  double Tokens = 0;
  TimePoint Last{};
};

} // namespace citronlever
