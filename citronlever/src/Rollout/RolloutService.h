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

/// Who this member is, for rollouts.
struct RolloutIdentity {
  std::string Deployment;
  /// Unique member name, "<vm>/entry" or "<vm>/broker".
  std::string Name;
  std::string Domain;
  std::uint64_t Seed = 1;
};

/// A member's whole part in rollouts and moves, with timers and messages.
class RolloutService {
public:
  /// Registers handlers at \p Hub; construct before Hub.listen(). \p Ports
  /// needs no Send, which goes over \p Hub. \p Hub and \p Store must outlive
  /// the io_context's run.
  /// \param Loads a broker's shards with loads; empty on an entry.
  RolloutService(boost::asio::io_context &Context, PeerHub &Hub,
                 Platform &Store, RolloutDependencies Dependencies,
                 LoadSource Loads, const RolloutIdentity &Self);
  ~RolloutService();
  RolloutService(const RolloutService &) = delete;
  RolloutService &operator=(const RolloutService &) = delete;

  void start();
  void stop();

  RolloutAgent &agent();
  RolloutController &controller();
  DrainController &drains();

  /// \returns rollouts, marks and evidence, for people.
  boost::json::value dump(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
