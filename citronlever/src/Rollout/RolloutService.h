#pragma once

#include "citronlever/src/Rollout/DrainController.h"
#include "citronlever/src/Rollout/RolloutAgent.h"
#include "citronlever/src/Rollout/RolloutController.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <memory>
#include <string>

namespace citronlever {

class PeerHub;
class Platform;

/// Identity of this member.
struct RolloutIdentity {
  std::string Deployment;
  /// Unique member name, "<vm>/entry" or "<vm>/broker".
  std::string Name;
  std::string Domain;
  std::uint64_t Seed = 1;
};

/// Runs a member's rollout agent, rollout controller and drain controller: owns
/// their timers and registers their message handlers.
class RolloutService {
public:
  /// Registers handlers at \p Hub; construct before Hub.listen(). \p Hub and
  /// \p Store must outlive the io_context's run.
  /// \param Dependencies all functions but Send, which is set here to use
  /// \p Hub.
  /// \param Loads loads of a broker's shards; empty on an entry.
  RolloutService(boost::asio::io_context &Context, PeerHub &Hub,
                 Platform &Store, RolloutDependencies Dependencies,
                 LoadSource Loads, const RolloutIdentity &Self);
  ~RolloutService();
  RolloutService(const RolloutService &) = delete;
  RolloutService &operator=(const RolloutService &) = delete;

  /// Starts the timers.
  void start();
  /// Stops the timers when they next expire.
  void stop();

  RolloutAgent &agent();
  RolloutController &controller();
  DrainController &drains();

  /// \returns rollouts, marks and observed leaf starts, as JSON for operators.
  boost::json::value dump(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
