#include "citronlever/src/Registry/MemberLease.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/io_context.hpp>

namespace citronlever {

MemberLease::MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
                         const DocumentReader &Documents, FleetMember Self,
                         MemberLeaseSettings Settings)
    : Store(Store), Documents(Documents), Self(std::move(Self)),
      Settings(Settings), Timer(Context) {}

void MemberLease::after(Duration Pause, void (MemberLease::*Then)()) {
  this->Timer.expires_after(Pause);
  this->Timer.async_wait([Self = this->shared_from_this(), Then](auto Failure) {
    if (!Failure && !Self->Ended)
      ((*Self).*Then)();
  });
}

void MemberLease::grant() {
  this->Lease = 0;
  this->Store.grantLease(
      this->Settings.TimeToLive,
      [Self = this->shared_from_this()](const StoreReply &Reply) {
        if (Self->Ended)
          return;
        if (Reply.Status != StoreStatus::Done) {
          Self->after(Self->Settings.RetryPause, &MemberLease::grant);
          return;
        }
        Self->Lease = Reply.Lease;
        Self->writeEntry();
      });
}

void MemberLease::writeEntry() {
  StoreWrite Entry;
  Entry.Key = this->Documents.memberKey(this->Self.Name);
  Entry.Value = encodeMember(this->Self);
  Entry.Lease = this->Lease;
  this->Store.write(std::move(Entry), [Self = this->shared_from_this()](
                                          const StoreReply &Reply) {
    if (Self->Ended)
      return;
    if (Reply.Status == StoreStatus::Done)
      Self->after(Self->Settings.Renewal, &MemberLease::renew);
    else if (Reply.Status == StoreStatus::Absent)
      Self->after(Self->Settings.RetryPause, &MemberLease::grant);
    else
      Self->after(Self->Settings.RetryPause, &MemberLease::writeEntry);
  });
}

void MemberLease::renew() {
  this->Store.renewLease(
      this->Lease, [Self = this->shared_from_this()](const StoreReply &Reply) {
        if (Self->Ended)
          return;
        if (Reply.Status == StoreStatus::Done) {
          Self->after(Self->Settings.Renewal, &MemberLease::renew);
          return;
        }
        if (Reply.Status == StoreStatus::Absent) {
          logEvent(event::MemberLeaseLost, Self->Self.Name);
          Self->grant();
          return;
        }
        Self->after(Self->Settings.RetryPause, &MemberLease::renew);
      });
}

void MemberLease::leave() {
  this->Self.Leaving = true;
  if (this->Lease != 0)
    this->writeEntry();
}

void MemberLease::end() {
  this->Ended = true;
  this->Timer.cancel();
  if (this->Lease != 0)
    this->Store.endLease(this->Lease, [](const StoreReply &) {});
}

} // namespace citronlever
