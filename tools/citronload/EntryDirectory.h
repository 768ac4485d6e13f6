#pragma once

#include "citronlever/src/Core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever::load {

/// The entries that each customer was told to use, and for how long.
class EntryDirectory {
public:
  /// \param Seeds addresses that are asked first and when all else fails.
  explicit EntryDirectory(std::vector<std::string> Seeds)
      : Seeds(std::move(Seeds)) {}

  /// \returns the next entry to use for \p Customer; entries take turns.
  std::string nextEntry(const std::string &Customer);

  /// \returns an address to ask for discovery.
  std::string nextDiscoveryAddress(const std::string &Customer);

  /// \returns whether the answer for \p Customer has lapsed and nobody asks
  /// already; the caller then asks.
  bool claimRefresh(const std::string &Customer, TimePoint Now);

  /// Takes a discovery answer. \throws SettingsError if it is malformed.
  void onDiscoveryAnswer(const std::string &Customer, std::string_view Body,
                         TimePoint Now);

  /// Takes the addresses that a leaving entry named.
  void setEntries(const std::string &Customer, std::string_view Addresses);

  /// A discovery call failed.
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
