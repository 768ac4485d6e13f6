#pragma once

#include "test/standins/HttpServer.h"
#include "test/standins/LeafBehaviour.h"

#include <list>

namespace citronlever::standin {

/// How a request came to an end, or that it may go on.
enum class GateResult : std::uint8_t {
  Granted,
  Shed,
  Draining,
  Overloaded,
  Cancelled,
  TimedOut
};

/// A request within a leaf; cancel() reaches it by its id.
struct LeafWork {
  explicit LeafWork(net::io_context &Context) : Timer(Context) {}
  net::steady_timer Timer;
  TimePoint Deadline = TimePoint::max();
  bool Granted = false;
  bool Cancelled = false;
};
using LeafWorkPtr = std::shared_ptr<LeafWork>;

/// Slots, queue and cold start of one leaf.
class LeafAdmission {
public:
  explicit LeafAdmission(const LeafBehaviour &Behaviour)
      : Behaviour(Behaviour) {}

  /// Waits for a slot. On Granted the caller must call leave() at the end.
  net::awaitable<GateResult> enter(LeafWorkPtr Work);

  /// Gives the slot back; \p Served says that the request was served.
  void leave(bool Served);

  /// Turns the leaf cold at \p Now.
  void startCold(TimePoint Now);
  void warmUp() { this->Cold = false; }

  /// \returns whether the leaf is cold at \p Now.
  bool cold(TimePoint Now);

  int inWork() const { return this->InWork; }
  std::size_t queued() const { return this->Queue.size(); }

  int MaxInWork = 0;
  int MaxInWorkCold = 0;
  std::uint64_t ColdOverloads = 0;

private:
  net::awaitable<GateResult> waitInQueue(LeafWorkPtr Work);
  void take(TimePoint Now);
  void grantNext();
  void fall(TimePoint Now);

  const LeafBehaviour &Behaviour;
  std::list<LeafWorkPtr> Queue;
  int InWork = 0;
  bool Cold = false;
  int ServedCold = 0;
  TimePoint ColdUntil{};
  TimePoint FallenUntil{};
};

} // namespace citronlever::standin
