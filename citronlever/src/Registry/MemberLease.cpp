#include "citronlever/src/Registry/MemberLease.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Registry/RegistrationCheck.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace citronlever {

MemberLease::MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
                         const DocumentReader &Documents,
                         FleetMember Registration, MemberLeaseSettings Settings)
    : Store(Store), Documents(Documents), Registration(std::move(Registration)),
      Settings(Settings), Timer(Context), Random(std::random_device{}()) {}

void MemberLease::scheduleAfter(Duration Delay, void (MemberLease::*Step)()) {
  this->Timer.expires_after(Delay);
  this->Timer.async_wait([Self = this->shared_from_this(), Step](auto Failure) {
    if (!Failure && !Self->Released)
      ((*Self).*Step)();
  });
}

Duration MemberLease::randomDelay(Duration Min, Duration Max) {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      Min.count(), Max.count())(this->Random));
}

void MemberLease::retryLater(void (MemberLease::*Step)()) {
  this->RetryDelay =
      std::clamp(2 * this->RetryDelay, this->Settings.MinRetryDelay,
                 this->Settings.MaxRetryDelay);
  this->FailedStep = Step;
  this->scheduleAfter(this->randomDelay(this->RetryDelay / 2, this->RetryDelay),
                      Step);
}

void MemberLease::onStoreRecovered(Duration Spread) {
  this->RetryDelay = Duration::zero();
  if (this->FailedStep)
    this->scheduleAfter(this->randomDelay(Duration::zero(), Spread),
                        this->FailedStep);
}

void MemberLease::onStoreRead(const StoreItem *Seen, StoreRevision AsOf,
                              Duration Spread) {
  if (this->Released ||
      !isRegistrationLost({this->ConfirmedValue, this->ConfirmedRevision}, Seen,
                          AsOf))
    return;
  // Until the next write is confirmed, what is seen says nothing new.
  this->ConfirmedRevision = {};
  logEvent(event::MemberRegistrationLost, this->Registration.Name);
  const Duration Delay = std::max(Spread, this->RewriteDelay);
  this->RewriteDelay =
      std::clamp(2 * this->RewriteDelay, this->Settings.MinRetryDelay,
                 this->Settings.MaxRetryDelay);
  this->scheduleAfter(this->randomDelay(Duration::zero(), Delay),
                      &MemberLease::writeRegistration);
}

void MemberLease::onStoreRestored(Duration Spread) {
  if (this->Released || this->Lease == 0)
    return;
  // Answers to calls under way say nothing about the next lease.
  ++this->Round;
  this->Lease = 0;
  this->ConfirmedRevision = {};
  this->scheduleAfter(this->randomDelay(Duration::zero(), Spread),
                      &MemberLease::requestLease);
}

void MemberLease::requestLease() {
  this->Lease = 0;
  this->ConfirmedRevision = {};
  this->FailedStep = nullptr;
  this->Store.grantLease(
      this->Settings.TimeToLive,
      [Self = this->shared_from_this(),
       InRound = this->Round](const StoreWriteResult &Reply) {
        if (Self->Released || Self->Round != InRound)
          return;
        if (Reply.Status != StoreStatus::Done) {
          Self->retryLater(&MemberLease::requestLease);
          return;
        }
        Self->RetryDelay = Duration::zero();
        Self->Lease = Reply.Lease;
        Self->writeRegistration();
      });
}

void MemberLease::writeRegistration() {
  this->FailedStep = nullptr;
  std::string Value = encodeMember(this->Registration);
  StoreWrite Write;
  Write.Key = this->Documents.memberKey(this->Registration.Name);
  Write.Value = Value;
  Write.Lease = this->Lease;
  this->ConfirmedRevision = {};
  this->Store.write(std::move(Write),
                    [Self = this->shared_from_this(), InRound = this->Round,
                     Value = std::move(Value)](const StoreWriteResult &Reply) {
                      if (Self->Released || Self->Round != InRound)
                        return;
                      if (Reply.Status == StoreStatus::Done) {
                        Self->ConfirmedValue = Value;
                        Self->ConfirmedRevision = Reply.Revision;
                        Self->RetryDelay = Duration::zero();
                        Self->scheduleAfter(Self->Settings.RenewalPeriod,
                                            &MemberLease::renewLease);
                      } else if (Reply.Status == StoreStatus::Absent) {
                        Self->retryLater(&MemberLease::requestLease);
                      } else {
                        Self->retryLater(&MemberLease::writeRegistration);
                      }
                    });
}

void MemberLease::renewLease() {
  this->FailedStep = nullptr;
  this->Store.renewLease(
      this->Lease, [Self = this->shared_from_this(),
                    InRound = this->Round](const StoreWriteResult &Reply) {
        if (Self->Released || Self->Round != InRound)
          return;
        if (Reply.Status == StoreStatus::Done) {
          Self->RetryDelay = Duration::zero();
          // The registration was lost while the call was under way.
          if (Self->ConfirmedRevision == StoreRevision{}) {
            Self->writeRegistration();
            return;
          }
          Self->RewriteDelay = Duration::zero();
          Self->scheduleAfter(Self->Settings.RenewalPeriod,
                              &MemberLease::renewLease);
          return;
        }
        if (Reply.Status == StoreStatus::Absent) {
          logEvent(event::MemberLeaseLost, Self->Registration.Name);
          Self->requestLease();
          return;
        }
        Self->retryLater(&MemberLease::renewLease);
      });
}

void MemberLease::announceLeaving() {
  this->Registration.Leaving = true;
  if (this->Lease != 0)
    this->writeRegistration();
}

void MemberLease::release() {
  this->Released = true;
  this->Timer.cancel();
  if (this->Lease != 0)
    this->Store.endLease(this->Lease, [](const StoreWriteResult &) {});
}

} // namespace citronlever
