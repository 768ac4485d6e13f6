#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// Outcome of a call to the platform's service.
enum class PlatformStatus : std::uint8_t {
  Done,
  /// The key or lease does not exist.
  Absent,
  /// The key was not at the expected revision; nothing was written.
  Conflict,
  /// A watch ended without a change of the key.
  Unchanged,
  /// The service was unreachable or refused the call; nothing was written.
  Refused,
  /// The reply to a write was lost, invalid or a server error; the write may
  /// have been applied.
  Unknown
};

/// \returns the name of \p Status for logs and reports.
const char *toString(PlatformStatus Status);

/// Result of a call on a key or lease.
struct PlatformResult {
  PlatformStatus Status = PlatformStatus::Refused;
  /// Value of the key, or id of the lease granted.
  std::string Value;
  /// Revision of the key; after a conflict its current revision.
  std::uint64_t Revision = 0;
  /// Why the call failed; for log messages.
  std::string Reason;

  bool done() const { return this->Status == PlatformStatus::Done; }
};

/// One VM of the platform's VM list, which may be out of date.
struct PlatformVm {
  std::string Name;
  std::string Domain;
  /// Whether the platform is about to remove the VM.
  bool Leaving = false;
  /// Peer addresses of the processes on the VM.
  std::vector<Endpoint> Peers;
};

/// Result of Platform::vms().
struct PlatformVms {
  PlatformStatus Status = PlatformStatus::Refused;
  std::vector<PlatformVm> Vms;
  std::string Reason;
};

/// Numbers of calls so far; a watch counts once, however long it waits.
struct PlatformCalls {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Failed = 0;
};

/// Interface to the platform: a key-value service with compare-and-swap,
/// watches and leases, and the VM list. Calls do not block; each callback runs
/// exactly once, on any thread.
class Platform {
public:
  using Callback = std::function<void(PlatformResult)>;
  using VmsCallback = std::function<void(PlatformVms)>;

  virtual ~Platform() = default;

  /// Reads a key.
  virtual void get(const std::string &Key, Callback Done) = 0;

  /// Writes \p Value if the key is at \p ExpectedRevision; 0 means that it must
  /// not exist. If \p Lease is not empty, the key is deleted when the lease
  /// expires.
  virtual void compareAndSwap(const std::string &Key, std::string Value,
                              std::uint64_t ExpectedRevision,
                              const std::string &Lease, Callback Done) = 0;

  /// Deletes a key if it is at \p ExpectedRevision.
  virtual void remove(const std::string &Key, std::uint64_t ExpectedRevision,
                      Callback Done) = 0;

  /// Waits at most \p Wait until the revision of the key differs from \p After.
  virtual void watch(const std::string &Key, std::uint64_t After, Duration Wait,
                     Callback Done) = 0;

  /// Creates a lease; PlatformResult::Value is its id.
  virtual void grantLease(Duration TimeToLive, Callback Done) = 0;
  /// Extends a lease by its time to live.
  virtual void renewLease(const std::string &Lease, Callback Done) = 0;
  /// Ends a lease at once.
  virtual void dropLease(const std::string &Lease, Callback Done) = 0;

  /// Reads the VM list.
  virtual void vms(VmsCallback Done) = 0;

  virtual PlatformCalls calls() const = 0;
};

} // namespace citronlever
