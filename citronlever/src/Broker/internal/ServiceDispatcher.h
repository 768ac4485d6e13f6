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
#include "citronlever/src/Rollout/ServiceLoad.h"
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

/// The requests of one service: its scheduler, the calls in work and their
/// merging, under one lock. Actions that the scheduler asks for are carried
/// out outside the lock.
class ServiceDispatcher
    : public std::enable_shared_from_this<ServiceDispatcher> {
public:
  using ReplyCallback = std::function<void(BrokerReply)>;

  ServiceDispatcher(boost::asio::io_context &Context,
                    std::shared_ptr<LeafSender> Sender,
                    const BrokerSettings &Settings);

  /// Takes over leaves, limits and what operators have taken out.
  /// \param LeavingVms VMs that the platform says are leaving.
  void apply(const ConfigPtr &Config,
             std::shared_ptr<const Service> ServiceConfig,
             const std::set<std::string, std::less<>> &LeavingVms);

  /// Starts a call; \p Reply runs once. \param Received when the call came.
  void start(BrokerCall Call, TimePoint ReceivedAt, ReplyCallback Reply);

  /// Gives a call up. \returns whether it may have reached a leaf.
  Verdict cancel(RequestId Id, std::uint32_t Group);

  /// This process owns a group from now on; its leaves start as cold, or as
  /// ramping if the previous owner vouches for them.
  void onGroupGained(std::uint32_t Group, bool HandedOver);

  /// The previous owner vouches for a group's leaves.
  void onHandover(std::uint32_t Group);

  /// As gained(), with what the group's other candidates said of its leaves.
  /// Those that this process itself knows as warm yet stay so.
  void onGroupClaimed(std::uint32_t Group, bool HandedOver,
                      const GroupClaims::Outcome &Outcome);

  /// Another broker claims a group: calls of which nothing was sent are
  /// refused with its name, \p To. Adds what is known of the leaves to \p Into.
  void releaseGroup(std::uint32_t Group, const std::string &NewOwner,
                    GroupRelease &Release);

  /// \returns whether nothing of a released group is in work; closes its idle
  /// connections then.
  bool closeIfIdle(std::uint32_t Group);

  /// A leaf closed an idle connection.
  void onPeerClosed(const Endpoint &Address);

  /// Ends every waiting call as not run and forgets what was learnt.
  void resetAfterPause();

  /// Leaves that return get these shares of the work.
  void setReturnShares(std::shared_ptr<const ReturnShares> Shares);

  /// Appends the loads of a group's shards, as its owner or as a stand-by.
  void appendLoads(std::uint32_t Group, bool IsOwner, TimePoint Now,
                   std::vector<ShardLoad> &Into);

  /// Adds what is known of one leaf, or nothing.
  void explainLeaf(std::string_view Leaf, TimePoint Now,
                   boost::json::object &Into);

  std::size_t callCount() const;
  void dump(boost::json::object &Into) const;

private:
  struct PendingCall {
    BrokerCall Call;
    ReplyCallback Reply;
    TimePoint Deadline{};
    std::shared_ptr<const std::string> Body;
    std::size_t OpenJobs = 0;
    std::vector<std::vector<Row>> RowLists;
    BrokerReply Result;
    JobOutcome FailureEnd = JobOutcome::Answered;
    /// The broker that claimed the group before anything was sent.
    std::string NewOwner;
  };
  struct JobInfo {
    std::uint64_t CallNumber = 0;
    std::uint32_t Shard = 0;
  };
  struct AttemptInfo {
    Endpoint Address;
    RequestId Id;
    LeafIndex Leaf = 0;
    std::string Route;
    std::string Version;
    TimePoint SentAt{};
  };
  struct PhaseChangeRecord {
    TimePoint At{};
    LeafOutcome Outcome = LeafOutcome::Ok;
  };
  /// Work to do after the lock is released.
  struct DeferredActions {
    std::vector<std::pair<AttemptId, LeafCall>> Sends;
    std::vector<AttemptInfo> Cancels;
    std::vector<std::pair<AttemptInfo, bool>> Abandons;
    std::vector<std::pair<ReplyCallback, BrokerReply>> Replies;
    /// What to log of a leaf that changed its phase.
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
  ConfigPtr Config;
  std::shared_ptr<const Service> ServiceConfig;
  std::set<std::string, std::less<>> LeavingVms;
  /// For each of the service's leaves, the scheduler's index, or None.
  std::vector<LeafIndex> LeafIndices;
  LeafScheduler<HedgeDelayFromSend> Scheduler;
  std::map<std::string, std::uint32_t, std::less<>> RouteNumbers;
  std::unordered_map<std::uint64_t, PendingCall> PendingCalls;
  std::unordered_map<JobId, JobInfo> Jobs;
  std::unordered_map<AttemptId, AttemptInfo> Attempts;
  LeafStartDetector StartDetector;
  /// For each leaf, the last call that changed its phase.
  std::map<LeafIndex, PhaseChangeRecord> PhaseChanges;
  std::shared_ptr<const ReturnShares> ActiveReturnShares;
  /// For each returning leaf, the part of its next request earned so far.
  std::map<std::string, double, std::less<>> ReturnCredit;
  std::uint64_t LastCallNumber = 0;
  JobId LastJobId = 0;
};

} // namespace citronlever::internal
