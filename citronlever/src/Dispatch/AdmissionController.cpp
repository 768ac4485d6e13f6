#include "citronlever/src/Dispatch/AdmissionController.h"

#include <algorithm>
#include <iterator>

namespace citronlever {

namespace {

/// Queue at the leaves, in parts of their slots, above which fewer requests are
/// served at once, and below which more.
constexpr double LongQueue = 1.2;
constexpr double ShortQueue = 0.8;
constexpr double Decrease = 0.9;

} // namespace

bool AdmissionController::tryEnter() {
  if (this->Served >= this->Limit || !this->Line.empty())
    return false;
  ++this->Served;
  return true;
}

void AdmissionController::leave() { --this->Served; }

std::uint64_t AdmissionController::wait(const WaitingRequest &Request) {
  this->Line.insert(Request);
  if (this->Line.size() <= MostWaiting)
    return 0;
  const auto Last = std::prev(this->Line.end());
  const std::uint64_t TurnedAway = Last->Id;
  this->Line.erase(Last);
  return TurnedAway;
}

std::uint64_t AdmissionController::next() {
  if (this->Line.empty() || this->Served >= this->Limit)
    return 0;
  const std::uint64_t First = this->Line.begin()->Id;
  this->Line.erase(this->Line.begin());
  ++this->Served;
  return First;
}

void AdmissionController::adapt(double Queue, TimePoint Now) {
  this->AdaptAt = Now + Period;
  if (Queue > LongQueue) {
    const std::size_t Used = std::min(this->Limit, this->Served);
    this->Limit = std::max(
        LeastServed,
        static_cast<std::size_t>(Decrease * static_cast<double>(Used)));
    return;
  }
  if (Queue < ShortQueue)
    this->Limit = std::min(MostServed, this->Limit + 1);
}

} // namespace citronlever
