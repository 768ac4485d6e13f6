#include "test/standins/LeafAdmission.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace citronlever::standin {

bool LeafAdmission::isCold(TimePoint Now) {
  if (this->Cold && Now >= this->ColdUntil &&
      this->ServedWhileCold >= this->Behaviour.MinColdRequests)
    this->Cold = false;
  return this->Cold;
}

void LeafAdmission::startCold(TimePoint Now) {
  this->Cold = true;
  this->ServedWhileCold = 0;
  this->ColdUntil = Now + this->Behaviour.MinColdTime;
}

void LeafAdmission::startOverload(TimePoint Now) {
  ++this->ColdOverloads;
  this->startCold(Now);
  this->FailingUntil = Now + this->Behaviour.OverloadFailureTime;
}

void LeafAdmission::occupySlot(TimePoint Now) {
  ++this->Active;
  this->MaxActive = std::max(this->MaxActive, this->Active);
  if (this->isCold(Now))
    this->MaxActiveCold = std::max(this->MaxActiveCold, this->Active);
}

net::awaitable<AdmissionResult>
LeafAdmission::acquireSlot(RequestStatePtr State) {
  const TimePoint Now = Clock::now();
  if (this->Behaviour.Draining)
    co_return AdmissionResult::Draining;
  if (Now < this->FailingUntil) {
    this->startCold(Now);
    co_return AdmissionResult::Overloaded;
  }
  if (this->isCold(Now) && this->Active >= this->Behaviour.ColdSlots) {
    this->MaxActiveCold = std::max(this->MaxActiveCold, this->Active + 1);
    this->startOverload(Now);
    co_return AdmissionResult::Overloaded;
  }
  if (this->Active < this->Behaviour.Slots && this->Queue.empty()) {
    this->occupySlot(Now);
    co_return AdmissionResult::Granted;
  }
  if (this->Queue.size() >=
      static_cast<std::size_t>(this->Behaviour.QueueLimit))
    co_return AdmissionResult::Shed;
  co_return co_await this->waitInQueue(State);
}

net::awaitable<AdmissionResult>
LeafAdmission::waitInQueue(RequestStatePtr State) {
  const auto Position = this->Queue.insert(this->Queue.end(), State);
  while (!State->Granted && !State->Cancelled &&
         Clock::now() < State->Deadline) {
    State->Timer.expires_at(State->Deadline);
    boost::system::error_code Interrupted;
    co_await State->Timer.async_wait(
        net::redirect_error(net::use_awaitable, Interrupted));
  }
  if (State->Granted)
    co_return AdmissionResult::Granted;
  this->Queue.erase(Position);
  co_return State->Cancelled ? AdmissionResult::Cancelled
                             : AdmissionResult::TimedOut;
}

void LeafAdmission::releaseSlot(bool Served) {
  --this->Active;
  if (Served && this->Cold)
    ++this->ServedWhileCold;
  this->grantFreeSlots();
}

void LeafAdmission::grantFreeSlots() {
  const TimePoint Now = Clock::now();
  const int Limit =
      this->isCold(Now) ? this->Behaviour.ColdSlots : this->Behaviour.Slots;
  while (!this->Queue.empty() && this->Active < Limit) {
    const RequestStatePtr State = this->Queue.front();
    this->Queue.pop_front();
    State->Granted = true;
    this->occupySlot(Now);
    State->Timer.cancel();
  }
}

} // namespace citronlever::standin
