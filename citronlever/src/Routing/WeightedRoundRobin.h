#pragma once

#include "citronlever/src/Routing/RouteSpec.h"

#include <map>
#include <span>
#include <string>

namespace citronlever {

/// Smooth weighted round-robin over services. Each request increases the credit
/// of every service by the service's weight and selects the service with the
/// highest credit, so any sequence of consecutive requests is distributed
/// closely to the weights.
class WeightedRoundRobin {
public:
  /// \param Phase in [0, 1) selects the first service in proportion to the
  /// weights. With evenly distributed phases, many processes that send few
  /// requests each still match the weights in total.
  explicit WeightedRoundRobin(double Phase = 0) : Phase(Phase) {}

  /// \returns the service for the next request.
  /// \pre \p Targets is not empty.
  const WeightedService &next(std::span<const WeightedService> Targets) {
    double Total = 0;
    for (const WeightedService &Target : Targets) {
      Total += Target.Weight;
      this->Credits[Target.Name] += Target.Weight;
    }
    const WeightedService &Chosen = this->Started
                                        ? this->highestCredit(Targets)
                                        : this->initialTarget(Targets, Total);
    this->Started = true;
    this->Credits[Chosen.Name] -= Total;
    return Chosen;
  }

private:
  const WeightedService &initialTarget(std::span<const WeightedService> Targets,
                                       double Total) const {
    double Remaining = this->Phase * Total;
    for (const WeightedService &Target : Targets) {
      Remaining -= Target.Weight;
      if (Remaining < 0)
        return Target;
    }
    return Targets.back();
  }

  const WeightedService &
  highestCredit(std::span<const WeightedService> Targets) {
    const WeightedService *Best = &Targets.front();
    for (const WeightedService &Target : Targets)
      if (this->Credits[Target.Name] > this->Credits[Best->Name])
        Best = &Target;
    return *Best;
  }

  double Phase;
  /// Whether the first service has been selected.
  bool Started = false;
  /// By service name.
  std::map<std::string, double> Credits;
};

} // namespace citronlever
