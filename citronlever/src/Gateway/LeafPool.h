#pragma once

#include "citronlever/src/Dispatch/ExtraSendBudget.h"
#include "citronlever/src/Dispatch/RouteLatency.h"
#include "citronlever/src/Dispatch/ServiceRollouts.h"
#include "citronlever/src/Gateway/LeafChannel.h"
#include "citronlever/src/Registry/LeafRegistry.h"
#include "citronlever/src/Rollout/VersionSide.h"
#include "citronlever/src/Routing/RouteTable.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// Settings of calls to leaves.
struct LeafPoolSettings {
  /// Failure domain of this process.
  std::string Domain;
  ExtraSendLimit ExtraSends;
  LeafChannelSettings Channel;
};

/// What operators say of leaves that get no calls.
struct LeafExclusions {
  std::set<std::string> ClosedDomains;
};

/// What a call asks of the choice among a service's leaves.
struct LeafCriteria {
  std::string_view Service;
  /// Leaves that are not chosen.
  std::span<const LeafChannelPtr> Avoid;
  /// Typical latency of the kind of request that is to be sent.
  Duration TypicalLatency{};
  /// Which version, while the service is moved to another one.
  VersionSide Side = VersionSide::Old;
};

/// The leaves that may be used now, by service, and the figures that decide
/// among them. Used on one thread.
class LeafPool {
public:
  LeafPool(boost::asio::io_context &Context, const HeaderNames &Names,
           LeafPoolSettings Settings);

  /// Takes what is known now. Leaves that are draining, gone, born anew or
  /// outside \p Bounds get no further call.
  void update(const LeafRegistry &Registry, const RouteTablePtr &Routes,
              const LeafExclusions &Bounds, std::size_t Senders, TimePoint Now);

  std::span<const LeafChannelPtr> replicas(std::string_view Service);

  /// \returns the best replica for a call, or null.
  LeafChannelPtr choose(const LeafCriteria &Criteria, TimePoint Now);

  /// \returns whether a call to \p Service would find a leaf now.
  bool isUsable(std::string_view Service, TimePoint Now);

  /// \returns a replica other than \p Chosen to which a copy should be sent to
  /// see whether it has recovered, or null.
  LeafChannelPtr chooseProbe(std::string_view Service,
                             const LeafChannelPtr &Chosen, TimePoint Now);

  /// \returns how many requests wait at a leaf of \p Services in the mean, in
  /// parts of its slots, by what leaves said of late; 0 if none did.
  double meanQueue(std::span<const std::string> Services, TimePoint Now);

  /// The moves of services to other versions, as ordered now.
  ServiceRollouts &rollouts() { return this->Rollouts; }
  const ServiceRollouts &rollouts() const { return this->Rollouts; }

  /// \returns which version of \p Service the first call of a request on
  /// \p Route goes to; counts it.
  VersionSide assignVersion(std::string_view Service, std::string_view Route);

  /// \returns which version further calls of a request go to.
  VersionSide extraSendVersion(std::string_view Service);

  ExtraSendBudget &extraSendBudget(std::string_view Service);
  RouteLatency &routeLatency(const RouteSpec &Route);

  /// Runs \p Use for each leaf that may be used.
  void forEach(const std::function<void(LeafChannel &)> &Use) const {
    for (const auto &[Id, Channel] : this->Channels)
      Use(*Channel);
  }

  const LeafChannelCounters &counters() const { return this->Totals; }
  std::size_t connections() const;
  /// \returns the share of the leaves in use that calls may be sent to.
  double reachableShare(TimePoint Now) const;
  /// \returns how often an extra send was wanted and not allowed.
  std::uint64_t extraSendsDenied() const;
  std::size_t leaves() const { return this->Channels.size(); }

private:
  static bool canCall(LeafChannel &Channel, TimePoint Now);
  double cost(LeafChannel &Channel, Duration TypicalLatency, TimePoint Now);
  LeafChannelPtr chooseAmong(const LeafCriteria &Criteria,
                             const ServiceRollout *Rollout, TimePoint Now);
  LeafChannelPtr channelFor(const LeafEntry &Entry);
  void addReplica(const LeafEntry &Entry, const RouteTablePtr &Routes,
                  std::size_t Senders, TimePoint Now);
  /// Forgets figures of routes and services that the configuration no longer
  /// names.
  void pruneStatistics(const RouteTable &Routes);
  void retireMissing(const std::set<std::string> &Kept);

  boost::asio::io_context &Context;
  const HeaderNames &Names;
  LeafPoolSettings Settings;
  LeafChannelCounters Totals;
  std::map<std::string, LeafChannelPtr> Channels;
  std::map<std::string, std::vector<LeafChannelPtr>, std::less<>> Services;
  std::map<std::string, ExtraSendBudget, std::less<>> ExtraSendBudgets;
  std::map<std::string, RouteLatency, std::less<>> RouteLatencies;
  ServiceRollouts Rollouts;
  std::size_t Senders = 0;
  /// Version of the configuration by which figures were last pruned.
  std::uint64_t PrunedVersion = 0;
  std::minstd_rand Random;
};

} // namespace citronlever
