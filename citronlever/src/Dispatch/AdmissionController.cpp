#include "citronlever/src/Dispatch/AdmissionController.h"

#include <algorithm>
#include <iterator>

namespace citronlever {

namespace {

/// Mean queue per slot above which the limit falls.
constexpr double LongQueue = 1.2;
/// Mean queue per slot below which the limit rises.
constexpr double ShortQueue = 0.8;
/// Factor by which one adaptation lowers the limit.
constexpr double DecreaseFactor = 0.9;

} // namespace

bool AdmissionController::tryAdmit() {
  if (this->Running >= this->Limit || !this->Queue.empty())
    return false;
  ++this->Running;
  return true;
}

void AdmissionController::release() { --this->Running; }

std::uint64_t AdmissionController::enqueue(const WaitingRequest &Request) {
  this->Queue.insert(Request);
  if (this->Queue.size() <= MaxWaiting)
    return 0;
  const auto Last = std::prev(this->Queue.end());
  const std::uint64_t Rejected = Last->Id;
  this->Queue.erase(Last);
  return Rejected;
}

std::uint64_t AdmissionController::admitNext() {
  if (this->Queue.empty() || this->Running >= this->Limit)
    return 0;
  const std::uint64_t First = this->Queue.begin()->Id;
  this->Queue.erase(this->Queue.begin());
  ++this->Running;
  return First;
}

void AdmissionController::adaptLimit(double MeanQueue, TimePoint Now) {
  this->AdaptAt = Now + AdaptPeriod;
  if (MeanQueue > LongQueue) {
    const std::size_t Used = std::min(this->Limit, this->Running);
    this->Limit =
        std::max(MinLimit, static_cast<std::size_t>(DecreaseFactor *
                                                    static_cast<double>(Used)));
    return;
  }
  if (MeanQueue < ShortQueue)
    this->Limit = std::min(MaxLimit, this->Limit + 1);
}

} // namespace citronlever
