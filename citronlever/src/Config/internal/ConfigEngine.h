#pragma once

#include "citronlever/src/Config/ConfigGossip.h"
#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Config/ConfigSettings.h"
#include "citronlever/src/Config/FreshnessTracker.h"
#include "citronlever/src/Config/InForceCheck.h"
#include "citronlever/src/Config/RevisionTree.h"
#include "citronlever/src/Config/internal/ConfigStore.h"
#include "citronlever/src/Config/internal/ViewBuilder.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace citronlever {

/// Implementation of ConfigAgent, independent of the peer hub. Everything
/// except the read accessors runs on one strand.
class ConfigEngine : public std::enable_shared_from_this<ConfigEngine> {
public:
  using Sender = std::function<void(const Endpoint &, MessageType, Bytes)>;
  using ChangeHandler = std::function<void(const ConfigViewPtr &)>;

  ConfigEngine(boost::asio::io_context &Context, Platform &PlatformStore,
               ConfigSettings Settings, Sender Send);

  void start();
  void stop();
  void addChangeHandler(ChangeHandler Handler);
  void setPeers(std::vector<ConfigPeer> Live);
  void receive(const PeerLinkPtr &From, MessageType Type, ByteView Body);
  void propose(ConfigProposal Change,
               std::function<void(ProposalResult)> OnDone);
  void checkInForce(std::uint64_t Revision, Duration Wait,
                    std::function<void(InForceResult)> OnDone);

  ConfigViewPtr view() const;
  std::shared_ptr<const ConfigState> state() const;
  bool hasFreshConfig(TimePoint Now) const;
  bool hasSeenEmptyStore() const;
  boost::json::value dump(TimePoint Now) const;

private:
  using Self = std::shared_ptr<ConfigEngine>;
  template <class T> using Task = boost::asio::awaitable<T>;

  /// Counters and status for the operator's dump.
  struct Status {
    bool Watching = false;
    std::string StoreStatus = "not asked";
    std::uint64_t Accepted = 0;
    std::uint64_t Repairs = 0;
    std::uint64_t Pulls = 0;
    std::size_t Peers = 0;
    boost::json::value Collection;
  };

  using InForceCheckPtr = std::shared_ptr<InForceCheck>;

  // Messages and timers (ConfigEngine.cpp).
  void dispatch(const PeerLinkPtr &From, MessageType Type, ByteView Body);
  void sendAll(const PeerLinkPtr &Back, const ConfigMessages &Messages);
  /// Publishes the new state and announces it to peers and handlers.
  void onAdvanced();
  /// Publishes freshness and status to the read accessors.
  void publish();
  Task<void> sleep(Duration Time);
  static Task<void> digestLoop(Self This);

  // Revision reports (ConfigReports.cpp).
  void onReport(const PeerLinkPtr &From, const RevisionReport &Report);
  void reportRevision();
  void updateRosters();
  void rescheduleReports();
  void queryCollectors(InForceCheck &Check);
  static Task<void> reportLoop(Self This);
  static Task<void> awaitInForce(Self This, std::uint64_t Revision,
                                 Duration Wait,
                                 std::function<void(InForceResult)> OnDone);

  // Reading and repairing the store (ConfigStoreLoop.cpp, ConfigRepair.cpp).
  bool isWatcher() const;
  /// Records the outcome of a store call. \returns whether the store answered.
  bool recordStoreContact(const StoredLog &Stored);
  static Task<void> storeLoop(Self This);
  /// Fetches the documents that \p Log refers to and advances to its head.
  /// \returns whether the state advanced.
  static Task<bool> adoptLog(Self This, ConfigLog Log);
  /// Writes this member's state back to a store that has lost changes, if
  /// enough other members confirm that state.
  static Task<bool> repairStore(Self This, StoredLog Stored);
  static Task<bool> putDocuments(Self This,
                                 std::shared_ptr<const ConfigState> From);
  bool canRepair() const;

  // Committing changes (ConfigCommit.cpp).
  struct PendingProposal;
  static Task<void> commit(Self This, ConfigProposal Change,
                           std::function<void(ProposalResult)> OnDone);
  /// Stores the proposal's body, retrying until its deadline.
  static Task<bool> storeBody(Self This, PendingProposal &Pending);
  /// Reads the store's log and adopts it if it is ahead.
  /// \returns whether the log now equals this member's state.
  static Task<bool> syncWithStore(Self This, PendingProposal &Pending,
                                  StoredLog &Stored);
  /// Adds a checkpoint to \p Next if one is due.
  /// \returns the id of the checkpoint that it replaces, or an empty string.
  static Task<std::string> addCheckpoint(Self This, ConfigLog &Next);
  /// Attempts once to commit a change on top of the store's current log.
  static Task<void> tryCommit(Self This, PendingProposal &Pending);
  /// Advances to the accepted change.
  void onAccepted(const PendingProposal &Pending, const ConfigHead &Base,
                  const ConfigLog &Log);
  /// Writes the log, and determines the outcome if the store's reply is lost.
  static Task<void> writeLog(Self This, PendingProposal &Pending,
                             std::string Text,
                             std::uint64_t ExpectedStoreRevision,
                             std::uint64_t ProposedRevision);
  /// Removes bodies and the checkpoint that the log no longer refers to.
  static Task<void> collectGarbage(Self This,
                                   std::vector<ConfigLogEntry> Dropped,
                                   std::string OldCheckpoint);
  std::string newId();
  /// \returns why this member cannot accept changes now; empty if it can.
  std::string refusalReason() const;

  boost::asio::io_context &Context;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  Platform &PlatformStore;
  const ConfigSettings Settings;
  const Sender Send;

  // Accessed on the strand only.
  ConfigState State;
  ConfigGossip Gossip;
  RevisionTree Tree;
  ViewBuilder Builder;
  ConfigStore Store;
  std::vector<ConfigPeer> Peers;
  bool PeersKnown = false;
  std::vector<ChangeHandler> Handlers;
  std::vector<InForceCheckPtr> InForceChecks;
  /// All live members, kept while an InForceCheck is pending.
  std::optional<FleetRoster> Fleet;
  boost::asio::steady_timer ReportTimer;
  std::set<boost::asio::steady_timer *> Timers{&this->ReportTimer};
  Status CurrentStatus;
  std::mt19937_64 Random;
  std::uint64_t Incarnation;
  std::uint64_t NextId = 0;
  bool Stopped = false;

  mutable std::mutex PublishedMutex;
  ConfigViewPtr PublishedView;
  std::shared_ptr<const ConfigState> PublishedState;
  FreshnessTracker PublishedFreshness;
  Status PublishedStatus;
};

} // namespace citronlever
