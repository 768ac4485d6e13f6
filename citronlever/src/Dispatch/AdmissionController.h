#pragma once

#include "citronlever/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>

namespace citronlever {

/// What the order of waiting requests goes by.
struct WaitingRequest {
  /// The caller was refused before and has come back as it was told.
  bool IsRetry = false;
  /// 0 is the most urgent.
  int Priority = 0;
  /// When its answer must leave to be in time.
  TimePoint AnswerBy{};
  std::uint64_t Id = 0;

  bool operator<(const WaitingRequest &Other) const {
    return std::tuple(this->Priority, this->IsRetry, this->AnswerBy, this->Id) <
           std::tuple(Other.Priority, Other.IsRetry, Other.AnswerBy, Other.Id);
  }
};

/// Decides how many requests to the same services this process serves at once,
/// who waits, and who is turned away. Load pattern: callers offer two to five
/// times what the leaves' slots bear, so that queues at the leaves would make
/// every answer late.
///
/// The number follows what leaves say of their queues: a mean queue beyond a
/// part of the slots takes it down at once, shorter queues let it grow slowly.
class AdmissionController {
public:
  /// Time between two changes of the number.
  static constexpr Duration AdaptPeriod = Milliseconds(50);
  static constexpr std::size_t MinLimit = 1;
  static constexpr std::size_t MaxLimit = 64;
  /// Waiting requests beyond which the last in order is turned away.
  static constexpr std::size_t MaxWaiting = 64;

  /// Starts to serve a request if there is room.
  bool tryAdmit();

  /// A request that had entered has its final answer.
  void release();

  /// Lets a request wait. \returns the id of one that is turned away for it,
  /// which may be its own, or 0.
  std::uint64_t enqueue(const WaitingRequest &Request);

  /// \returns the id of the waiting request that enters now, or 0.
  std::uint64_t admitNext();

  /// A waiting request no longer waits.
  void removeWaiting(const WaitingRequest &Request) {
    this->Queue.erase(Request);
  }

  /// \returns whether adaptLimit() should be called.
  bool isAdaptDue(TimePoint Now) const { return Now >= this->AdaptAt; }

  /// Changes the number. \param MeanQueue mean number of requests that wait at
  /// a leaf, in parts of its slots.
  void adaptLimit(double MeanQueue, TimePoint Now);

  std::size_t limit() const { return this->Limit; }
  std::size_t running() const { return this->Running; }
  std::size_t waiting() const { return this->Queue.size(); }

private:
  std::size_t Limit = MaxLimit;
  std::size_t Running = 0;
  std::set<WaitingRequest> Queue;
  TimePoint AdaptAt{};
};

} // namespace citronlever
