#pragma once

#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Dispatch/SenderTenure.h"
#include "citronlever/src/Edge/EdgeSettings.h"
#include "citronlever/src/Edge/PlannedStop.h"
#include "citronlever/src/Edge/RolloutCoordinator.h"
#include "citronlever/src/Gateway/CallerServer.h"
#include "citronlever/src/Gateway/GatewayContext.h"
#include "citronlever/src/Gateway/RequestDispatcher.h"
#include "citronlever/src/Registry/DocumentReader.h"
#include "citronlever/src/Registry/LeafRegistry.h"
#include "citronlever/src/Registry/MemberLease.h"
#include "citronlever/src/Registry/PeerProbe.h"
#include "citronlever/src/Registry/RelayedStore.h"
#include "citronlever/src/Registry/RestoreHold.h"
#include "citronlever/src/Registry/StoreSynchronizer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// A server process: follows routes, leaves and members in the store, forwards
/// callers' requests to leaves, and tells callers which members to connect to.
///
/// A member is one process of the fleet; the entries are the members that
/// callers are sent to. Not thread-safe: used on the thread of the event loop.
class EdgeNode : private DocumentSink {
public:
  EdgeNode(boost::asio::io_context &Context, EdgeSettings Settings,
           KeyValueStore &Store, const DocumentReader &Documents,
           const HeaderNames &Names);
  ~EdgeNode() override;
  EdgeNode(const EdgeNode &) = delete;
  EdgeNode &operator=(const EdgeNode &) = delete;

  /// \throws Error if an address cannot be bound.
  void start();

  /// Begins a planned stop. \p Then runs when every request read has been
  /// answered, or shortly before EdgeSettings::StopTimeout ends.
  void stop(std::function<void()> Then);

  /// \returns whether callers may be sent to this process: it has read routes
  /// and registry and is not stopping.
  bool isReady() const;

  /// \returns the addresses that a caller in failure domain \p Domain should
  /// connect to; empty until routes and members are known.
  std::vector<std::string> addresses(std::string_view Domain) const;

  const EdgeSettings &settings() const { return this->Settings; }

  /// \returns the state of this process as JSON.
  std::string dump() const;

  /// \returns the counters and gauges of this process, by metric name.
  std::vector<std::pair<std::string, double>> metrics() const;

private:
  // DocumentSink
  void onLeaf(LeafEntry Entry) override;
  void onLeafRemoved(std::string_view Id) override;
  void onRoutes(RouteTablePtr Table) override;
  void onDomainClosed(std::string_view Domain, bool Closed) override;
  void onVersionOrdered(RolloutRequest Order) override;
  void onOrderWithdrawn(std::string_view Service) override;
  void onMoveWritten(RolloutDocument State, StoreRevision Revision) override;
  void onMember(FleetMember Member) override;
  void onMemberRemoved(std::string_view Name) override;

  /// Handles one key of the store, and relays it if it changed.
  void onStoreItem(const StoreItem &Item);
  /// Handles a completed read or watch of the store.
  void onStoreRead();
  /// Handles the end of an outage of the store: entries that expired in it are
  /// kept until their owners have had time to register again.
  void onStoreRecovered();
  /// Handles that the store came back from an older copy, which is read now.
  void onStoreRestored();
  /// Puts differences of a restored copy in force that have been held long
  /// enough.
  void applyHeld(TimePoint Now);
  /// \returns the time within which the members register again if all of them
  /// have to.
  Duration recoverySpread() const;
  /// Chooses the members through which the store is watched.
  void updateRelays();
  /// Passes the entries on to the probe and the rollout coordinator.
  void updatePeers();
  /// \returns a version of the order's service that serves beside the ordered
  /// one, or "unknown".
  std::string previousVersion(const RolloutRequest &Order) const;
  HttpHandler peerHandler();
  /// Selects the entries again if a route or a member changed.
  void updateEntries();
  /// \returns whether callers are sent to this process.
  bool isEntry() const;
  /// \returns whether this process reaches neither the store nor enough leaves.
  bool isIsolated() const;
  /// \returns how many processes the fleet's limits are divided by, this one
  /// included.
  std::size_t countSenders(TimePoint Now) const;
  /// \returns the processes that share the fleet's limits.
  SenderGroup senderGroup(TimePoint Now) const;
  /// Passes changes of leaves, routes and limits on to \c Fleet.
  void updateFleet(TimePoint Now);
  /// Tells the other entries what leaves have stated about their limits.
  void shareLimits(TimePoint Now);
  /// Takes what another entry was told by leaves.
  void onLimitNotices(std::string_view Encoded);
  void scheduleTick(TimePoint Due);
  void finishStop(TimePoint Now);

  EdgeSettings Settings;
  KeyValueStore &Store;
  /// The store that \c Feed reads; its watches go through other members.
  RelayedStore FeedStore;
  ChangeRelay Relay;
  HttpServer PeerServer;
  const DocumentReader &Documents;
  LeafRegistry Leaves;
  FleetMembers Members;
  LeafExclusions Bounds;
  CurrentRoutes Routes;
  LeafPool Fleet;
  RolloutCoordinator Coordinator;
  LoopDelay LoopLag;
  GatewayContext Runs;
  RequestDispatcher Chain;
  CallerServer Callers;
  StoreMirror Mirror;
  std::shared_ptr<StoreSynchronizer> Feed;
  std::shared_ptr<MemberLease> Lease;
  std::shared_ptr<PeerProbe> Probe;
  boost::asio::steady_timer Timer;
  /// Members that callers are sent to.
  std::vector<FleetMember> Entries;
  SenderTenure Tenure;
  /// The processes that the fleet's limits are divided by.
  SenderGroup Senders{.Count = 0};
  /// Random, so that members start with different relays.
  std::size_t RelayOffset = std::random_device{}();
  /// When the other entries are told of the leaves' limits again.
  TimePoint ShareLimitsAt{};
  /// Leaves, routes, closed domains or rollouts changed since the last
  /// Fleet.update().
  bool FleetOutdated = false;
  /// Routes or members changed since the last updateEntries().
  bool EntriesOutdated = false;
  /// Whether the item being read differs from the known one in more than the
  /// figures of a heartbeat, and so has to be relayed.
  bool ItemChanged = false;
  /// Whether the items being read are of a copy to which the store went back.
  bool ReadingRestored = false;
  /// Closed failure domains that a restored copy does not name.
  RestoreHold<bool> HeldReopenings;
  /// Orders in a restored copy other than the known ones; none where it lacks
  /// one.
  RestoreHold<std::optional<RolloutRequest>> HeldOrders;
  bool LeaseStarted = false;
  TimePoint StartedAt{};
  PlannedStop Stop;
  /// Set while a planned stop is under way.
  std::function<void()> OnStopped;
};

} // namespace citronlever
