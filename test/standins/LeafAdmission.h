#pragma once

#include "test/standins/HttpServer.h"
#include "test/standins/LeafBehaviour.h"

#include <list>

namespace citronlever::standin {

/// Whether a request got a slot, or why not.
enum class AdmissionResult : std::uint8_t {
  Granted,
  Shed,
  Draining,
  Overloaded,
  Cancelled,
  TimedOut
};

/// A request being queued or processed by a leaf.
struct RequestState {
  explicit RequestState(net::io_context &Context) : Timer(Context) {}
  net::steady_timer Timer;
  TimePoint Deadline = TimePoint::max();
  bool Granted = false;
  bool Cancelled = false;
};
using RequestStatePtr = std::shared_ptr<RequestState>;

/// Admission control of one leaf: slots, wait queue and cold start.
class LeafAdmission {
public:
  explicit LeafAdmission(const LeafBehaviour &Behaviour)
      : Behaviour(Behaviour) {}

  /// Waits for a slot. On Granted the caller must call releaseSlot() at the
  /// end.
  net::awaitable<AdmissionResult> acquireSlot(RequestStatePtr State);

  /// Releases the slot; \p Served: the request was processed successfully.
  void releaseSlot(bool Served);

  /// Makes the leaf cold at \p Now.
  void startCold(TimePoint Now);
  void warmUp() { this->Cold = false; }

  /// \returns whether the leaf is cold at \p Now.
  bool isCold(TimePoint Now);

  int activeRequests() const { return this->Active; }
  std::size_t queuedRequests() const { return this->Queue.size(); }

  int MaxActive = 0;
  int MaxActiveCold = 0;
  std::uint64_t ColdOverloads = 0;

private:
  net::awaitable<AdmissionResult> waitInQueue(RequestStatePtr State);
  void occupySlot(TimePoint Now);
  void grantFreeSlots();
  void startOverload(TimePoint Now);

  const LeafBehaviour &Behaviour;
  std::list<RequestStatePtr> Queue;
  int Active = 0;
  bool Cold = false;
  int ServedWhileCold = 0;
  TimePoint ColdUntil{};
  TimePoint FailingUntil{};
};

} // namespace citronlever::standin
