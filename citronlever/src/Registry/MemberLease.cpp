#include "citronlever/src/Registry/MemberLease.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/io_context.hpp>

namespace citronlever {

MemberLease::MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
                         const DocumentReader &Documents,
                         FleetMember Registration, MemberLeaseSettings Settings)
    : Store(Store), Documents(Documents), Registration(std::move(Registration)),
      Settings(Settings), Timer(Context) {}

void MemberLease::scheduleAfter(Duration Delay, void (MemberLease::*Step)()) {
  this->Timer.expires_after(Delay);
  this->Timer.async_wait([Self = this->shared_from_this(), Step](auto Failure) {
    if (!Failure && !Self->Released)
      ((*Self).*Step)();
  });
}

void MemberLease::requestLease() {
  this->Lease = 0;
  this->Store.grantLease(
      this->Settings.TimeToLive,
      [Self = this->shared_from_this()](const StoreWriteResult &Reply) {
        if (Self->Released)
          return;
        if (Reply.Status != StoreStatus::Done) {
          Self->scheduleAfter(Self->Settings.RetryDelay,
                              &MemberLease::requestLease);
          return;
        }
        Self->Lease = Reply.Lease;
        Self->writeRegistration();
      });
}

void MemberLease::writeRegistration() {
  StoreWrite Write;
  Write.Key = this->Documents.memberKey(this->Registration.Name);
  Write.Value = encodeMember(this->Registration);
  Write.Lease = this->Lease;
  this->Store.write(std::move(Write), [Self = this->shared_from_this()](
                                          const StoreWriteResult &Reply) {
    if (Self->Released)
      return;
    if (Reply.Status == StoreStatus::Done)
      Self->scheduleAfter(Self->Settings.RenewalPeriod,
                          &MemberLease::renewLease);
    else if (Reply.Status == StoreStatus::Absent)
      Self->scheduleAfter(Self->Settings.RetryDelay,
                          &MemberLease::requestLease);
    else
      Self->scheduleAfter(Self->Settings.RetryDelay,
                          &MemberLease::writeRegistration);
  });
}

void MemberLease::renewLease() {
  this->Store.renewLease(this->Lease, [Self = this->shared_from_this()](
                                          const StoreWriteResult &Reply) {
    if (Self->Released)
      return;
    if (Reply.Status == StoreStatus::Done) {
      Self->scheduleAfter(Self->Settings.RenewalPeriod,
                          &MemberLease::renewLease);
      return;
    }
    if (Reply.Status == StoreStatus::Absent) {
      logEvent(event::MemberLeaseLost, Self->Registration.Name);
      Self->requestLease();
      return;
    }
    Self->scheduleAfter(Self->Settings.RetryDelay, &MemberLease::renewLease);
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
