#pragma once

#include "citronlever/src/Config/Contract.h"
#include "citronlever/src/Core/Time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Parameters of the division of a contract among entries.
struct ShareSettings {
  /// Time between two demand reports of a customer in use.
  Duration ReportPeriod = Milliseconds(200);
  /// Lifetime of a promise, and the longest lifetime of a grant. Longer than
  /// the membership protocol needs to detect a failed entry.
  Duration LeaseDuration = Seconds(3);
  /// Time without a request after which an entry stops reporting a customer.
  Duration IdleTimeout = Seconds(10);
  /// Fraction of a contract that the customer's entries share without a grant.
  double BaseFraction = 0.01;
  /// Fraction of a demand that is always granted on top of it, and the
  /// additional fraction while the contract has room.
  double MarginFraction = 0.1;
  double HeadroomFraction = 0.5;
  /// Requests per second and requests in flight that one entry should serve of
  /// a customer; they determine the number of its entries.
  double RatePerEntry = 250;
  std::uint32_t ConcurrencyPerEntry = 64;
  std::size_t MinEntries = 2;
  /// Whether grants require the promises of all entries of the customer;
  /// switched off only in experiments.
  bool RequirePromises = true;
  /// Whether a grantor that stops serving a customer releases the promises;
  /// switched off only in experiments.
  bool ReleasePromises = true;
  /// Whether grants of an earlier grantor that are still valid are counted;
  /// switched off only in experiments.
  bool CountHandovers = true;
};

/// A part of a contract's limits.
struct Share {
  double Rate = 0;
  double Burst = 0;
  std::uint32_t Concurrency = 0;
};

/// The entries assigned to one customer, as one entry sees them.
struct CustomerEntries {
  /// Highest score first; the first is the grantor.
  std::vector<std::string> Names;
  /// Fraction of the fleet's entries that this entry sees. Two sides of a
  /// network partition scale the contract by it.
  double VisibleFraction = 1;
};

/// \returns the number of entries, out of \p Live, that serve \p Terms.
std::size_t entryCount(const Contract &Terms, std::size_t Live,
                       const ShareSettings &Settings);

/// \returns the \p Count entries of \p Live that serve a customer, chosen by
/// rendezvous hashing: the sets of two customers overlap little (shuffle
/// sharding), and the loss of an entry changes only the sets that contain it.
std::vector<std::string> chooseEntries(std::string_view Customer,
                                       const std::vector<std::string> &Live,
                                       std::size_t Count);

/// \returns the share that an entry has of \p Terms without any grant. For an
/// entry that is not assigned to the customer it is a burst and a concurrency
/// of one, at a rate of 0.
Share baseShare(const Contract &Terms, const CustomerEntries &Entries,
                std::string_view Self, const ShareSettings &Settings);

/// \returns the part of the contract that the grantor divides: the contract
/// less the base shares of twice as many entries as it sees, since the views of
/// entries may differ.
Share grantablePool(const Contract &Terms, const CustomerEntries &Entries,
                    const ShareSettings &Settings);

} // namespace citronlever
