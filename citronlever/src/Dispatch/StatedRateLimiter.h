#pragma once

#include "citronlever/src/Core/TokenBucket.h"
#include "citronlever/src/Dispatch/StatedRate.h"

#include <cstddef>

namespace citronlever {

/// The place of this process in the order of the processes that may send to one
/// leaf. All processes with the same view compute the same order.
struct SenderPlace {
  /// Number of processes before this one.
  std::size_t Rank = 0;
  /// Number of processes in the order.
  std::size_t Count = 1;
  /// Whether this process is in the order. Callers are not directed to others.
  bool IsListed = true;
};

/// Limits the calls from this process to one leaf that states how many requests
/// per second it takes from the whole fleet. Load pattern: a leaf in need of
/// rest, and every process has work for it at once.
///
/// No process grants the others their shares. A share of the rate and of a
/// bounded burst goes to each of the first processes in the leaf's order, so
/// many that a share of the burst is at least one request. The others send
/// nothing, except in turn when nobody has heard of the leaf for long: somebody
/// must notice that it has recovered. What a leaf states is shared, so that the
/// turns are the same everywhere and all know of the end of the limit.
class StatedRateLimiter {
public:
  /// Takes what the leaf stated, unless something newer is known.
  /// \returns whether it was newer.
  bool onStated(const StatedRate &New, TimePoint Now);

  /// Takes what the leaf stated to another process.
  /// \returns whether it was newer than what is known.
  bool onShared(const StatedRate &New, TimePoint Now);

  /// \returns what the other processes should be told now, if anything. If they
  /// have just heard as much, from this process or another one, nothing.
  std::optional<StatedRate> takeShareable();

  void setPlace(SenderPlace Place, TimePoint Now);

  const StatedRate &stated() const { return this->Stated; }
  bool isLimited() const { return this->Stated.PerSecond.has_value(); }

  /// \returns whether a call may be sent at \p Now.
  bool canSend(TimePoint Now);
  /// \returns whether a copy of a request may be sent as well: calls of
  /// requests that have not been sent yet come first.
  bool canSendCopy(TimePoint Now);
  /// Counts a call that is handed to the leaf's connections.
  void countSend(TimePoint Now);
  /// Returns a counted call that was not sent.
  void refund();

  /// \returns the share of the burst that is used up, in [0, 1]; 0 without a
  /// limit.
  double usedShare(TimePoint Now);
  /// \returns the requests per second of this process; 0 if it has no share or
  /// there is no limit.
  double ownRate() const;

  /// \returns among how many processes the rate is divided.
  std::size_t shareCount() const;

private:
  /// \returns the requests that all processes together may send at once.
  double fleetBurst() const;
  bool hasShare() const;
  void configureBucket(TimePoint Now);
  /// Sets when this process, without a share, may send if no newer statement
  /// comes.
  void scheduleTurn();

  StatedRate Stated;
  /// The newest statement that the processes have told each other.
  StatedRate Shared;
  SenderPlace Place;
  /// Begins with a second's worth, because calls that wait are moved when the
  /// leaf begins to state a limit, often to another one with a limit.
  TokenBucket Bucket{0, 0};
  TimePoint TurnAt{};
};

} // namespace citronlever
