#pragma once

#include "citronlever/src/Broker/BrokerSettings.h"
#include "citronlever/src/Broker/LeafCallReport.h"
#include "citronlever/src/Broker/Messages.h"
#include "citronlever/src/Broker/ReturnShares.h"
#include "citronlever/src/Broker/internal/GroupClaims.h"
#include "citronlever/src/Broker/internal/LeafDescription.h"
#include "citronlever/src/Broker/internal/LeafSender.h"
#include "citronlever/src/Broker/internal/LeafStartDetector.h"
#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Rollout/DrainCapacity.h"
#include "citronlever/src/Upstream/LeafScheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace citronlever::internal {

/// Dispatches the calls of one service to its leaves: splits them into one job
/// per shard, schedules these and merges the rows. One lock guards the
/// scheduler and the pending calls; actions that the scheduler requests are
/// performed outside the lock. Thread-safe.
class ServiceDispatcher
    : public std::enable_shared_from_this<ServiceDispatcher> {
public:
  using ReplyCallback = std::function<void(BrokerReply)>;

  ServiceDispatcher(boost::asio::io_context &Context,
                    std::shared_ptr<LeafSender> Sender,
                    const BrokerSettings &Settings);

  /// Applies the service's leaves and limits and what is out of service.
  /// \param LeavingVms VMs that the platform reports as leaving.
  void apply(const ConfigViewPtr &Config,
             std::shared_ptr<const Service> ServiceConfig,
             const std::set<std::string, std::less<>> &LeavingVms);

  /// Starts a call; \p Reply runs once. \param ReceivedAt when the call
  /// arrived.
  void start(BrokerCall Call, TimePoint ReceivedAt, ReplyCallback Reply);

  /// Cancels a call. \returns whether it may have reached a leaf.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  /// Starts serving a group. Its leaves start as cold, or as ramping if
  /// \p HandedOver, that is, if the previous owner reported them as warm.
  void onGroupGained(std::uint32_t Group, bool HandedOver);

  /// Handles the report of the previous owner that a group's leaves are warm.
  void onHandover(std::uint32_t Group);

  /// Like onGroupGained(), with what the group's other candidates reported
  /// about its leaves. Leaves that this process itself still knows to be warm
  /// stay warm.
  void onGroupClaimed(std::uint32_t Group, bool HandedOver,
                      const GroupClaims::Outcome &Outcome);

  /// Releases a group that \p NewOwner claims. Calls of which nothing was sent
  /// are refused with the name of the new owner. Adds what is known about the
  /// leaves to \p Release.
  void releaseGroup(std::uint32_t Group, const std::string &NewOwner,
                    GroupRelease &Release);

  /// Closes the idle connections of a released group if none of its requests
  /// is in progress. \returns whether that was so.
  bool closeIfIdle(std::uint32_t Group);

  /// Handles that a leaf closed an idle connection.
  void onPeerClosed(const Endpoint &Address);

  /// Ends every queued call as not run and treats all leaves as newly gained.
  void resetAfterPause();

  /// Sets the load shares of leaves that return to service.
  void setReturnShares(std::shared_ptr<const ReturnShares> Shares);

  /// Appends the leaf loads of a group's shards to \p Into.
  /// \param IsOwner false for a stand-by, which reports no measured load.
  void appendLoads(std::uint32_t Group, bool IsOwner, TimePoint Now,
                   std::vector<ShardLoad> &Into);

  /// Adds a report on the leaf with id \p Leaf to \p Into if it is known here.
  void explainLeaf(std::string_view Leaf, TimePoint Now,
                   boost::json::object &Into);

  /// \returns the number of pending calls.
  std::size_t callCount() const;
  /// Adds the state of the scheduler to \p Into, for operators.
  void dump(boost::json::object &Into) const;

private:
  /// A call that has not been replied to.
  struct PendingCall {
    BrokerCall Call;
    ReplyCallback Reply;
    TimePoint Deadline{};
    std::shared_ptr<const std::string> Body;
    std::size_t OpenJobs = 0;
    std::vector<std::vector<Row>> RowLists;
    BrokerReply Result;
    /// Reason why shards are missing; NotHeld takes precedence.
    JobOutcome FailureEnd = JobOutcome::Answered;
    /// The broker that claimed the group before anything was sent.
    std::string NewOwner;
  };
  /// The part of a call that concerns one shard.
  struct JobInfo {
    std::uint64_t CallNumber = 0;
    std::uint32_t Shard = 0;
  };
  /// A request sent to a leaf for a job.
  struct AttemptInfo {
    Endpoint Address;
    RequestId Id;
    LeafIndex Leaf = 0;
    std::string Route;
    std::string Version;
    TimePoint SentAt{};
  };
  /// When a call changed a leaf's phase, and the outcome of that call.
  struct PhaseChangeRecord {
    TimePoint At{};
    LeafOutcome Outcome = LeafOutcome::Ok;
  };
  /// Actions to perform after the lock is released.
  struct DeferredActions {
    std::vector<std::pair<AttemptId, LeafCall>> Sends;
    std::vector<AttemptInfo> Cancels;
    /// Attempts to abandon, and whether to close the idle connections too.
    std::vector<std::pair<AttemptInfo, bool>> Abandons;
    std::vector<std::pair<ReplyCallback, BrokerReply>> Replies;
    /// Log text for a leaf that changed its phase; empty if none did.
    std::string PhaseChangeText;
  };

  void onReply(AttemptId Attempt, LeafReply Reply);
  void collectActions(ActionList &Actions, TimePoint Now,
                      AttemptId AnsweringAttempt, std::vector<Row> *Rows,
                      std::string *Body, DeferredActions &Deferred);
  void collectSend(const SendAction &Action, TimePoint Now,
                   DeferredActions &Deferred);
  void collectFinish(const FinishAction &Action, AttemptId AnsweringAttempt,
                     std::vector<Row> *Rows, std::string *Body,
                     DeferredActions &Deferred);
  void completeCall(std::uint64_t CallNumber, DeferredActions &Deferred);
  void performDeferred(DeferredActions &&Deferred);
  double fastestOtherReplicaMs(LeafIndex Index) const;
  LeafDescriptionContext descriptionContextOf(LeafIndex Index) const;
  void armTimer(TimePoint Now);
  void onTimer();
  bool isInService(const Leaf &LeafInfo) const;
  void reportCall(const AttemptInfo &Attempt, const LeafReply &Reply,
                  LeafPhase Before, TimePoint Now);
  bool skipReturningLeaf(const Leaf &LeafInfo);
  LeafIndex ensureLeaf(std::uint32_t Number, TimePoint Now);
  std::set<LeafIndex> ensureGroupLeaves(std::uint32_t Group, TimePoint Now);
  std::set<LeafIndex> knownGroupLeaves(std::uint32_t Group) const;
  std::vector<LeafIndex> eligibleReplicas(const BrokerCall &Call,
                                          const Snapshot &SnapshotInfo,
                                          std::uint32_t Shard, TimePoint Now);

  const std::shared_ptr<LeafSender> Sender;
  const BrokerSettings Settings;

  mutable std::mutex Mutex;
  boost::asio::steady_timer Timer;
  TimePoint TimerExpiry = TimePoint::max();
  ConfigViewPtr Config;
  std::shared_ptr<const Service> ServiceConfig;
  std::set<std::string, std::less<>> LeavingVms;
  /// Index in the scheduler of each leaf of the service, or None.
  std::vector<LeafIndex> LeafIndices;
  LeafScheduler<HedgeDelayFromSend> Scheduler;
  /// Number of each route seen, for the scheduler.
  std::map<std::string, std::uint32_t, std::less<>> RouteNumbers;
  std::unordered_map<std::uint64_t, PendingCall> PendingCalls;
  std::unordered_map<JobId, JobInfo> Jobs;
  std::unordered_map<AttemptId, AttemptInfo> Attempts;
  LeafStartDetector StartDetector;
  /// The last phase change of each leaf.
  std::map<LeafIndex, PhaseChangeRecord> PhaseChanges;
  std::shared_ptr<const ReturnShares> ActiveReturnShares;
  /// Fraction of the next request accumulated so far by each returning leaf.
  std::map<std::string, double, std::less<>> ReturnCredit;
  std::uint64_t LastCallNumber = 0;
  JobId LastJobId = 0;
};

} // namespace citronlever::internal
