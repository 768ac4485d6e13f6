#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Node/NodeSettings.h"
#include "citronlever/src/Rollout/DrainController.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <string>

namespace citronlever {

class ConfigAgent;
class MembershipAgent;
class OperatorServer;
class PeerHub;
class Platform;
class RolloutService;

/// The parts that entryd and brokerd share: threads, peer connections,
/// membership, configuration, rollouts and the operators' port. The daemon adds
/// its own server, then calls run().
class Node {
public:
  Node(NodeSettings Settings, Role Kind);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  boost::asio::io_context &context();
  PeerHub &hub();
  ConfigAgent &config();
  MembershipAgent &membership();
  OperatorServer &operators();
  RolloutService &rollouts();
  const NodeSettings &settings() const;
  const Member &self() const;

  /// \returns the member view in force. It omits this process while the failure
  /// detector has not yet handled a pause of the process, so that a resumed
  /// process does not act as an owner that it may no longer be.
  MemberViewPtr members() const;
  ConfigViewPtr configView() const;

  /// Sets the function that drains the daemon's server on a planned stop. It
  /// runs once, after this member has announced that it is leaving, and must
  /// call its argument when draining is complete.
  void setDrainHandler(std::function<void(std::function<void()>)> Handler);

  /// Sets the source of the loads of the shards that a broker owns. Must be
  /// called before run(); entries don't use it.
  void setShardLoadSource(LoadSource Source);

  /// Adds a task that runs about once a second. Must be called before run().
  void runEverySecond(std::function<void(TimePoint Now)> Task);

  /// Starts all parts and serves until a planned stop (SIGTERM or SIGINT) is
  /// complete.
  /// \returns the exit code.
  int run();

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
