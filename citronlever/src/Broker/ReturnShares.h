#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace citronlever {

/// Load shares of failure domains and VMs that return to service, each as a
/// part of the full share, from 0 to 1. Those not listed get the full share.
struct ReturnShares {
  using Shares = std::map<std::string, double, std::less<>>;

  Shares Domains;
  Shares Vms;

  bool operator==(const ReturnShares &) const = default;

  bool empty() const { return this->Domains.empty() && this->Vms.empty(); }

  /// \returns the share of a leaf: the smaller one of its domain and its VM.
  double shareOf(std::string_view Domain, std::string_view Vm) const {
    return std::min(shareIn(this->Domains, Domain), shareIn(this->Vms, Vm));
  }

private:
  static double shareIn(const Shares &Table, std::string_view Name) {
    const auto Found = Table.find(Name);
    return Found == Table.end() ? 1 : Found->second;
  }
};

} // namespace citronlever
