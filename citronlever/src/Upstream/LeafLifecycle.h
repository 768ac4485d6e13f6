#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <memory>

namespace citronlever {

/// Where a leaf stands in its life cycle, as its owner sees it.
enum class LeafPhase : std::uint8_t {
  /// Just taken over, restarted or returned: bears its cold slots only.
  Cold,
  /// Answers well; the share grows with each success.
  Ramping,
  Warm,
  /// Said that it is draining: no new work.
  Draining,
  /// Taken out by operators or leaving: no new work.
  OutOfService,
  /// Fails or does not answer: single probes only.
  Failed
};

/// \returns a short name for dumps and logs.
const char *toString(LeafPhase Value);

/// Bounds of the life cycle.
struct LeafLifecycleSettings {
  int ColdSuccesses = 10;
  Duration MinColdTime = Milliseconds(200);
  /// Successes for each further slot.
  int SuccessesPerSlot = 10;
  int Slots = 2;
  int ColdSlots = 1;
  /// Longest time for which slow answers keep a ramping leaf where it is.
  Duration MaxSlowRamp = Seconds(10);
  /// Failures in a row after which a leaf counts as failed.
  int ConsecutiveFailuresToFail = 3;
  Duration MinProbeInterval = Milliseconds(200);
  Duration MaxProbeInterval = Seconds(2);
  Duration DrainRetryDelay = Seconds(5);
};

/// The life cycle of one leaf: a Boost.MSM machine whose guards look at the
/// time in the event. It is moved by answers to real requests and by operators
/// alone; a health endpoint neither takes a leaf out nor brings it back.
class LeafLifecycle {
public:
  explicit LeafLifecycle(LeafLifecycleSettings Settings, TimePoint Now);
  ~LeafLifecycle();
  LeafLifecycle(LeafLifecycle &&) noexcept;
  LeafLifecycle &operator=(LeafLifecycle &&) noexcept;

  /// \param Slow the answer took as long as those of a leaf that is still cold:
  /// it is no sign that a ramping leaf bears more.
  void onSuccess(TimePoint Now, bool Slow = false);
  void onFailure(TimePoint Now);
  /// A sign that the leaf was restarted or turned cold: a refused connection,
  /// another instance, a latency far above its own baseline, ownership gained.
  void onColdSign(TimePoint Now);
  /// The previous owner vouches that the leaf is warm.
  void onWarmHandover(TimePoint Now);
  void onDraining(TimePoint Now);
  void takeOutOfService(TimePoint Now);
  void returnToService(TimePoint Now);
  void tick(TimePoint Now);

  LeafPhase phase() const;

  /// \returns how many requests may be in work at once.
  int maxInFlight(TimePoint Now) const;

  /// Notes that a probe of a failed leaf was sent.
  void onProbeSent(TimePoint Now);

  /// Makes the next probe of a failed leaf due at \p At.
  void scheduleProbe(TimePoint At);

  /// \returns when tick() or allowed() may change by time alone.
  TimePoint nextChange() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace citronlever
