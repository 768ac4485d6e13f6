#pragma once

#include "citronlever/src/Config/ConfigAgent.h"
#include "citronlever/src/Operator/OperatorCommands.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"
#include "citronlever/src/Rollout/RolloutService.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <string>

namespace citronlever {

/// \returns the access of rollouts to the configuration and the members.
/// \p Config must outlive every use of the result.
RolloutDependencies makeRolloutPorts(ConfigAgent &Config,
                                     std::function<MemberViewPtr()> Members);

/// Passes operators' commands to the controllers of rollouts and moves.
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
  /// \returns whether any member or leaf runs in this failure domain or VM.
  bool isKnown(MoveKind Kind, std::string_view Name) const;

  RolloutService &Rollouts;
  RolloutDependencies Ports;
};

} // namespace citronlever
