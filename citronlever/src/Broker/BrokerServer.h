#pragma once

#include "citronlever/src/Broker/BrokerSettings.h"
#include "citronlever/src/Broker/LeafCallReport.h"
#include "citronlever/src/Broker/ReturnShares.h"
#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Rollout/ServiceLoad.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/fwd.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronlever {

/// Serves entries' calls for the groups that this process owns: schedules the
/// leaves, merges their rows and answers. Registers its handlers at the hub
/// when constructed. Safe to call from any thread.
class BrokerServer {
public:
  /// \param Config, Members give the views in force at each call.
  BrokerServer(boost::asio::io_context &Context, PeerHub &Hub,
               std::function<ConfigPtr()> Config,
               std::function<MemberViewPtr()> Members, std::string SelfName,
               BrokerSettings Settings);
  ~BrokerServer();
  BrokerServer(const BrokerServer &) = delete;
  BrokerServer &operator=(const BrokerServer &) = delete;

  /// VMs of upstreams that the platform says are leaving; their leaves get no
  /// new work.
  void setLeavingVms(std::set<std::string, std::less<>> Vms);

  /// Planned stop: new work is refused as not run with the next owner's name,
  /// work in hand is finished, then \p Done runs once.
  void drain(std::function<void()> Done);

  /// This process was paused for \p Length: queued work ends as not run and
  /// what was learnt of the leaves is forgotten, before anything is sent.
  void onPause(Duration Gap);

  /// Sets who is told of finished leaf calls; call before any call comes.
  void setLeafCallHook(LeafCallHook Hook);

  /// Failure domains and VMs that return, with the shares they get.
  void setReturnShares(ReturnShares Shares);

  /// \returns the shards whose groups this process owns, with their leaves'
  /// loads, and without load those it serves as a stand-by.
  std::vector<ShardLoad> shardLoads(TimePoint Now) const;

  /// \returns the state of the leaf or service \p Name here, for people.
  boost::json::value explain(std::string_view Kind, std::string_view Name,
                             TimePoint Now) const;

  /// \returns the server's state, for operators.
  boost::json::value dump(TimePoint Now) const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
