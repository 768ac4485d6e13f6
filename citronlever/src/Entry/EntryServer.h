#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Contracts/LoadShedder.h"
#include "citronlever/src/Contracts/Share.h"
#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/BrokerHealth.h"
#include "citronlever/src/Entry/QueryRun.h"
#include "citronlever/src/Entry/RequestMetrics.h"
#include "citronlever/src/Entry/VersionChoice.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// Settings of an entry.
struct EntrySettings {
  /// Address on which callers connect.
  Endpoint Callers;
  /// Name and incarnation of this member in the membership.
  std::string Name;
  std::uint64_t Incarnation = 0;
  Duration DiscoveryTtl = Seconds(5);
  /// Time allowed for a new connection to a broker before a stand-by is called.
  Duration ConnectTimeout = Milliseconds(30);
  QueryTimes Times;
  QueryPolicy Policy;
  BrokerHealthSettings Health;
  ShareSettings Shares;
  LoadShedderSettings Shedding;
};

/// Serves callers: discovery, admission, planning, scatter to the brokers,
/// merge and verdict. The constructor registers the handlers of BrokerReply,
/// CancelReply, DemandReport and ShareGrant with the hub.
class EntryServer {
public:
  /// \param Config returns the configuration in force.
  /// \param Members returns the member view of this process.
  EntryServer(boost::asio::io_context &Context, PeerHub &Hub,
              std::function<ConfigViewPtr()> Config,
              std::function<MemberViewPtr()> Members, EntrySettings Settings);
  ~EntryServer();
  EntryServer(const EntryServer &) = delete;
  EntryServer &operator=(const EntryServer &) = delete;

  /// Sets the lookup for the health of versions under rollout. Must be called
  /// before listen().
  void setVersionHealthLookup(VersionHealthLookup HealthLookup);

  /// Sets whether discovery may list this entry; false while its configuration
  /// is stale.
  void setDiscoverable(bool Value);

  /// Starts to serve. \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen();

  /// Starts a planned stop. \p Done runs once, when callers have left this
  /// entry and all requests are complete.
  void drain(std::function<void()> Done);

  /// Stops at once, without waiting for requests in flight.
  void stop();

  /// \returns the state of this entry, as a report for operators.
  boost::json::value dump(TimePoint Now) const;

  /// \returns counters and latencies of each route and version.
  std::vector<RouteStats> routeStats(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
