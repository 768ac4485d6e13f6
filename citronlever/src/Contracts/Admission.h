#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Contracts/LoadShedder.h"
#include "citronlever/src/Contracts/ShareHolder.h"
#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Core/Time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Why a request was refused; None if it was admitted.
enum class AdmissionRefusal : std::uint8_t {
  None,
  Rate,
  Concurrency,
  Overload
};

/// Counts one request of a customer as in flight while it exists; destroying or
/// reassigning it frees the slot.
class AdmissionTicket {
public:
  using Count = std::shared_ptr<std::atomic<std::uint32_t>>;

  AdmissionTicket() = default;
  explicit AdmissionTicket(Count InFlight) : InFlight(std::move(InFlight)) {}
  AdmissionTicket(AdmissionTicket &&Other) noexcept = default;
  AdmissionTicket &operator=(AdmissionTicket &&Other) noexcept;
  ~AdmissionTicket() { this->release(); }

  bool isHeld() const { return this->InFlight != nullptr; }

private:
  void release();

  Count InFlight;
};

/// Result of Admission::admit().
struct AdmissionResult {
  AdmissionRefusal Refusal = AdmissionRefusal::None;
  AdmissionTicket Ticket;
  /// Whether the refusal may be temporary because a grant for this entry is on
  /// its way; the caller may retry shortly.
  bool GrantPending = false;
  /// Whether this entry is not assigned to the customer, whose callers should
  /// use Admission::entriesOf() instead.
  bool Unassigned = false;
};

/// Counters and share of one customer at this entry.
struct CustomerStats {
  std::string Customer;
  ShareState HeldShare;
  std::uint32_t InFlight = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t RefusedRate = 0;
  std::uint64_t RefusedConcurrency = 0;
  std::uint64_t RefusedOverload = 0;
};

/// Admits or refuses requests by the share of the contract that the customer
/// has at this entry and by the load of the service. A refusal happens before
/// any work is done for the request. Thread-safe.
class Admission {
public:
  explicit Admission(std::string Self, ShareSettings Shares = {},
                     LoadShedderSettings Shedding = {});

  /// Sets the live entries and the fraction of the fleet that this entry sees.
  /// \param VisibleFraction above 0 and at most 1, see FleetVisibility.
  void setFleet(std::vector<std::string> Live, double VisibleFraction);

  /// Admits one request for \p Service under \p Terms, or tells why not.
  AdmissionResult admit(const Contract &Terms, std::string_view Service,
                        TimePoint Now);

  /// Records the completion of an admitted request for \p Service.
  /// \param Overloaded whether it was refused by a broker or came too late
  /// because of load.
  void recordCompletion(std::string_view Service, bool Overloaded,
                        TimePoint Now);

  /// \returns the entries that serve \p Terms, highest score first.
  CustomerEntries entriesOf(const Contract &Terms) const;

  /// Calls \p Visit with the share holder of \p Terms and the number of its
  /// requests in flight.
  void
  withHolder(const Contract &Terms, TimePoint Now,
             const std::function<void(ShareHolder &, std::uint32_t)> &Visit);

  /// Returns all shares, for an entry that is leaving. Afterwards only the base
  /// shares admit requests.
  void close(TimePoint Now);

  /// \returns the customers with a request within ShareSettings::IdleTimeout.
  std::vector<std::string> activeCustomers(TimePoint Now);

  /// \returns counters and shares of all customers seen so far.
  std::vector<CustomerStats> customerStats(TimePoint Now);

  /// \returns the fraction of the requests for \p Service that is shed now.
  double shedFraction(const std::string &Service, TimePoint Now);

  /// \returns a number that increases with every change by setFleet().
  std::uint64_t fleetVersion() const { return this->fleet()->Version; }

  const ShareSettings &settings() const { return this->Shares; }

private:
  struct Fleet {
    std::vector<std::string> Live;
    double VisibleFraction = 1;
    std::uint64_t Version = 0;
  };

  struct CustomerState {
    explicit CustomerState(const ShareSettings &Settings) : Holder(Settings) {}
    ShareHolder Holder;
    Contract Terms;
    std::uint64_t FleetVersion = 0;
    bool Unassigned = false;
    AdmissionTicket::Count InFlight =
        std::make_shared<std::atomic<std::uint32_t>>(0);
    CustomerStats Stats;
  };

  std::shared_ptr<const Fleet> fleet() const;
  CustomerState &
  findCustomer(std::unordered_map<std::string, CustomerState> &Map,
               const Contract &Terms, TimePoint Now);
  AdmissionResult acquireSlot(CustomerState &State, TimePoint Now);
  bool admitByLoad(const std::string &Service, std::uint32_t Priority,
                   TimePoint Now);

  std::string Self;
  ShareSettings Shares;
  LoadShedderSettings Shedding;
  mutable std::mutex FleetMutex;
  std::shared_ptr<const Fleet> CurrentFleet;
  ShardedMap<std::string, CustomerState> Customers;
  ShardedMap<std::string, LoadShedder, 4> Shedders;
};

} // namespace citronlever
