#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace citronlever {

/// Result of an operator's command.
struct CommandResult {
  bool Accepted = false;
  /// Why the command was not accepted; empty otherwise.
  std::string Reason;
};

/// What a move takes out of service or returns to it.
enum class MoveKind : std::uint8_t { Domain, Vm };

/// Operators' commands on versions, failure domains and VMs. A callback runs
/// once, when the command has been accepted or refused.
class OperatorCommands {
public:
  using Callback = std::function<void(CommandResult)>;

  virtual ~OperatorCommands() = default;

  /// Starts the rollout of a version, which must be complete within
  /// \p Deadline.
  virtual void beginRollout(const std::string &Service,
                            const std::string &Version, Duration Deadline,
                            Callback Done) = 0;

  /// Rolls back the service's current rollout.
  virtual void rollBack(const std::string &Service, Callback Done) = 0;

  /// \returns the state and evidence of a service's rollout, as a report for
  /// operators.
  virtual boost::json::value rolloutStatus(const std::string &Service,
                                           TimePoint Now) const = 0;

  /// Starts a move: takes a failure domain or VM out of service if \p Out is
  /// true, and returns it to service otherwise.
  virtual void startMove(MoveKind Kind, const std::string &Name, bool Out,
                         Callback Done) = 0;

  /// \returns the state of all moves, as a report for operators.
  virtual boost::json::value listMoves(TimePoint Now) const = 0;
};

} // namespace citronlever
