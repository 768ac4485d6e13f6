#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Platform/Platform.h"
#include "citronlever/src/Rollout/LeaseHolder.h"
#include "citronlever/src/Rollout/RolloutAgent.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"
#include "citronlever/src/Rollout/RolloutDocument.h"
#include "citronlever/src/Rollout/RolloutStateMachine.h"

#include <boost/json/fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace citronlever {

/// Starts rollouts for operators, and advances the rollouts whose lease this
/// member holds. All state is kept in the configuration documents. Safe to call
/// from any thread.
class RolloutController {
public:
  /// Time between two ticks.
  static constexpr Duration Period = Milliseconds(500);
  /// Time after which the elapsed time is written even if nothing else changed.
  static constexpr Duration CheckpointPeriod = Seconds(10);

  using ChangeCallback = std::function<void(ChangeResult)>;

  /// \p Agent and \p Store must outlive this and every callback.
  RolloutController(RolloutDependencies Dependencies, Platform &Store,
                    RolloutAgent &Agent, std::string Deployment,
                    std::string Name);
  ~RolloutController();

  /// Starts a rollout of \p Version. Refused while another rollout of the
  /// service is in progress, or if no leaf has that version.
  void start(const std::string &Service, const std::string &Version,
             Duration Deadline, ChangeCallback Callback);

  /// Rolls back the rollout in progress: marks it as bad at once, which spreads
  /// to all members even if the store does not answer.
  void rollBack(const std::string &Service, const ChangeCallback &Callback);

  /// \returns the rollout's document, evidence and mark, as JSON for operators.
  boost::json::value status(const std::string &Service, TimePoint Now) const;

  /// Advances every rollout in progress by one step.
  void tick(TimePoint Now);

private:
  /// A rollout in progress and this member's lease on it.
  struct TrackedRollout {
    std::uint64_t Revision = 0;
    RolloutDocument Document;
    TimePoint SeenAt{};
    bool WritePending = false;
    std::unique_ptr<LeaseHolder> Lease;
  };

  std::optional<RolloutDocument> readDocument(const std::string &Service,
                                              std::uint64_t &Revision) const;
  bool isPreferredController(const std::string &Service) const;
  void update(TrackedRollout &Rollout, const RolloutDocument &Present,
              std::uint64_t Revision, TimePoint Now);
  void release(const std::string &Service, TimePoint Now);
  /// Logs a change of phase that this member wrote.
  void logPhaseChange(const RolloutDocument &Present);
  std::optional<DocumentChange> advance(const std::string &Service,
                                        TrackedRollout &Rollout, TimePoint Now);
  RolloutInput makeInput(const std::string &Service,
                         const TrackedRollout &Rollout,
                         std::uint64_t FencingToken, TimePoint Now) const;
  std::optional<DocumentChange> decide(const std::string &Service,
                                       const TrackedRollout &Rollout,
                                       const RolloutInput &Input,
                                       TimePoint Now) const;
  DocumentChange makeChange(const std::string &Service,
                            const TrackedRollout &Rollout,
                            RolloutDocument Next) const;
  std::optional<DocumentChange>
  switchService(const std::string &Service, const std::string &ToVersion) const;
  void propose(const std::string &Service, DocumentChange Change);

  /// The phase that was last logged for a service.
  struct LoggedPhase {
    std::string Id;
    RolloutPhase Phase = RolloutPhase::Canary;
  };
  struct Shared {
    std::mutex Mutex;
    std::map<std::string, LoggedPhase, std::less<>> LastLogged;
    std::map<std::string, TrackedRollout, std::less<>> Rollouts;
  };

  RolloutDependencies Dependencies;
  Platform &Store;
  RolloutAgent &Agent;
  const std::string Deployment;
  const std::string Name;
  std::shared_ptr<Shared> Data;
};

} // namespace citronlever
