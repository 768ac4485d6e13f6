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
RolloutDependencies rolloutPorts(ConfigAgent &Config,
                                 std::function<MemberViewPtr()> Members);

/// Hands operators' orders to the controllers of rollouts and moves.
class RolloutCommands : public OperatorCommands {
public:
  RolloutCommands(RolloutService &Target, RolloutDependencies Ports);

  void startVersion(const std::string &Service, const std::string &Version,
                    Duration Deadline, Then Use) override;
  void takeBack(const std::string &Service, Then Use) override;
  boost::json::value versionStatus(const std::string &Service,
                                   TimePoint Now) const override;
  void move(MoveKind What, const std::string &Name, bool Out,
            Then Use) override;
  boost::json::value moves(TimePoint Now) const override;

private:
  bool known(MoveKind What, std::string_view Name) const;

  RolloutService &Target;
  RolloutDependencies Ports;
};

} // namespace citronlever
