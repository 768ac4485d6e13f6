#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace citronlever {

/// What becomes of an operator's order.
struct CommandResult {
  bool Accepted = false;
  /// For the operator, if it was not accepted.
  std::string Reason;
};

/// What a move is about.
enum class MoveKind : std::uint8_t { Domain, Vm };

/// Takes operators' orders on versions, failure domains and VMs.
class OperatorCommands {
public:
  using Callback = std::function<void(CommandResult)>;

  virtual ~OperatorCommands() = default;

  /// Starts a rollout that must be done after \p Deadline.
  virtual void beginRollout(const std::string &Service,
                            const std::string &Version, Duration Deadline,
                            Callback Done) = 0;

  /// Takes the rollout under way back.
  virtual void rollBack(const std::string &Service, Callback Done) = 0;

  /// \returns a rollout's state and evidence, for people.
  virtual boost::json::value rolloutStatus(const std::string &Service,
                                           TimePoint Now) const = 0;

  /// Takes a failure domain or VM out, or back in.
  virtual void startMove(MoveKind Kind, const std::string &Name, bool Out,
                         Callback Done) = 0;

  /// \returns the state of all moves, for people.
  virtual boost::json::value listMoves(TimePoint Now) const = 0;
};

} // namespace citronlever
