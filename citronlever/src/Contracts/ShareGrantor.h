#pragma once

#include "citronlever/src/Contracts/Share.h"
#include "citronlever/src/Contracts/ShareHolder.h"
#include "citronlever/src/Contracts/ShareMessages.h"
#include "citronlever/src/Core/TokenBucket.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace citronlever {

/// A grant and the entry it is addressed to.
struct AddressedGrant {
  /// An incarnation of 0 addresses any process of that name.
  ProcessId To;
  GrantItem Item;
};

/// Divides one customer's contract among its entries by demand.
///
/// It issues grants only while every entry of the customer, by its own view,
/// has promised to accept no other grantor's grants, and no grant outlives the
/// first of these promises to expire. Two grantors whose views have an entry in
/// common therefore never have valid grants at the same time. A grant counts as
/// used until the holder has confirmed a later grant or the lease has ended. A
/// grantor that stops serving the customer releases the promises and sends each
/// holder the list of outstanding grants; the next grantor receives it with the
/// holders' reports and counts these grants as its own.
///
/// Not thread-safe.
class ShareGrantor {
public:
  ShareGrantor(ProcessId Self, ShareSettings Settings);

  /// Sets the contract and the view of the customer's entries.
  void configure(const Contract &Terms, CustomerEntries Entries);

  /// Handles a demand report. \returns the grants to send.
  std::vector<AddressedGrant> onReport(const ProcessId &From,
                                       const DemandItem &Item, TimePoint Now);

  /// \returns requests for a report, for the entries whose promise is missing
  /// or expires within half a lease duration.
  std::vector<AddressedGrant> requestReports(TimePoint Now);

  /// Stops serving the customer, which has another grantor now. \returns the
  /// releases; none if already done.
  std::vector<AddressedGrant> relinquish(TimePoint Now);

  /// \returns the release for one holder that still reports here after
  /// relinquish(): the first release may have been lost.
  std::vector<AddressedGrant> repeatRelease(const ProcessId &To, TimePoint Now);

  /// \returns whether a report came since the last relinquish().
  bool isGranting() const { return this->Granting; }

  /// \returns the sum of the grants that holders may still use.
  Share outstandingShare(TimePoint Now);

  /// \returns whether any entry reported within a lease duration.
  bool isActive(TimePoint Now) const;

private:
  struct IssuedGrant {
    std::uint64_t Seq = 0;
    TimePoint SentAt{};
    TimePoint ValidUntil{};
    /// End of the requests admitted under the grant, which may outlive it.
    TimePoint InFlightUntil{};
    Share Granted;
  };

  struct HolderState {
    std::deque<IssuedGrant> Grants;
    std::uint64_t AppliedSeq = 0;
    /// Sequence number of the latest release; a promise is valid only if it
    /// echoes a later grant.
    std::uint64_t ReleasedSeq = 0;
    DemandItem LastDemand;
    bool HasReported = false;
    TimePoint LastReport{};
    TimePoint PromisedUntil{};
    TimePoint LastReportRequest{};
    TimePoint LastGrant{};
    /// Whether its latest grant was below its fair share because others held
    /// the difference.
    bool BelowFairShare = false;
  };

  struct AppliedHandover {
    std::uint64_t Tenure = 0;
    TimePoint At{};
  };

  Share heldShare(const HolderState &Target, TimePoint Now) const;
  Share shareHeldByOthers(const HolderState &Excluded, TimePoint Now) const;
  void removeExpired(TimePoint Now);
  TimePoint earliestPromiseExpiry(TimePoint Now) const;
  template <class Function>
  double fairAmount(const HolderState &Target, Function Demand, double Pool,
                    TimePoint Now) const;
  void updateReserve(TimePoint Now);
  HolderState &findHolder(const ProcessId &Name);
  void updatePromise(HolderState &State, const DemandItem &Item);
  void applyHandover(const ShareHandover &Handover, TimePoint Now);
  std::vector<OutstandingGrant> listOutstanding(TimePoint Now) const;
  IssuedGrant &addGrant(HolderState &To, TimePoint Now);
  Share fairShare(const HolderState &Target, const Share &Pool,
                  TimePoint Now) const;
  bool isReachable(const HolderState &State, TimePoint Now) const;
  std::vector<AddressedGrant> topUpOthers(const HolderState &Excluded,
                                          TimePoint Now);
  std::vector<AddressedGrant> reclaimExcess(const HolderState &Recipient,
                                            TimePoint Now);
  AddressedGrant issueGrant(const ProcessId &To, HolderState &Recipient,
                            TimePoint Now);
  AddressedGrant requestReport(const ProcessId &To, HolderState &Recipient,
                               TimePoint Now);
  AddressedGrant releasePromise(const ProcessId &To, HolderState &Recipient,
                                const ShareHandover &Handover, TimePoint Now);

  ProcessId Self;
  ShareSettings Settings;
  Contract Terms;
  CustomerEntries Entries;
  std::map<ProcessId, HolderState> Holders;
  std::uint64_t NextSeq = 1;
  bool Granting = false;
  /// Number of times that this grantor took over the customer.
  std::uint64_t Tenure = 0;
  /// The latest handover applied from each earlier grantor.
  std::map<ProcessId, AppliedHandover> AppliedHandovers;
  /// Burst tokens that no holder has; refilled at the rate that is not granted.
  TokenBucket BurstReserve{0, 0};
  bool ReserveInitialized = false;
};

} // namespace citronlever
