#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <memory>

namespace citronlever {

/// Phase of a leaf's life cycle as seen by its owner.
enum class LeafPhase : std::uint8_t {
  /// Just taken over, restarted or returned to service: gets at most as many
  /// concurrent requests as it has cold slots.
  Cold,
  /// Answers successfully; the concurrency rises with the successes.
  Ramping,
  /// May use all of its slots.
  Warm,
  /// Announced that it is draining: gets no new requests.
  Draining,
  /// Taken out of service by operators, or on a VM that is leaving: gets no new
  /// requests.
  OutOfService,
  /// Fails or does not answer: gets single probe requests only.
  Failed
};

/// \returns the name of the phase for dumps and logs.
const char *toString(LeafPhase Value);

/// Thresholds of a leaf's life cycle.
struct LeafLifecycleSettings {
  /// The cold phase ends after this many successes, but not before MinColdTime.
  int ColdSuccesses = 10;
  Duration MinColdTime = Milliseconds(200);
  /// Successes of a ramping leaf for each further slot.
  int SuccessesPerSlot = 10;
  /// Maximum concurrent requests of a warm leaf.
  int Slots = 2;
  /// Maximum concurrent requests of a cold leaf.
  int ColdSlots = 1;
  /// Maximum time for which slow answers keep a ramping leaf from advancing.
  Duration MaxSlowRamp = Seconds(10);
  /// Consecutive failures after which a leaf counts as failed.
  int ConsecutiveFailuresToFail = 3;
  /// Interval between probes of a failed leaf; doubles with each failed probe
  /// from the minimum to the maximum.
  Duration MinProbeInterval = Milliseconds(200);
  Duration MaxProbeInterval = Seconds(2);
  /// A draining leaf counts as cold again, and gets requests, this long after
  /// its last announcement.
  Duration DrainRetryDelay = Seconds(5);
};

/// The life cycle of one leaf, a Boost.MSM state machine. It has no clock:
/// every event carries the current time, which the guards evaluate. It is
/// driven by the outcome of real requests, by changes of ownership and by
/// operators or the platform; a health endpoint neither takes a leaf out of
/// service nor returns it.
class LeafLifecycle {
public:
  /// Starts in the cold phase.
  explicit LeafLifecycle(LeafLifecycleSettings Settings, TimePoint Now);
  ~LeafLifecycle();
  LeafLifecycle(LeafLifecycle &&) noexcept;
  LeafLifecycle &operator=(LeafLifecycle &&) noexcept;

  /// Records a successful answer.
  /// \param Slow the answer took as long as those of a cold leaf, so that it
  /// does not show that a ramping leaf can take more load.
  void onSuccess(TimePoint Now, bool Slow = false);
  /// Records a failed request or probe.
  void onFailure(TimePoint Now);
  /// Records a sign that the leaf was restarted or turned cold: a refused
  /// connection, a different instance, a latency far above the leaf's own
  /// baseline, or a change of ownership.
  void onColdSign(TimePoint Now);
  /// The previous owner reported the leaf as warm: a cold leaf starts to ramp.
  void onWarmHandover(TimePoint Now);
  /// The leaf announced that it is draining.
  void onDraining(TimePoint Now);
  /// Operators took the leaf out of service, or its VM is leaving.
  void takeOutOfService(TimePoint Now);
  /// Returns the leaf to service, in the cold phase.
  void returnToService(TimePoint Now);
  /// Performs the transitions that are due by time.
  void tick(TimePoint Now);

  LeafPhase phase() const;

  /// \returns the maximum number of requests in flight.
  int maxInFlight(TimePoint Now) const;

  /// Records that a probe was sent to a failed leaf; the next one is due after
  /// the current backoff.
  void onProbeSent(TimePoint Now);

  /// Sets the time of the next probe of a failed leaf.
  void scheduleProbe(TimePoint At);

  /// \returns the next time at which tick() may change the phase, or
  /// maxInFlight() its result, without another event; TimePoint::max() if none.
  TimePoint nextChange() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace citronlever
