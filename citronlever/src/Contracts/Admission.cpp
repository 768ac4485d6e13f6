#include "citronlever/src/Contracts/Admission.h"

#include <algorithm>

namespace citronlever {

AdmissionTicket &AdmissionTicket::operator=(AdmissionTicket &&Other) noexcept {
  if (this != &Other) {
    this->release();
    this->InFlight = std::move(Other.InFlight);
  }
  return *this;
}

void AdmissionTicket::release() {
  if (this->InFlight)
    this->InFlight->fetch_sub(1, std::memory_order_relaxed);
  this->InFlight.reset();
}

Admission::Admission(std::string Self, ShareSettings Shares,
                     LoadShedderSettings Shedding)
    : Self(std::move(Self)), Shares(Shares), Shedding(Shedding) {
  Fleet Alone;
  Alone.Live = {this->Self};
  Alone.Version = 1;
  this->CurrentFleet = std::make_shared<const Fleet>(std::move(Alone));
}

void Admission::setFleet(std::vector<std::string> Live,
                         double VisibleFraction) {
  const std::lock_guard Lock(this->FleetMutex);
  if (this->CurrentFleet->Live == Live &&
      this->CurrentFleet->VisibleFraction == VisibleFraction)
    return;
  Fleet Next{std::move(Live), VisibleFraction, this->CurrentFleet->Version + 1};
  this->CurrentFleet = std::make_shared<const Fleet>(std::move(Next));
}

std::shared_ptr<const Admission::Fleet> Admission::fleet() const {
  const std::lock_guard Lock(this->FleetMutex);
  return this->CurrentFleet;
}

CustomerEntries Admission::entriesOf(const Contract &Terms) const {
  const std::shared_ptr<const Fleet> Known = this->fleet();
  const std::size_t Count = entryCount(Terms, Known->Live.size(), this->Shares);
  return {chooseEntries(Terms.Customer, Known->Live, Count),
          Known->VisibleFraction};
}

Admission::CustomerState &
Admission::findCustomer(std::unordered_map<std::string, CustomerState> &Map,
                        const Contract &Terms, TimePoint Now) {
  CustomerState &State =
      Map.try_emplace(Terms.Customer, this->Shares).first->second;
  const std::uint64_t Version = this->fleet()->Version;
  if (State.FleetVersion != Version || State.Terms != Terms) {
    State.Terms = Terms;
    State.FleetVersion = Version;
    State.Stats.Customer = Terms.Customer;
    CustomerEntries Entries = this->entriesOf(Terms);
    State.Unassigned =
        std::ranges::find(Entries.Names, this->Self) == Entries.Names.end();
    State.Holder.configure(Terms, std::move(Entries), this->Self, Now);
  }
  return State;
}

AdmissionResult Admission::acquireSlot(CustomerState &State, TimePoint Now) {
  const std::uint32_t Before = State.InFlight->load(std::memory_order_relaxed);
  State.Holder.recordConcurrency(Before + 1);
  if (Before >= State.Holder.share(Now).Concurrency) {
    ++State.Stats.RefusedConcurrency;
    return {AdmissionRefusal::Concurrency,
            {},
            State.Holder.isAwaitingGrant(Now),
            State.Unassigned};
  }
  if (!State.Holder.tryTake(Now)) {
    ++State.Stats.RefusedRate;
    return {AdmissionRefusal::Rate,
            {},
            State.Holder.isAwaitingGrant(Now),
            State.Unassigned};
  }
  ++State.Stats.Admitted;
  State.InFlight->fetch_add(1, std::memory_order_relaxed);
  return {AdmissionRefusal::None, AdmissionTicket(State.InFlight), false,
          State.Unassigned};
}

AdmissionResult Admission::admit(const Contract &Terms,
                                 std::string_view Service, TimePoint Now) {
  AdmissionResult Result = this->Customers.with(Terms.Customer, [&](auto &Map) {
    return this->acquireSlot(this->findCustomer(Map, Terms, Now), Now);
  });
  // Requests above the contract are refused before they count as load of the
  // service, so that a flood by one customer causes no shedding for the others.
  if (Result.Refusal != AdmissionRefusal::None ||
      this->admitByLoad(std::string(Service), Terms.Priority, Now))
    return Result;
  this->Customers.with(Terms.Customer, [&](auto &Map) {
    CustomerStats &Stats = this->findCustomer(Map, Terms, Now).Stats;
    ++Stats.RefusedOverload;
    --Stats.Admitted;
  });
  return {AdmissionRefusal::Overload, {}, false, Result.Unassigned};
}

bool Admission::admitByLoad(const std::string &Service, std::uint32_t Priority,
                            TimePoint Now) {
  return this->Shedders.with(Service, [&](auto &Map) {
    return Map.try_emplace(Service, this->Shedding)
        .first->second.admit(Priority, Now);
  });
}

void Admission::recordCompletion(std::string_view Service, bool Overloaded,
                                 TimePoint Now) {
  const std::string Name(Service);
  this->Shedders.with(Name, [&](auto &Map) {
    Map.try_emplace(Name, this->Shedding)
        .first->second.recordCompletion(Overloaded, Now);
  });
}

double Admission::shedFraction(const std::string &Service, TimePoint Now) {
  return this->Shedders.with(Service, [&](auto &Map) {
    const auto Found = Map.find(Service);
    return Found == Map.end() ? 0.0 : Found->second.shedFraction(Now);
  });
}

void Admission::withHolder(
    const Contract &Terms, TimePoint Now,
    const std::function<void(ShareHolder &, std::uint32_t)> &Visit) {
  this->Customers.with(Terms.Customer, [&](auto &Map) {
    CustomerState &State = this->findCustomer(Map, Terms, Now);
    Visit(State.Holder, State.InFlight->load(std::memory_order_relaxed));
  });
}

void Admission::close(TimePoint Now) {
  this->Customers.forEach([&](const std::string &, CustomerState &State) {
    State.Holder.close(Now);
  });
}

std::vector<std::string> Admission::activeCustomers(TimePoint Now) {
  std::vector<std::string> Result;
  this->Customers.forEach([&](const std::string &Name, CustomerState &State) {
    if (State.Holder.isActive(Now))
      Result.push_back(Name);
  });
  return Result;
}

std::vector<CustomerStats> Admission::customerStats(TimePoint Now) {
  std::vector<CustomerStats> Result;
  this->Customers.forEach([&](const std::string &, CustomerState &State) {
    CustomerStats Stats = State.Stats;
    Stats.HeldShare = State.Holder.state(Now);
    Stats.InFlight = State.InFlight->load(std::memory_order_relaxed);
    Result.push_back(std::move(Stats));
  });
  return Result;
}

} // namespace citronlever
