#pragma once

#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <map>
#include <random>
#include <string>
#include <string_view>

namespace citronlever {

/// The moves to other versions that are ordered now, by service.
class ServiceRollouts {
public:
  /// Takes an order; one of another revision begins another move.
  void order(VersionOrder Order) {
    const auto Known = this->Moves.find(Order.Service);
    if (Known != this->Moves.end() &&
        Known->second.order().Revision == Order.Revision)
      return;
    std::uniform_real_distribution<double> Phase(0, 1);
    std::string Service = Order.Service;
    this->Moves.insert_or_assign(
        std::move(Service),
        ServiceRollout(std::move(Order), Phase(this->Random)));
  }

  void withdraw(std::string_view Service) {
    const auto Known = this->Moves.find(Service);
    if (Known != this->Moves.end())
      this->Moves.erase(Known);
  }

  /// \returns the move of \p Service, or null.
  ServiceRollout *find(std::string_view Service) {
    const auto Known = this->Moves.find(Service);
    return Known == this->Moves.end() ? nullptr : &Known->second;
  }
  const ServiceRollout *find(std::string_view Service) const {
    return const_cast<ServiceRollouts *>(this)->find(Service);
  }

  auto &all() { return this->Moves; }
  const auto &all() const { return this->Moves; }

private:
  std::map<std::string, ServiceRollout, std::less<>> Moves;
  std::minstd_rand Random{std::random_device{}()};
};

} // namespace citronlever
