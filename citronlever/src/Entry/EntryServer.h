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

/// What an entry is told at its start.
struct EntrySettings {
  /// Where callers connect.
  Endpoint Callers;
  /// This member's name and incarnation, as the membership has them.
  std::string Name;
  std::uint64_t Incarnation = 0;
  Duration DiscoveryTtl = Seconds(5);
  /// Longest wait for a new connection to a broker before a stand-by is asked.
  Duration ConnectTimeout = Milliseconds(30);
  QueryTimes Times;
  QueryPolicy Policy;
  BrokerHealthSettings Health;
  ShareSettings Shares;
  LoadShedderSettings Shedding;
};

/// Serves callers: discovery, admission, planning, scatter to the brokers,
/// merge and verdict. Registers the handlers of BrokerReply, CancelReply,
/// DemandReport and ShareGrant with the hub.
class EntryServer {
public:
  /// \param Config gives the configuration in force; \param Members the
  /// members as this process sees them.
  EntryServer(boost::asio::io_context &Context, PeerHub &Hub,
              std::function<ConfigViewPtr()> Config,
              std::function<MemberViewPtr()> Members, EntrySettings Settings);
  ~EntryServer();
  EntryServer(const EntryServer &) = delete;
  EntryServer &operator=(const EntryServer &) = delete;

  /// Sets who knows how versions under rollout stand; call before listen().
  void setVersionHealthLookup(VersionHealthLookup HealthLookup);

  /// Sets whether this entry may be handed out by discovery, for a member
  /// whose configuration has gone stale.
  void setDiscoverable(bool Value);

  /// Begins to serve. \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen();

  /// Begins the planned stop; \p Done runs once when no caller needs this
  /// entry any more.
  void drain(std::function<void()> Done);

  /// Ends all at once.
  void stop();

  /// \returns the state of this entry, for people.
  boost::json::value dump(TimePoint Now) const;

  /// \returns what callers have seen of each route and version.
  std::vector<RouteStats> routeStats(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
