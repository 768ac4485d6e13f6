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

/// Provides the loads of the shards that this broker owns.
using LoadSource = std::function<std::vector<ShardLoad>()>;

/// Takes failure domains and VMs out of service and back: reports the loads of
/// this broker's shards to other controllers, and advances the drains whose
/// lease this member holds. All state is kept in the configuration documents.
/// Safe to call from any thread.
class DrainController {
public:
  /// Time between two ticks.
  static constexpr Duration Period = Milliseconds(500);
  /// Older reports of brokers are ignored.
  static constexpr Duration MaxReportAge = Seconds(3);

  using ChangeCallback = std::function<void(ChangeResult)>;

  /// \param Loads empty on members that own no shards.
  /// \p Store must outlive this and every callback.
  DrainController(RolloutDependencies Dependencies, Platform &Store,
                  LoadSource Loads, std::string Deployment, std::string Name);
  ~DrainController();

  /// Handles an operator's command. A drain is decided once every broker has
  /// reported its load, at the latest after MaxReportAge. \p Callback is called
  /// once with the outcome and, on refusal, the reason.
  void request(const DrainTarget &Target, DrainInput::Command Requested,
               ChangeCallback Callback);

  /// Handles MessageType::MoveQuery: replies with this broker's loads.
  void onQuery(const DrainQuery &Query);
  /// Handles MessageType::MoveReport.
  void onReport(const DrainReport &Report, TimePoint Now);

  /// Advances every drain in progress by one step.
  void tick(TimePoint Now);

private:
  /// State of a drain that is in progress or was requested.
  struct ActiveDrain {
    DrainTarget Target;
    std::uint64_t Revision = 0;
    DrainDocument Document;
    TimePoint SeenAt{};
    bool WritePending = false;
    std::unique_ptr<LeaseHolder> Lease;
    std::map<std::string, std::pair<DrainReport, TimePoint>> Reports;
    /// Operator's command that waits for reports.
    DrainInput::Command PendingCommand = DrainInput::Command::None;
    TimePoint CommandSince{};
    ChangeCallback Callback;
  };
  /// A change to propose once the lock is released.
  struct PendingAction {
    std::string Key;
    std::optional<DocumentChange> Change;
    std::string RefusalReason;
    /// New phase and its reason, for the log.
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
    /// Keyed by document name.
    std::map<std::string, ActiveDrain, std::less<>> Drains;
  };

  RolloutDependencies Dependencies;
  Platform &Store;
  LoadSource Loads;
  const std::string Deployment;
  const std::string Name;
  std::shared_ptr<Shared> Data;
};

/// \returns the document of the target: "domains/<name>" or "vms/<name>".
std::string documentName(const DrainTarget &Target);

} // namespace citronlever
