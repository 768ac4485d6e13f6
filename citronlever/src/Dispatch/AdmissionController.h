#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/CallerTiming.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace citronlever {

/// A queued request with the fields that order the queue.
struct WaitingRequest {
  /// First tries come before others of the same priority: they can still be in
  /// time. Callers that came back without waiting come last.
  CallerTry Try = CallerTry::First;
  /// 0 is the most urgent.
  int Priority = 0;
  /// Latest time at which the answer can leave and still meet the latency
  /// objective.
  TimePoint AnswerBy{};
  std::uint64_t Id = 0;

  bool operator<(const WaitingRequest &Other) const {
    return std::tuple(this->Priority, this->Try, this->AnswerBy, this->Id) <
           std::tuple(Other.Priority, Other.Try, Other.AnswerBy, Other.Id);
  }
};

/// Limits how many requests to the same services this process serves at once,
/// orders the waiting ones and rejects the rest. Load pattern: callers offer
/// two to five times what the leaves' slots can serve, so that queues at the
/// leaves would make every answer late.
///
/// The concurrency limit follows the queue lengths that leaves report (additive
/// increase, multiplicative decrease): a long mean queue lowers it at once, a
/// short one raises it slowly.
class AdmissionController {
public:
  /// Minimum time between two changes of the limit.
  static constexpr Duration AdaptPeriod = Milliseconds(50);
  static constexpr std::size_t MinLimit = 1;
  static constexpr std::size_t MaxLimit = 64;
  /// Maximum number of waiting requests. One more rejects the request that is
  /// last in the order.
  static constexpr std::size_t MaxWaiting = 64;

  /// Admits a request if the limit allows it and no other request waits.
  /// \returns whether it was admitted.
  bool tryAdmit();

  /// Frees the slot of an admitted request that has been answered.
  void release();

  /// Adds a request to the queue.
  /// \returns the id of the request that is rejected because the queue is full,
  /// which may be \p Request itself, or 0.
  std::uint64_t enqueue(const WaitingRequest &Request);

  /// Admits the first request in the queue if the limit allows it.
  /// \returns its id, or 0.
  std::uint64_t admitNext();

  /// Removes a request from the queue, for example after its caller left.
  void removeWaiting(const WaitingRequest &Request) {
    this->Queue.erase(Request);
  }

  /// \returns whether it is time to call adaptLimit().
  bool isAdaptDue(TimePoint Now) const { return Now >= this->AdaptAt; }

  /// Adapts the limit.
  /// \param MeanQueue mean number of requests waiting at a leaf, divided by the
  /// leaf's slots.
  void adaptLimit(double MeanQueue, TimePoint Now);

  /// \returns how many requests may be served at once.
  std::size_t limit() const { return this->Limit; }
  /// \returns how many admitted requests are not answered yet.
  std::size_t running() const { return this->Running; }
  std::size_t waiting() const { return this->Queue.size(); }

private:
  std::size_t Limit = MaxLimit;
  std::size_t Running = 0;
  std::set<WaitingRequest> Queue;
  TimePoint AdaptAt{};
};

} // namespace citronlever
