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

/// Drains failure domains and VMs out and in: answers other controllers'
/// questions about this broker's shards, and drives the moves whose lease this
/// member holds. All state is in the documents. Safe to call from any thread.
class DrainController {
public:
  /// Time between two ticks.
  static constexpr Duration Period = Milliseconds(500);
  /// Age up to which a broker's report counts.
  static constexpr Duration MaxReportAge = Seconds(3);

  using ChangeCallback = std::function<void(ChangeResult)>;

  /// \param Loads empty on members that own no shards.
  DrainController(RolloutDependencies Dependencies, Platform &Store,
                  LoadSource Loads, std::string Deployment, std::string Name);
  ~DrainController();

  /// Begins a move for an operator. Out is decided once every broker has
  /// reported, at the latest after MaxReportAge; \p Callback gets the refusal's
  /// reason.
  void request(const DrainTarget &Target, DrainInput::Command Requested,
               ChangeCallback Callback);

  void onQuery(const DrainQuery &Query);
  void onReport(const DrainReport &Report, TimePoint Now);

  /// Takes a step with every move under way.
  void tick(TimePoint Now);

private:
  struct ActiveDrain {
    DrainTarget Target;
    std::uint64_t Revision = 0;
    DrainDocument Document;
    TimePoint SeenAt{};
    bool WritePending = false;
    std::unique_ptr<LeaseHolder> Lease;
    std::map<std::string, std::pair<DrainReport, TimePoint>> Reports;
    /// An operator's wish that waits for reports.
    DrainInput::Command PendingCommand = DrainInput::Command::None;
    TimePoint CommandSince{};
    ChangeCallback Callback;
  };
  /// A change to be asked for once the lock is released.
  struct PendingAction {
    std::string Key;
    std::optional<DocumentChange> Change;
    std::string RefusalReason;
    /// The new phase and its reason; for the log.
    std::string LogDetail;
    ChangeCallback Callback;
  };

  void readDocuments(TimePoint Now);
  PendingAction advance(ActiveDrain &Drain, TimePoint Now);
  DrainInput makeInput(const ActiveDrain &Drain, TimePoint Now) const;
  bool hasAllReports(const ActiveDrain &Drain, TimePoint Now) const;
  bool isPreferredController(const std::string &Document) const;
  void queryBrokers(const ActiveDrain &Drain);
  void execute(PendingAction Action);

  struct Shared {
    std::mutex Mutex;
    /// By document name.
    std::map<std::string, ActiveDrain, std::less<>> Drains;
  };

  RolloutDependencies Dependencies;
  Platform &Store;
  LoadSource Loads;
  const std::string Deployment;
  const std::string Name;
  std::shared_ptr<Shared> Data;
};

/// \returns "domains/<name>" or "vms/<name>".
std::string documentName(const DrainTarget &Target);

} // namespace citronlever
