#pragma once

#include "citronlever/src/Contracts/Share.h"
#include "citronlever/src/Contracts/ShareMessages.h"
#include "citronlever/src/Contracts/SharePromise.h"
#include "citronlever/src/Core/TokenBucket.h"

#include <array>
#include <optional>
#include <string>

namespace citronlever {

/// State of a ShareHolder for the process dump.
struct ShareState {
  Share InForce;
  /// The grantor by this entry's view, and the grantor that this entry is bound
  /// to by a promise.
  std::string Grantor;
  std::string PromisedTo;
  Duration LeaseRemaining{};
  Duration PromiseRemaining{};
};

/// One entry's share of one customer's contract: the base share, plus a lease
/// granted by the customer's grantor. Not thread-safe.
class ShareHolder {
public:
  explicit ShareHolder(ShareSettings Settings);

  /// Sets the contract and the view of the customer's entries.
  void configure(const Contract &Terms, CustomerEntries Entries,
                 std::string_view Self, TimePoint Now);

  /// Consumes one token for a request. Failed attempts count as demand too.
  /// \returns whether a token was available.
  bool tryTake(TimePoint Now);

  /// Records that callers wanted \p Wanted requests in flight at once.
  void recordConcurrency(std::uint32_t Wanted);

  /// \returns the base share plus the lease, if one is valid.
  Share share(TimePoint Now);

  /// \returns the grantor to report to: the one that still has this entry's
  /// promise, or else \p Preferred.
  const ProcessId &currentGrantor(const ProcessId &Preferred,
                                  TimePoint Now) const;

  /// \returns the demand report for \p Grantor, or nothing while another
  /// grantor still has this entry's promise.
  std::optional<DemandItem> makeReport(const ProcessId &Grantor,
                                       std::uint32_t InFlight, TimePoint Now);

  /// \returns whether a report is due: soon after a first use or when callers
  /// wanted more than the share, otherwise once per report period.
  bool isReportDue(TimePoint Now) const;

  /// Applies a grant or a release.
  /// \returns whether the grantor needs a report at once: it asked for one, or
  /// the lease shrank and others wait for the difference.
  bool onGrant(const ProcessId &Grantor, const GrantItem &Item, TimePoint Now);

  /// \returns whether a grant that reflects the demand here is still to come:
  /// no lease is valid, or the lease answers a report without demand, or it is
  /// a recent first lease that is smaller than this entry's fair share because
  /// others have not returned theirs yet.
  bool isAwaitingGrant(TimePoint Now);

  /// \returns whether a request came within ShareSettings::IdleTimeout.
  bool isActive(TimePoint Now) const;

  /// Returns the lease for good: a leaving entry applies no further grant.
  void close(TimePoint Now);

  /// \returns the share, its grantor and the remaining times of lease and
  /// promise.
  ShareState state(TimePoint Now);

  const CustomerEntries &entries() const { return this->Entries; }

private:
  struct SentReport {
    std::uint64_t Seq = 0;
    TimePoint SentAt{};
    /// Whether the report contained no demand.
    bool WithoutDemand = false;
  };
  static constexpr std::size_t MaxSentReports = 16;

  void expireLease(TimePoint Now);
  void updateBucket(TimePoint Now);
  void beginPromise(const ProcessId &Grantor);
  bool applyLease(const GrantItem &Item, TimePoint Now);
  bool isFirstUse() const;
  bool isMeasurementDue(TimePoint Now) const;
  void measureDemand(TimePoint Now);

  ShareSettings Settings;
  std::string Customer;
  CustomerEntries Entries;
  Share Base;
  Share LeasedShare;
  TimePoint LeaseEnd{};
  /// Whether the lease answers a report without demand.
  bool LeasedWithoutDemand = false;
  /// Whether the lease is smaller than the fair share until others return
  /// theirs.
  bool LeasedBelowFairShare = false;
  bool Closed = false;
  /// Start of the latest lease that followed a time without one.
  TimePoint LeasedSince{};
  TokenBucket Bucket{0, 1};
  SharePromise Promise;
  std::uint64_t AppliedSeq = 0;
  std::uint64_t ReportSeq = 0;
  std::array<SentReport, MaxSentReports> SentReports{};
  TimePoint LastUse{};
  TimePoint LastReport{};
  /// Whether callers wanted more than the share since the last report.
  bool ShareExceeded = true;
  TimePoint DemandMeasuredAt{};
  double Attempts = 0;
  double DemandRate = 0;
  std::uint32_t PeakConcurrency = 0;
  std::uint32_t DemandConcurrency = 0;
};

} // namespace citronlever
