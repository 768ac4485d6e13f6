#pragma once

#include "citronlever/src/Routing/RouteSpec.h"

#include <map>
#include <span>
#include <string>

namespace citronlever {

/// Spreads requests over weighted services so that every run of requests is
/// close to the weights: the service that is owed most is next.
class WeightedRoundRobin {
public:
  /// \param Phase in [0, 1), picks the first service in proportion to the
  /// weights, so that many processes with few requests keep them together.
  explicit WeightedRoundRobin(double Phase = 0) : Phase(Phase) {}

  /// \returns the service of the next request; \p Targets is not empty.
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
  bool Started = false;
  std::map<std::string, double> Credits;
};

} // namespace citronlever
