#pragma once

#include "citronlever/src/Registry/DocumentReader.h"
#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace citronlever {

/// Times of a member's registration.
struct MemberLeaseSettings {
  Duration TimeToLive = Milliseconds(4500);
  Duration RenewalPeriod = Milliseconds(1500);
  Duration RetryDelay = Milliseconds(300);
};

/// Keeps this process registered in the store under a lease, and registers it
/// again when the lease has ended.
class MemberLease : public std::enable_shared_from_this<MemberLease> {
public:
  MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
              const DocumentReader &Documents, FleetMember Registration,
              MemberLeaseSettings Settings = {});

  void start() { this->requestLease(); }

  /// Tells the others that callers are no longer to be sent here.
  void announceLeaving();

  /// Ends the registration.
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
  std::uint64_t Lease = 0;
  bool Released = false;
};

} // namespace citronlever
