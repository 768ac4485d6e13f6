#pragma once

#include "citronlever/src/Contracts/ProcessId.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// Limits that one holder may still use under the grants of a grantor.
struct OutstandingGrant {
  ProcessId Holder;
  double Rate = 0;
  double Burst = 0;
  std::uint32_t Concurrency = 0;
  std::uint32_t RemainingMs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Holder, this->Rate, this->Burst, this->Concurrency,
       this->RemainingMs);
  }
};

/// The grants outstanding when a grantor stopped serving a customer. Holders
/// forward it to the next grantor.
struct ShareHandover {
  ProcessId Grantor;
  /// Increases each time this grantor takes over the customer.
  std::uint64_t Tenure = 0;
  std::vector<OutstandingGrant> Grants;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Grantor, this->Tenure, this->Grants);
  }
};

/// Demand of one entry for one customer, sent to the grantor. Echoing a grant
/// is a promise to accept no other grantor's grants for
/// ShareSettings::LeaseDuration from the sending of that grant, or until
/// released.
struct DemandItem {
  std::string Customer;
  /// Increases with every report of this holder.
  std::uint64_t ReportSeq = 0;
  /// Latest grant received from this grantor, which thereby learns when the
  /// promise began.
  std::uint64_t EchoSeq = 0;
  /// Latest grant applied by the holder.
  std::uint64_t AppliedSeq = 0;
  /// Requests per second that callers attempted.
  double Rate = 0;
  /// Highest number of requests that callers wanted in flight at once.
  std::uint32_t Concurrency = 0;
  /// Requests in flight now.
  std::uint32_t InFlight = 0;
  /// Tokens in the bucket: requests that could be admitted at once.
  double Tokens = 0;
  /// Whether the holder returned its lease and applies no further grant.
  bool Closed = false;
  /// Handovers of earlier grantors that released this entry.
  std::vector<ShareHandover> Handovers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Customer, this->ReportSeq, this->EchoSeq, this->AppliedSeq,
       this->Rate, this->Concurrency, this->InFlight, this->Tokens,
       this->Closed, this->Handovers);
  }
};

/// All reports of one entry to one grantor (MessageType::DemandReport).
struct DemandReport {
  std::vector<DemandItem> Items;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Items); }
};

/// A lease on a part of a customer's contract, a request for a report or a
/// release.
struct GrantItem {
  std::string Customer;
  /// Increases with every item that this grantor sends to this holder.
  std::uint64_t Seq = 0;
  /// The report that this answers; the lease runs from the sending of that
  /// report.
  std::uint64_t ReportSeq = 0;
  /// Lifetime of the lease; 0 grants nothing and requests a report.
  std::uint32_t TtlMs = 0;
  double Rate = 0;
  double Burst = 0;
  std::uint32_t Concurrency = 0;
  /// Burst tokens that are added once with this grant.
  double Tokens = 0;
  /// Whether the lease is below the holder's fair share; other holders have
  /// been asked to return the difference.
  bool BelowFairShare = false;
  /// Set when the grantor stops serving the customer: the promise ends, a valid
  /// lease lasts until its end.
  std::optional<ShareHandover> Release;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Customer, this->Seq, this->ReportSeq, this->TtlMs, this->Rate,
       this->Burst, this->Concurrency, this->Tokens, this->BelowFairShare,
       this->Release);
  }
};

/// All grants for one entry (MessageType::ShareGrant).
struct ShareGrant {
  std::vector<GrantItem> Items;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Items); }
};

} // namespace citronlever
