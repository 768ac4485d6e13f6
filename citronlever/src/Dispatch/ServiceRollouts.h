#pragma once

#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <map>
#include <random>
#include <string>
#include <string_view>

namespace citronlever {

/// The ordered rollouts, by service.
class ServiceRollouts {
public:
  /// Starts a rollout. An order of the known revision is ignored; another
  /// revision starts a new rollout.
  void start(RolloutRequest Order) {
    const auto Known = this->Rollouts.find(Order.Service);
    if (Known != this->Rollouts.end() &&
        Known->second.order().Revision == Order.Revision)
      return;
    std::uniform_real_distribution<double> InitialCredit(0, 1);
    std::string Service = Order.Service;
    this->Rollouts.insert_or_assign(
        std::move(Service),
        ServiceRollout(std::move(Order), InitialCredit(this->Random)));
  }

  /// Removes the rollout of a service.
  void cancel(std::string_view Service) {
    const auto Known = this->Rollouts.find(Service);
    if (Known != this->Rollouts.end())
      this->Rollouts.erase(Known);
  }

  /// \returns the rollout of \p Service, or null.
  ServiceRollout *find(std::string_view Service) {
    const auto Known = this->Rollouts.find(Service);
    return Known == this->Rollouts.end() ? nullptr : &Known->second;
  }
  const ServiceRollout *find(std::string_view Service) const {
    return const_cast<ServiceRollouts *>(this)->find(Service);
  }

  auto &all() { return this->Rollouts; }
  const auto &all() const { return this->Rollouts; }

private:
  std::map<std::string, ServiceRollout, std::less<>> Rollouts;
  std::minstd_rand Random{std::random_device{}()};
};

} // namespace citronlever
