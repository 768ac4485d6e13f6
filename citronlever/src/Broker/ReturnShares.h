#pragma once

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace citronlever {

/// The parts of their full shares that returning failure domains and VMs get;
/// those that are not named get all.
struct ReturnShares {
  using Shares = std::map<std::string, double, std::less<>>;

  Shares Domains;
  Shares Vms;

  bool operator==(const ReturnShares &) const = default;

  bool empty() const { return this->Domains.empty() && this->Vms.empty(); }

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
