#pragma once

#include "citronlever/src/Core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever::load {

/// Cache of the discovery answers: the entries that each customer may use,
/// until the answer expires.
class EntryDirectory {
public:
  /// \param Seeds addresses that are asked for discovery, and used as entries
  /// until there is an answer. Must not be empty.
  explicit EntryDirectory(std::vector<std::string> Seeds)
      : Seeds(std::move(Seeds)) {}

  /// \returns the next entry for a request of \p Customer, in round-robin
  /// order.
  std::string nextEntry(const std::string &Customer);

  /// \returns the next address to ask for discovery, in round-robin order over
  /// the seeds and the known entries.
  std::string nextDiscoveryAddress(const std::string &Customer);

  /// \returns whether the answer for \p Customer has expired and no refresh is
  /// pending; the caller must then refresh it.
  bool claimRefresh(const std::string &Customer, TimePoint Now);

  /// Stores a discovery answer. \throws SettingsError if it is malformed.
  void onDiscoveryAnswer(const std::string &Customer, std::string_view Body,
                         TimePoint Now);

  /// Replaces the entries of \p Customer by the comma-separated addresses that
  /// a leaving entry named; an empty list changes nothing.
  void setEntries(const std::string &Customer, std::string_view Addresses);

  /// Ends a failed refresh; the next one is due after a short delay.
  void onDiscoveryFailed(const std::string &Customer, TimePoint Now);

private:
  struct CustomerEntries {
    std::vector<std::string> Addresses;
    TimePoint ValidUntil{};
    bool RefreshPending = false;
    std::size_t NextIndex = 0;
  };

  std::vector<std::string> Seeds;
  std::size_t NextAddress = 0;
  std::map<std::string, CustomerEntries> Customers;
};

} // namespace citronlever::load
