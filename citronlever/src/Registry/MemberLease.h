#pragma once

#include "citronlever/src/Registry/DocumentReader.h"
#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace citronlever {

/// Lease duration and intervals of a member's registration.
struct MemberLeaseSettings {
  Duration TimeToLive = Milliseconds(4500);
  Duration RenewalPeriod = Milliseconds(1500);
  Duration RetryDelay = Milliseconds(300);
};

/// Keeps this process registered in the store under a lease. Renews the lease
/// periodically and registers again if it has expired.
class MemberLease : public std::enable_shared_from_this<MemberLease> {
public:
  MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
              const DocumentReader &Documents, FleetMember Registration,
              MemberLeaseSettings Settings = {});

  /// Requests a lease and registers; failed steps are retried.
  void start() { this->requestLease(); }

  /// Marks the registration as leaving, so that other members no longer direct
  /// callers to this process.
  void announceLeaving();

  /// Ends the lease and with it the registration.
  void release();

private:
  void requestLease();
  void writeRegistration();
  void renewLease();
  void scheduleAfter(Duration Delay, void (MemberLease::*Step)());

  KeyValueStore &Store;
  const DocumentReader &Documents;
  FleetMember Registration;
  MemberLeaseSettings Settings;
  boost::asio::steady_timer Timer;
  /// Current lease, or 0 if none is held.
  std::uint64_t Lease = 0;
  bool Released = false;
};

} // namespace citronlever
