#pragma once

#include "citronlever/src/Config/ConfigAgent.h"
#include "citronlever/src/Operator/OperatorCommands.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"
#include "citronlever/src/Rollout/RolloutService.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>

namespace citronlever {

/// \returns what rollouts need of the configuration; \p Config must outlive
/// every use.
RolloutDependencies makeRolloutPorts(ConfigAgent &Config,
                                     std::function<MemberViewPtr()> Members);

/// Hands operators' orders to the controllers of rollouts and moves.
class RolloutCommands : public OperatorCommands {
public:
  RolloutCommands(RolloutService &Rollouts, RolloutDependencies Ports);

  void beginRollout(const std::string &Service, const std::string &Version,
                    Duration Deadline, Callback Done) override;
  void rollBack(const std::string &Service, Callback Done) override;
  boost::json::value rolloutStatus(const std::string &Service,
                                   TimePoint Now) const override;
  void startMove(MoveKind Kind, const std::string &Name, bool Out,
                 Callback Done) override;
  boost::json::value listMoves(TimePoint Now) const override;

private:
  bool isKnown(MoveKind Kind, std::string_view Name) const;

  RolloutService &Rollouts;
  RolloutDependencies Ports;
};

} // namespace citronlever
