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

/// What entryd and brokerd have in common: threads, links, membership,
/// configuration and the operators' port. The daemon adds its own server, then
/// calls run().
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

  /// \returns the members in view; without this process while it has not yet
  /// noticed that it was paused, so that it never acts as an owner by mistake.
  MemberViewPtr members() const;
  ConfigViewPtr configView() const;

  /// Sets the planned stop of the daemon's server: it runs once, after this
  /// member has announced that it leaves, and calls back when it is done.
  void setDrainHandler(std::function<void(std::function<void()>)> Handler);

  /// Sets what a broker tells of the shards it owns; call before run().
  void setShardLoadSource(LoadSource Source);

  /// Adds a function that runs about once a second.
  void runEverySecond(std::function<void(TimePoint Now)> Task);

  /// Starts all parts and serves until a planned stop is finished.
  /// \returns the exit code.
  int run();

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
