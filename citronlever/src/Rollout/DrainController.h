#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Platform/Platform.h"
#include "citronlever/src/Rollout/DrainMessages.h"
#include "citronlever/src/Rollout/DrainStateMachine.h"
#include "citronlever/src/Rollout/LeaseHolder.h"
#include "citronlever/src/Rollout/RolloutDependencies.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace citronlever {

/// What a broker must tell for moves: the shards it owns, with loads.
using LoadSource = std::function<std::vector<ShardLoad>()>;

/// Moves failure domains and VMs out and in: answers other controllers'
/// questions about this broker's shards, and drives the moves whose lease this
/// member holds. All state is in the documents. Safe to call from any thread.
class DrainController {
public:
  /// Time between two ticks.
  static constexpr Duration Period = Milliseconds(500);
  /// Age up to which a broker's report counts.
  static constexpr Duration ReportAge = Seconds(3);

  using Then = std::function<void(ChangeResult)>;

  /// \param Loads empty on members that own no shards.
  DrainController(RolloutDependencies Ports, Platform &Store, LoadSource Loads,
                  std::string Deployment, std::string Name);
  ~DrainController();

  /// Begins a move for an operator. Out is decided once every broker has
  /// reported, at the latest after ReportAge; \p Use gets the refusal's reason.
  void move(const DrainTarget &Target, DrainInput::Wish Wish, Then Use);

  void onQuery(const DrainQuery &Query);
  void onReport(const DrainReport &Report, TimePoint Now);

  /// Takes a step with every move under way.
  void tick(TimePoint Now);

private:
  struct Move {
    DrainTarget Target;
    std::uint64_t Revision = 0;
    DrainDocument Document;
    TimePoint SeenAt{};
    bool Writing = false;
    std::unique_ptr<LeaseHolder> Lease;
    std::map<std::string, std::pair<DrainReport, TimePoint>> Reports;
    /// An operator's wish that waits for reports.
    DrainInput::Wish Wish = DrainInput::Wish::None;
    TimePoint WishSince{};
    Then Answer;
  };
  /// A change to be asked for once the lock is released.
  struct Step {
    std::string Key;
    std::optional<DocumentChange> Change;
    std::string Refusal;
    /// The new phase and its reason; for the log.
    std::string Told;
    Then Answer;
  };

  void adopt(TimePoint Now);
  Step drive(Move &Of, TimePoint Now);
  DrainInput input(const Move &Of, TimePoint Now) const;
  bool allReported(const Move &Of, TimePoint Now) const;
  bool wanted(const std::string &Document) const;
  void ask(const Move &Of);
  void carryOut(Step Next);

  struct Shared {
    std::mutex Mutex;
    /// By document name.
    std::map<std::string, Move, std::less<>> Moves;
  };

  RolloutDependencies Ports;
  Platform &Store;
  LoadSource Loads;
  const std::string Deployment;
  const std::string Name;
  std::shared_ptr<Shared> Data;
};

/// \returns "domains/<name>" or "vms/<name>".
std::string documentOf(const DrainTarget &Target);

} // namespace citronlever
