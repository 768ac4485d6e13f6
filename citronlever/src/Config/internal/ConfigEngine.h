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

/// The work behind ConfigAgent, apart from the peer hub. Everything but the
/// readers runs on one strand.
class ConfigEngine : public std::enable_shared_from_this<ConfigEngine> {
public:
  using Sender = std::function<void(const Endpoint &, MessageType, Bytes)>;
  using ChangeHandler = std::function<void(const ConfigPtr &)>;

  ConfigEngine(boost::asio::io_context &Context, Platform &Service,
               ConfigSettings Settings, Sender Send);

  void start();
  void stop();
  void onChange(ChangeHandler Use);
  void setPeers(std::vector<ConfigPeer> Live);
  void receive(const PeerLinkPtr &From, MessageType Type, ByteView Body);
  void propose(ConfigProposal Change, std::function<void(ProposalResult)> Then);
  void inForce(std::uint64_t Revision, Duration Wait,
               std::function<void(InForceResult)> Then);

  ConfigPtr view() const;
  std::shared_ptr<const ConfigState> state() const;
  bool attested(TimePoint Now) const;
  bool sawEmpty() const;
  boost::json::value dump(TimePoint Now) const;

private:
  using Self = std::shared_ptr<ConfigEngine>;
  template <class T> using Task = boost::asio::awaitable<T>;

  /// Counters and signs for the dump.
  struct Status {
    bool Watching = false;
    std::string StoreStatus = "not asked";
    std::uint64_t Accepted = 0;
    std::uint64_t Repairs = 0;
    std::uint64_t Pulls = 0;
    std::size_t Peers = 0;
    boost::json::value Collection;
  };

  using InquiryPtr = std::shared_ptr<InForceCheck>;

  // Messages and time (ConfigEngine.cpp).
  void dispatch(const PeerLinkPtr &From, MessageType Type, ByteView Body);
  void sendAll(const PeerLinkPtr &Back, const ConfigMessages &Messages);
  void advanced();
  void publish();
  Task<void> sleep(Duration Time);
  static Task<void> digestLoop(Self This);

  // Who has which revision (ConfigReports.cpp).
  void onReport(const PeerLinkPtr &From, const RevisionReport &Report);
  void reportOwn();
  void setRosters();
  void wakeReports();
  void askCollectors(InForceCheck &Asking);
  static Task<void> reportLoop(Self This);
  static Task<void> awaitInForce(Self This, std::uint64_t Revision,
                                 Duration Wait,
                                 std::function<void(InForceResult)> Then);

  // The store (ConfigStoreLoop.cpp, ConfigRepair.cpp).
  bool watches() const;
  bool noteContact(const StoredLog &Stored);
  static Task<void> storeLoop(Self This);
  static Task<bool> takeOver(Self This, ConfigLog Log);
  static Task<bool> repair(Self This, StoredLog Stored);
  static Task<bool> putAll(Self This, std::shared_ptr<const ConfigState> From);
  bool mayRepair() const;

  // Changes (ConfigCommit.cpp).
  struct Attempt;
  static Task<void> commit(Self This, ConfigProposal Change,
                           std::function<void(ProposalResult)> Then);
  static Task<bool> store(Self This, Attempt &Now);
  /// \returns whether the store's log equals this member's state.
  static Task<bool> matchStore(Self This, Attempt &Now, StoredLog &Stored);
  /// Adds a checkpoint when due. \returns the id of the one it replaces.
  static Task<std::string> addCheckpoint(Self This, ConfigLog &Next);
  static Task<void> tryOnce(Self This, Attempt &Now);
  void accepted(const Attempt &Now, const ConfigHead &Base,
                const ConfigLog &Log);
  static Task<void> settleSwap(Self This, Attempt &Now, std::string Text,
                               std::uint64_t Expect, std::uint64_t Tried);
  static Task<void> collectGarbage(Self This, std::vector<ConfigEntry> Dropped,
                                   std::string OldCheckpoint);
  std::string newId();
  std::string refusalReason() const;

  boost::asio::io_context &Context;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  Platform &Service;
  const ConfigSettings Settings;
  const Sender Send;

  // On the strand only.
  ConfigState State;
  ConfigGossip Gossip;
  RevisionTree Tree;
  ViewBuilder Builder;
  ConfigStore Store;
  std::vector<ConfigPeer> Peers;
  bool PeersKnown = false;
  std::vector<ChangeHandler> Handlers;
  std::vector<InquiryPtr> Inquiries;
  /// All members, while somebody waits for an answer.
  std::optional<FleetRoster> Fleet;
  boost::asio::steady_timer ReportTimer;
  std::set<boost::asio::steady_timer *> Timers{&this->ReportTimer};
  Status Now;
  std::mt19937_64 Random;
  std::uint64_t Incarnation;
  std::uint64_t NextId = 0;
  bool Stopped = false;

  mutable std::mutex PublishedMutex;
  ConfigPtr PublishedView;
  std::shared_ptr<const ConfigState> PublishedState;
  FreshnessTracker PublishedProof;
  Status PublishedStatus;
};

} // namespace citronlever
