#include "citronlever/src/Rollout/LeaseHolder.h"

#include <mutex>
#include <utility>

namespace citronlever {

struct LeaseHolder::State : std::enable_shared_from_this<State> {
  State(Platform &Store, std::string Key, std::string Name)
      : Store(Store), Key(std::move(Key)), Name(std::move(Name)) {}

  void acquire(TimePoint SentAt);
  void claimKey(const std::string &LeaseId, TimePoint SentAt);
  void renew(TimePoint SentAt);
  void clear();

  Platform &Store;
  const std::string Key;
  const std::string Name;

  std::mutex Mutex;
  bool CallPending = false;
  std::string HeldLease;
  std::uint64_t FencingToken = 0;
  /// Send time of the last successful grant or renewal.
  TimePoint RenewedAt{};
};

void LeaseHolder::State::clear() {
  const std::lock_guard Lock(this->Mutex);
  this->CallPending = false;
  this->HeldLease.clear();
  this->FencingToken = 0;
}

void LeaseHolder::State::acquire(TimePoint SentAt) {
  this->Store.grantLease(TimeToLive, [Self = this->shared_from_this(),
                                      SentAt](const PlatformResult &R) {
    if (R.done())
      Self->claimKey(R.Value, SentAt);
    else
      Self->clear();
  });
}

void LeaseHolder::State::claimKey(const std::string &LeaseId,
                                  TimePoint SentAt) {
  this->Store.compareAndSwap(this->Key, this->Name, 0, LeaseId,
                             [Self = this->shared_from_this(), LeaseId,
                              SentAt](const PlatformResult &R) {
                               if (!R.done()) {
                                 Self->Store.dropLease(
                                     LeaseId, [](const PlatformResult &) {});
                                 Self->clear();
                                 return;
                               }
                               const std::lock_guard Lock(Self->Mutex);
                               Self->CallPending = false;
                               Self->HeldLease = LeaseId;
                               Self->FencingToken = R.Revision;
                               Self->RenewedAt = SentAt;
                             });
}

void LeaseHolder::State::renew(TimePoint SentAt) {
  this->Store.renewLease(this->HeldLease, [Self = this->shared_from_this(),
                                           SentAt](const PlatformResult &R) {
    if (R.Status == PlatformStatus::Absent) {
      Self->clear();
      return;
    }
    const std::lock_guard Lock(Self->Mutex);
    Self->CallPending = false;
    if (R.done())
      Self->RenewedAt = SentAt;
  });
}

LeaseHolder::LeaseHolder(Platform &Store, std::string Key, std::string Name)
    : Data(std::make_shared<State>(Store, std::move(Key), std::move(Name))) {}

void LeaseHolder::tick(bool ShouldHold, TimePoint Now) {
  State &S = *this->Data;
  std::unique_lock Lock(S.Mutex);
  if (S.CallPending)
    return;
  if (!ShouldHold) {
    const std::string Released = std::exchange(S.HeldLease, "");
    S.FencingToken = 0;
    Lock.unlock();
    if (!Released.empty())
      S.Store.dropLease(Released, [](const PlatformResult &) {});
    return;
  }
  const bool Held = !S.HeldLease.empty();
  if (Held && Now - S.RenewedAt < RenewPeriod)
    return;
  S.CallPending = true;
  Lock.unlock();
  if (Held)
    S.renew(Now);
  else
    S.acquire(Now);
}

std::optional<std::uint64_t> LeaseHolder::fencingToken(TimePoint Now) const {
  const std::lock_guard Lock(this->Data->Mutex);
  if (this->Data->FencingToken == 0 ||
      Now - this->Data->RenewedAt >= SafeHoldTime)
    return std::nullopt;
  return this->Data->FencingToken;
}

} // namespace citronlever
