#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronlever {

/// What became of a call to the platform's key-value service.
enum class PlatformStatus : std::uint8_t {
  Done,
  /// The key, or the lease, does not exist.
  Absent,
  /// The key's revision was not the expected one; nothing was written.
  Conflict,
  /// A watch timed out and the key was as before.
  Unchanged,
  /// The service was not reached or refused; nothing was written.
  Refused,
  /// The reply was lost; a write may have taken effect.
  Unknown
};

/// \returns the status in words.
const char *toString(PlatformStatus Status);

/// Result of one call.
struct PlatformResult {
  PlatformStatus Status = PlatformStatus::Refused;
  /// The key's value; a lease call's lease id.
  std::string Value;
  /// The key's revision; on a conflict the current one.
  std::uint64_t Revision = 0;
  /// Why the call was refused or lost; for people.
  std::string Reason;

  bool done() const { return this->Status == PlatformStatus::Done; }
};

/// One VM of the platform's list, which lags.
struct PlatformVm {
  std::string Name;
  std::string Domain;
  bool Leaving = false;
  /// Peer addresses of the processes there.
  std::vector<Endpoint> Peers;
};

/// Result of asking for the VM list.
struct PlatformVms {
  PlatformStatus Status = PlatformStatus::Refused;
  std::vector<PlatformVm> Vms;
  std::string Reason;
};

/// Calls made so far; a waiting watch is one call.
struct PlatformCalls {
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
  std::uint64_t Failed = 0;
};

/// The platform as the system sees it: key-value service with compare-and-swap,
/// watches and leases, and the VM list. Calls return at once; each callback
/// runs exactly once, on any thread.
class Platform {
public:
  using Callback = std::function<void(PlatformResult)>;
  using VmsCallback = std::function<void(PlatformVms)>;

  virtual ~Platform() = default;

  virtual void get(const std::string &Key, Callback Done) = 0;

  /// Writes \p Value if the key's revision is \p ExpectedRevision (0: absent).
  /// With a \p Lease the key goes when the lease lapses.
  virtual void compareAndSwap(const std::string &Key, std::string Value,
                              std::uint64_t ExpectedRevision,
                              const std::string &Lease, Callback Done) = 0;

  virtual void remove(const std::string &Key, std::uint64_t ExpectedRevision,
                      Callback Done) = 0;

  /// Waits until the key's revision differs from \p After, at most \p Wait.
  virtual void watch(const std::string &Key, std::uint64_t After, Duration Wait,
                     Callback Done) = 0;

  virtual void grantLease(Duration TimeToLive, Callback Done) = 0;
  virtual void renewLease(const std::string &Lease, Callback Done) = 0;
  virtual void dropLease(const std::string &Lease, Callback Done) = 0;

  virtual void vms(VmsCallback Done) = 0;

  virtual PlatformCalls calls() const = 0;
};

} // namespace citronlever
