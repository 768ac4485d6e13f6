#pragma once

#include "citronlever/src/Broker/BrokerSettings.h"
#include "citronlever/src/Broker/LeafCallReport.h"
#include "citronlever/src/Broker/ReturnShares.h"
#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Rollout/DrainCapacity.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronlever {

/// Serves entries' calls for the shard groups that this process owns: schedules
/// the leaf requests, merges the rows and replies. The constructor registers
/// the message handlers with the hub. Thread-safe.
class BrokerServer {
public:
  /// \param Config returns the configuration in force; asked for each call.
  /// \param Members returns the member view in force; asked for each call.
  BrokerServer(boost::asio::io_context &Context, PeerHub &Hub,
               std::function<ConfigViewPtr()> Config,
               std::function<MemberViewPtr()> Members, std::string SelfName,
               BrokerSettings Settings);
  ~BrokerServer();
  BrokerServer(const BrokerServer &) = delete;
  BrokerServer &operator=(const BrokerServer &) = delete;

  /// Sets the upstream VMs that the platform reports as leaving. Their leaves
  /// get no new requests.
  void setLeavingVms(std::set<std::string, std::less<>> Vms);

  /// Starts a planned stop. New calls are refused as not run, with the name of
  /// the next owner; calls in progress complete, then \p Done runs once.
  void drain(std::function<void()> Done);

  /// Handles a pause of this process that lasted \p Gap. Before anything else
  /// is sent, queued calls end as not run and the state learned about the
  /// leaves is discarded.
  void onPause(Duration Gap);

  /// Sets the receiver of finished leaf calls. Must be called before the first
  /// call arrives.
  void setLeafCallHook(LeafCallHook Hook);

  /// Sets the load shares of failure domains and VMs that return to service.
  void setReturnShares(ReturnShares Shares);

  /// \returns the leaf loads of all shards whose groups this process owns.
  /// Shards that it serves as a stand-by are listed without measured load.
  std::vector<ShardLoad> shardLoads(TimePoint Now) const;

  /// \returns the state of the leaf or service \p Name in this process, as a
  /// report for operators. \param Kind "leaf", or anything else for a service.
  boost::json::value explain(std::string_view Kind, std::string_view Name,
                             TimePoint Now) const;

  /// \returns the state of the whole server, as a report for operators.
  boost::json::value dump(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
