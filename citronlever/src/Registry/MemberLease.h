#pragma once

#include "citronlever/src/Registry/DocumentReader.h"
#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>
#include <string>

namespace citronlever {

/// Lease duration and intervals of a member's registration.
struct MemberLeaseSettings {
  Duration TimeToLive = Milliseconds(4500);
  Duration RenewalPeriod = Milliseconds(1500);
  /// Bounds of the exponential backoff, with jitter, after a failed call.
  Duration MinRetryDelay = Milliseconds(300);
  Duration MaxRetryDelay = Milliseconds(2400);
};

/// Keeps this process registered in the store under a lease. Renews the lease
/// periodically and registers again if it has expired, or if the registration
/// was replaced or removed.
class MemberLease : public std::enable_shared_from_this<MemberLease> {
public:
  MemberLease(boost::asio::io_context &Context, KeyValueStore &Store,
              const DocumentReader &Documents, FleetMember Registration,
              MemberLeaseSettings Settings = {});

  /// Requests a lease and registers; failed steps are retried.
  void start() { this->requestLease(); }

  /// Retries a failed step at a random time within \p Spread: the store
  /// responds again after an outage.
  void onStoreRecovered(Duration Spread);

  /// Registers again within \p Spread if a read or watch shows that the store
  /// no longer holds the registration.
  /// \param Seen the item under the member's key, or null.
  /// \param AsOf store revision of the read or watch.
  void onStoreRead(const StoreItem *Seen, StoreRevision AsOf, Duration Spread);

  /// Requests a new lease and registers again within \p Spread: the store has
  /// gone back, so another process may be given the id of this one's lease.
  void onStoreRestored(Duration Spread);

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
  /// Retries \p Step after the backoff.
  void retryLater(void (MemberLease::*Step)());
  Duration randomDelay(Duration Min, Duration Max);

  KeyValueStore &Store;
  const DocumentReader &Documents;
  FleetMember Registration;
  MemberLeaseSettings Settings;
  boost::asio::steady_timer Timer;
  /// Current lease, or 0 if none is held.
  std::uint64_t Lease = 0;
  /// Counts how often the store has gone back.
  std::uint64_t Round = 0;
  std::minstd_rand Random;
  /// Last delay of the backoff; zero while calls succeed.
  Duration RetryDelay{};
  /// The step that is retried, or null.
  void (MemberLease::*FailedStep)() = nullptr;
  /// The registration that the store holds according to its last answer.
  std::string ConfirmedValue;
  StoreRevision ConfirmedRevision;
  /// Last delay before a lost registration is written again; zero while none is
  /// lost.
  Duration RewriteDelay{};
  bool Released = false;
};

} // namespace citronlever
