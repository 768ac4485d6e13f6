#pragma once

#include "citronlever/src/Core/LoopDelay.h"
#include "citronlever/src/Edge/EdgeSettings.h"
#include "citronlever/src/Edge/RolloutCoordinator.h"
#include "citronlever/src/Gateway/CallerServer.h"
#include "citronlever/src/Gateway/GatewayContext.h"
#include "citronlever/src/Gateway/RequestDispatcher.h"
#include "citronlever/src/Registry/DocumentReader.h"
#include "citronlever/src/Registry/LeafRegistry.h"
#include "citronlever/src/Registry/MemberLease.h"
#include "citronlever/src/Registry/PeerProbe.h"
#include "citronlever/src/Registry/RelayedStore.h"
#include "citronlever/src/Registry/StoreSynchronizer.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// One process that serves callers: follows the store, asks leaves itself, and
/// says which members callers should use. Used on one thread.
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

  /// Begins a planned stop; \p Then runs when everything read is answered, or
  /// at the end of the stop's time.
  void stop(std::function<void()> Then);

  /// \returns whether callers may be sent here.
  bool isReady() const;

  /// \returns the addresses for a caller of \p Domain; empty while unknown.
  std::vector<std::string> addresses(std::string_view Domain) const;

  const EdgeSettings &settings() const { return this->Settings; }

  /// \returns the state of this process as JSON.
  std::string dump() const;

  /// \returns counters and gauges as name and value.
  std::vector<std::pair<std::string, double>> metrics() const;

private:
  void onLeaf(LeafEntry Entry) override;
  void onLeafRemoved(std::string_view Id) override;
  void onRoutes(RouteTablePtr Table) override;
  void onDomainClosed(std::string_view Domain, bool Closed) override;
  void onVersionOrdered(RolloutRequest Order) override;
  void onOrderWithdrawn(std::string_view Service) override;
  void onMoveWritten(RolloutDocument State, std::uint64_t Revision) override;
  void onMember(FleetMember Member) override;
  void onMemberRemoved(std::string_view Name) override;

  void onStoreItem(const StoreItem &Item);
  void onStoreRead(bool WasUnreachable);
  void updateRelays();
  void updatePeers();
  /// \returns a version of the order's service other than the ordered one.
  std::string previousVersion(const RolloutRequest &Order) const;
  HttpHandler peerHandler();
  /// \returns the members to which callers are sent.
  std::vector<FleetMember> entries() const;
  bool isIsolated() const;
  /// \returns how many processes divide the fleet's limits with this one.
  std::size_t countSenders(TimePoint Now) const;
  void updateFleet(TimePoint Now);
  void scheduleTick(TimePoint Due);
  void finishStop(TimePoint Now);

  EdgeSettings Settings;
  KeyValueStore &Store;
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
  std::size_t SenderCount = 0;
  std::size_t RelayOffset = std::random_device{}();
  bool FleetOutdated = false;
  /// Whether the item that is being read says anything new.
  bool ItemHasNews = false;
  bool LeaseStarted = false;
  TimePoint StartedAt{};
  TimePoint StopStartedAt = TimePoint::max();
  std::function<void()> OnStopped;
};

} // namespace citronlever
