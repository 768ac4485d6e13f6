#include "citronlever/src/Dispatch/StatedRateLimiter.h"

#include <algorithm>
#include <cmath>

namespace citronlever {

namespace {

/// Requests that all processes together may send at once, beyond BurstTime.
constexpr double BaseBurst = 2.5;
/// How long the stated rate may be saved up.
constexpr double BurstTimeSeconds = 1;
/// Rate of the fleet at leaves that state less, requests per second; otherwise
/// the end of a limit of 0 would never be seen.
constexpr double MinFleetRate = 0.25;
/// Age of a statement from which processes without a share may send. Longer
/// than processes with a share need to hear from the leaf at MinFleetRate.
constexpr Duration StaleTime = Seconds(10);
/// Time between the turns of two processes without a share.
constexpr Duration TurnLength = Seconds(1);
/// Time after which an unchanged limit is told to the other processes again.
constexpr Duration ShareInterval = Milliseconds(800);
/// Replaces StaleTime at processes that are in no order, since their turns are
/// not coordinated.
constexpr Duration UnlistedStaleTime = Seconds(60);

} // namespace

bool StatedRateLimiter::onStated(const StatedRate &New, TimePoint Now) {
  if (New.At < this->Stated.At)
    return false;
  const bool WasLimited = this->isLimited();
  this->Stated = New;
  if (!this->isLimited())
    return true;
  if (!WasLimited)
    this->Bucket = TokenBucket(0, this->ownRate() * BurstTimeSeconds);
  this->configureBucket(Now);
  this->scheduleTurn();
  return true;
}

bool StatedRateLimiter::onShared(const StatedRate &New, TimePoint Now) {
  if (New.At > this->Shared.At)
    this->Shared = New;
  return this->onStated(New, Now);
}

std::optional<StatedRate> StatedRateLimiter::takeShareable() {
  const bool Changed = this->Stated.PerSecond != this->Shared.PerSecond;
  const Duration Newer = this->Stated.At - this->Shared.At;
  const bool Due = this->isLimited() && Newer >= ShareInterval;
  if (Newer <= Duration::zero() || (!Changed && !Due))
    return std::nullopt;
  this->Shared = this->Stated;
  return this->Shared;
}

void StatedRateLimiter::setPlace(SenderPlace NewPlace, TimePoint Now) {
  const bool HadShare = this->hasShare();
  this->Place = NewPlace;
  if (!this->isLimited())
    return;
  this->configureBucket(Now);
  if (HadShare && !this->hasShare())
    this->scheduleTurn();
}

double StatedRateLimiter::fleetBurst() const {
  return BaseBurst + this->Stated.PerSecond.value_or(0) * BurstTimeSeconds;
}

std::size_t StatedRateLimiter::shareCount() const {
  const auto ByBurst = static_cast<std::size_t>(this->fleetBurst());
  return std::clamp<std::size_t>(ByBurst, 1,
                                 std::max<std::size_t>(1, this->Place.Count));
}

bool StatedRateLimiter::hasShare() const {
  return this->Place.IsListed && this->Place.Rank < this->shareCount();
}

double StatedRateLimiter::ownRate() const {
  if (!this->isLimited() || !this->hasShare())
    return 0;
  return std::max(*this->Stated.PerSecond, MinFleetRate) /
         static_cast<double>(this->shareCount());
}

void StatedRateLimiter::configureBucket(TimePoint Now) {
  const double Burst =
      this->hasShare()
          ? this->fleetBurst() / static_cast<double>(this->shareCount())
          : 0;
  this->Bucket.configure(this->ownRate(), Burst, Now);
}

void StatedRateLimiter::scheduleTurn() {
  const std::size_t Position =
      this->Place.IsListed ? this->Place.Rank : this->Place.Count;
  this->TurnAt = this->Stated.At +
                 (this->Place.IsListed ? StaleTime : UnlistedStaleTime) +
                 TurnLength * static_cast<Duration::rep>(Position);
}

bool StatedRateLimiter::canSend(TimePoint Now) {
  if (!this->isLimited())
    return true;
  return this->hasShare() ? this->Bucket.tokens(Now) >= 1 : Now >= this->TurnAt;
}

bool StatedRateLimiter::canSendCopy(TimePoint Now) {
  if (!this->isLimited())
    return true;
  const double Spare = this->Bucket.tokens(Now) - 1;
  return this->hasShare() && Spare >= 1 && this->usedShare(Now) < 0.5;
}

void StatedRateLimiter::countSend(TimePoint Now) {
  if (!this->isLimited())
    return;
  if (this->hasShare()) {
    this->Bucket.tryTake(1, Now);
    return;
  }
  this->TurnAt = Now + (this->Place.IsListed ? StaleTime : UnlistedStaleTime) +
                 TurnLength * static_cast<Duration::rep>(this->Place.Count);
}

void StatedRateLimiter::refund() {
  if (this->isLimited() && this->hasShare())
    this->Bucket.add(1);
}

double StatedRateLimiter::usedShare(TimePoint Now) {
  if (!this->isLimited())
    return 0;
  if (!this->hasShare())
    return 1;
  const double Burst =
      this->fleetBurst() / static_cast<double>(this->shareCount());
  return std::clamp(1 - this->Bucket.tokens(Now) / Burst, 0.0, 1.0);
}

} // namespace citronlever
