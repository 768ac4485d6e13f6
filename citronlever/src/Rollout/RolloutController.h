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

/// Starts rollouts for operators, and drives those whose lease this member
/// holds. All state is in the documents. Safe to call from any thread.
class RolloutController {
public:
  /// Time between two ticks.
  static constexpr Duration Period = Milliseconds(500);
  /// Writes that only record the time under way.
  static constexpr Duration CheckpointPeriod = Seconds(10);

  using Then = std::function<void(ChangeResult)>;

  /// \p Agent and \p Store must outlive this and every callback.
  RolloutController(RolloutDependencies Ports, Platform &Store,
                    RolloutAgent &Agent, std::string Deployment,
                    std::string Name);
  ~RolloutController();

  /// Starts a rollout of \p Version; refused while another one is under way,
  /// or if no leaf has that version.
  void start(const std::string &Service, const std::string &Version,
             Duration Deadline, Then Use);

  /// Takes the rollout under way back: marks it at once, everywhere, whether
  /// or not the store answers.
  void takeBack(const std::string &Service, const Then &Use);

  /// \returns the rollout's document, evidence and mark; for people.
  boost::json::value status(const std::string &Service, TimePoint Now) const;

  /// Takes a step with every rollout under way.
  void tick(TimePoint Now);

private:
  struct Seen {
    std::uint64_t Revision = 0;
    RolloutDocument Document;
    TimePoint At{};
    bool Writing = false;
    std::unique_ptr<LeaseHolder> Lease;
  };

  std::optional<RolloutDocument> read(const std::string &Service,
                                      std::uint64_t &Revision) const;
  bool wanted(const std::string &Service) const;
  void follow(Seen &Of, const RolloutDocument &Present, std::uint64_t Revision,
              TimePoint Now);
  void forget(const std::string &Service, TimePoint Now);
  /// Logs a change of state that this member wrote.
  void report(const RolloutDocument &Present);
  std::optional<DocumentChange> drive(const std::string &Service, Seen &Of,
                                      TimePoint Now);
  RolloutInput input(const std::string &Service, const Seen &Of,
                     std::uint64_t Fence, TimePoint Now) const;
  std::optional<DocumentChange> decide(const std::string &Service,
                                       const Seen &Of,
                                       const RolloutInput &Input,
                                       TimePoint Now) const;
  DocumentChange write(const std::string &Service, const Seen &Of,
                       RolloutDocument Next) const;
  std::optional<DocumentChange> switchService(const std::string &Service,
                                              const std::string &To) const;
  void propose(const std::string &Service, DocumentChange Change);

  struct Reported {
    std::string Id;
    RolloutPhase Phase = RolloutPhase::Canary;
  };
  struct Shared {
    std::mutex Mutex;
    std::map<std::string, Reported, std::less<>> LastReported;
    std::map<std::string, Seen, std::less<>> Rollouts;
  };

  RolloutDependencies Ports;
  Platform &Store;
  RolloutAgent &Agent;
  const std::string Deployment;
  const std::string Name;
  std::shared_ptr<Shared> Data;
};

} // namespace citronlever
