#pragma once

#include "citronlever/src/Contracts/ProcessId.h"
#include "citronlever/src/Contracts/ShareMessages.h"
#include "citronlever/src/Core/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace citronlever {

/// The promise of one entry to accept only one grantor's grants for one
/// customer. It lasts for the lease duration from the last grant received, or
/// until the grantor releases it. Also keeps the handovers of grantors that
/// released it until the next grantor has received them or the listed grants
/// have expired. Not thread-safe.
class SharePromise {
public:
  explicit SharePromise(Duration Lease) : Lease(Lease) {}

  /// \returns whether no promise is in effect.
  bool isFree(TimePoint Now) const { return Now >= this->Expiry; }

  /// \returns the grantor that has the promise, or had it last.
  const ProcessId &grantor() const { return this->Grantor; }

  /// Begins a promise to \p NewGrantor; it takes effect with the first grant.
  void begin(const ProcessId &NewGrantor);

  /// Extends the promise on a grant of grantor(). \returns whether the grant is
  /// newer than all before.
  bool onGrant(std::uint64_t Seq, TimePoint Now);

  /// Ends the promise; \p Handover lists what grantor() has outstanding.
  void release(const ShareHandover &Handover, TimePoint Now);

  /// Records that grantor() received a report and the handovers in it.
  void acknowledge(std::uint64_t ReportSeq);

  /// \returns the handovers to send to grantor() with the report \p ReportSeq.
  std::vector<ShareHandover> handovers(std::uint64_t ReportSeq, TimePoint Now);

  /// \returns the sequence number of the latest grant from grantor().
  std::uint64_t echoSeq() const { return this->EchoSeq; }

  TimePoint expiry() const { return this->Expiry; }

private:
  struct PendingHandover {
    ShareHandover Handover;
    TimePoint ReceivedAt{};
    /// The first report to grantor() that contained it; 0 if none has.
    std::uint64_t FirstSentWith = 0;
  };

  Duration Lease;
  ProcessId Grantor;
  TimePoint Expiry{};
  std::uint64_t EchoSeq = 0;
  std::map<ProcessId, PendingHandover> Handovers;
};

} // namespace citronlever
