#pragma once

#include "citronlever/src/Core/Time.h"

#include <algorithm>

namespace citronlever {

/// Times of a planned stop. Callers use an address for up to
/// \c AddressLifetimeTtls times the directory's time to live; until then the
/// process serves them. It then closes idle connections and ends as soon as
/// every request read has been answered. Requests that are left at
/// \c lastAnswersAt() get their final answers then, and the process ends at the
/// deadline in any case, whatever a caller, a leaf, a member or the store does.
class PlannedStop {
public:
  /// \param Timeout time from the signal until the process is killed.
  /// \param DirectoryTimeToLive time to live of the addresses handed out.
  PlannedStop(Duration Timeout, Duration DirectoryTimeToLive)
      : Timeout(Timeout), DirectoryTimeToLive(DirectoryTimeToLive) {}

  void begin(TimePoint Now) { this->StartedAt = Now; }

  /// \returns when callers no longer use the addresses handed out before the
  /// stop.
  TimePoint addressesExpireAt() const {
    return std::min(this->StartedAt +
                        AddressLifetimeTtls * this->DirectoryTimeToLive +
                        ClockTolerance,
                    this->lastAnswersAt());
  }

  /// \returns when requests that are left get their final answers.
  TimePoint lastAnswersAt() const {
    return this->StartedAt +
           std::max(Duration::zero(), this->Timeout - FinalAnswerTime);
  }

  /// \returns when the process ends even if requests are left.
  TimePoint deadline() const {
    return this->StartedAt +
           std::max(Duration::zero(), this->Timeout - ExitTime);
  }

  /// \returns whether the process ends at \p Now.
  /// \param Connections number of callers' open connections.
  bool isDone(std::size_t Connections, TimePoint Now) const {
    if (Now < this->addressesExpireAt())
      return false;
    return Connections == 0 || Now >= this->deadline();
  }

  /// \returns the longest time to live for which a stop that takes \p Timeout
  /// can wait until callers no longer use the addresses. The longer it is, the
  /// fewer requests begin with a question to the directory.
  static Duration longestTimeToLive(Duration Timeout) {
    constexpr Duration MinTimeToLive = Milliseconds(100);
    constexpr Duration MaxTimeToLive = Seconds(5);
    return std::clamp(
        (Timeout - FinalAnswerTime - LastRequestTime - ClockTolerance) /
            AddressLifetimeTtls,
        MinTimeToLive, MaxTimeToLive);
  }

private:
  static constexpr int AddressLifetimeTtls = 3;
  static constexpr Duration ClockTolerance = Milliseconds(200);
  /// Time at the end of a planned stop that is left for sending last answers.
  static constexpr Duration FinalAnswerTime = Milliseconds(400);
  /// Part of it in which the process exits.
  static constexpr Duration ExitTime = Milliseconds(200);
  /// Time for serving the last requests.
  static constexpr Duration LastRequestTime = Milliseconds(600);

  Duration Timeout;
  Duration DirectoryTimeToLive;
  TimePoint StartedAt = TimePoint::max();
};

} // namespace citronlever
