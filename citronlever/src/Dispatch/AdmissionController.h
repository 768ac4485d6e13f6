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
  bool Returning = false;
  /// 0 is the most urgent.
  int Priority = 0;
  /// When its answer must leave to be in time.
  TimePoint AnswerBy{};
  std::uint64_t Id = 0;

  bool operator<(const WaitingRequest &Other) const {
    return std::tuple(this->Priority, this->Returning, this->AnswerBy,
                      this->Id) < std::tuple(Other.Priority, Other.Returning,
                                             Other.AnswerBy, Other.Id);
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
  static constexpr Duration Period = Milliseconds(50);
  static constexpr std::size_t LeastServed = 1;
  static constexpr std::size_t MostServed = 64;
  /// Waiting requests beyond which the last in order is turned away.
  static constexpr std::size_t MostWaiting = 64;

  /// Starts to serve a request if there is room.
  bool tryEnter();

  /// A request that had entered has its final answer.
  void leave();

  /// Lets a request wait. \returns the id of one that is turned away for it,
  /// which may be its own, or 0.
  std::uint64_t wait(const WaitingRequest &Request);

  /// \returns the id of the waiting request that enters now, or 0.
  std::uint64_t next();

  /// A waiting request no longer waits.
  void forget(const WaitingRequest &Request) { this->Line.erase(Request); }

  /// \returns whether adapt() should be called.
  bool due(TimePoint Now) const { return Now >= this->AdaptAt; }

  /// Changes the number. \param Queue mean number of requests that wait at a
  /// leaf, in parts of its slots.
  void adapt(double Queue, TimePoint Now);

  std::size_t limit() const { return this->Limit; }
  std::size_t served() const { return this->Served; }
  std::size_t waiting() const { return this->Line.size(); }

private:
  std::size_t Limit = MostServed;
  std::size_t Served = 0;
  std::set<WaitingRequest> Line;
  TimePoint AdaptAt{};
};

} // namespace citronlever
