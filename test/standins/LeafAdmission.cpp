#include "test/standins/LeafAdmission.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace citronlever::standin {

bool LeafAdmission::cold(TimePoint Now) {
  if (this->Cold && Now >= this->ColdUntil &&
      this->ServedCold >= this->Behaviour.ColdRequests)
    this->Cold = false;
  return this->Cold;
}

void LeafAdmission::startCold(TimePoint Now) {
  this->Cold = true;
  this->ServedCold = 0;
  this->ColdUntil = Now + this->Behaviour.ColdTime;
}

void LeafAdmission::fall(TimePoint Now) {
  ++this->ColdOverloads;
  this->startCold(Now);
  this->FallenUntil = Now + this->Behaviour.FallTime;
}

void LeafAdmission::take(TimePoint Now) {
  ++this->InWork;
  this->MaxInWork = std::max(this->MaxInWork, this->InWork);
  if (this->cold(Now))
    this->MaxInWorkCold = std::max(this->MaxInWorkCold, this->InWork);
}

net::awaitable<GateResult> LeafAdmission::enter(LeafWorkPtr Work) {
  const TimePoint Now = Clock::now();
  if (this->Behaviour.Draining)
    co_return GateResult::Draining;
  if (Now < this->FallenUntil) {
    this->startCold(Now);
    co_return GateResult::Overloaded;
  }
  if (this->cold(Now) && this->InWork >= this->Behaviour.ColdSlots) {
    this->MaxInWorkCold = std::max(this->MaxInWorkCold, this->InWork + 1);
    this->fall(Now);
    co_return GateResult::Overloaded;
  }
  if (this->InWork < this->Behaviour.Slots && this->Queue.empty()) {
    this->take(Now);
    co_return GateResult::Granted;
  }
  if (this->Queue.size() >=
      static_cast<std::size_t>(this->Behaviour.QueueLimit))
    co_return GateResult::Shed;
  co_return co_await this->waitInQueue(Work);
}

net::awaitable<GateResult> LeafAdmission::waitInQueue(LeafWorkPtr Work) {
  const auto Place = this->Queue.insert(this->Queue.end(), Work);
  while (!Work->Granted && !Work->Cancelled && Clock::now() < Work->Deadline) {
    Work->Timer.expires_at(Work->Deadline);
    boost::system::error_code Woken;
    co_await Work->Timer.async_wait(
        net::redirect_error(net::use_awaitable, Woken));
  }
  if (Work->Granted)
    co_return GateResult::Granted;
  this->Queue.erase(Place);
  co_return Work->Cancelled ? GateResult::Cancelled : GateResult::TimedOut;
}

void LeafAdmission::leave(bool Served) {
  --this->InWork;
  if (Served && this->Cold)
    ++this->ServedCold;
  this->grantNext();
}

void LeafAdmission::grantNext() {
  const TimePoint Now = Clock::now();
  const int Limit =
      this->cold(Now) ? this->Behaviour.ColdSlots : this->Behaviour.Slots;
  while (!this->Queue.empty() && this->InWork < Limit) {
    const LeafWorkPtr Work = this->Queue.front();
    this->Queue.pop_front();
    Work->Granted = true;
    this->take(Now);
    Work->Timer.cancel();
  }
}

} // namespace citronlever::standin
