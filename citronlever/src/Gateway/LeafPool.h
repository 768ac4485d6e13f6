#pragma once

#include "citronlever/src/Dispatch/ExtraSendBudget.h"
#include "citronlever/src/Dispatch/RouteLatency.h"
#include "citronlever/src/Dispatch/ServiceRollouts.h"
#include "citronlever/src/Gateway/LeafChannel.h"
#include "citronlever/src/Gateway/LimitNotice.h"
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

/// Leaves excluded by operators.
struct LeafExclusions {
  std::set<std::string> ClosedDomains;
};

/// The processes that send to the leaves and share the fleet's limits.
struct SenderGroup {
  std::size_t Count = 1;
  /// Since when this process has been one of them.
  TimePoint MemberSince{};
  /// Hash of this process's name.
  std::uint64_t Self = 0;
  /// Hashes of the names of the processes that callers are sent to; empty if
  /// they are not known.
  std::vector<std::uint64_t> Listed{};

  bool operator==(const SenderGroup &) const = default;
};

/// Criteria for choosing a leaf of a service.
struct LeafCriteria {
  std::string_view Service;
  /// Leaves that must not be chosen.
  std::span<const LeafChannelPtr> Avoid;
  /// Typical latency of the kind of request to send.
  Duration TypicalLatency{};
  /// Preferred version while the service is in a rollout.
  VersionSide Side = VersionSide::Old;
};

/// The leaves that may be called, by service, with the statistics that decide
/// between them. Not thread-safe.
class LeafPool {
public:
  LeafPool(boost::asio::io_context &Context, const HeaderNames &Names,
           LeafPoolSettings Settings);

  /// Updates the leaves from the registry, the routes and the exclusions.
  /// Leaves that are draining, removed, restarted or excluded get no further
  /// calls.
  /// \param SharedBy the processes that share the limits.
  void update(const LeafRegistry &Registry, const RouteTablePtr &Routes,
              const LeafExclusions &Bounds, const SenderGroup &SharedBy,
              TimePoint Now);

  /// \returns the leaves of \p Service.
  std::span<const LeafChannelPtr> replicas(std::string_view Service);

  /// \returns the leaf with the lowest expected cost, or null if none can be
  /// called.
  LeafChannelPtr choose(const LeafCriteria &Criteria, TimePoint Now);

  /// \returns whether a leaf of \p Service can be called now.
  bool isUsable(std::string_view Service, TimePoint Now);

  /// \returns whether a leaf of \p Service states a limit on its requests.
  bool isRateLimited(std::string_view Service);

  /// \returns what the other processes should be told of the leaves' limits.
  std::vector<LimitNotice> takeLimitNotices(TimePoint Now);

  /// Takes what another process was told by a leaf. Unknown leaves and
  /// impossible rates are ignored.
  void onLimitNotice(const LimitNotice &Notice, TimePoint Now);

  /// Counts a request for which choose() found no leaf of \p Service.
  /// \returns the reason, for error bodies and the log.
  std::string countUnavailable(std::string_view Service, TimePoint Now);

  /// \returns a leaf other than \p Chosen to send a copy of a request to, to
  /// detect its recovery, or null.
  LeafChannelPtr chooseProbe(std::string_view Service,
                             const LeafChannelPtr &Chosen, TimePoint Now);

  /// \returns the mean number of requests waiting at a leaf of \p Services,
  /// divided by its slots, from recent load reports; 0 without reports.
  double meanQueue(std::span<const std::string> Services, TimePoint Now);

  /// The ordered rollouts of services.
  ServiceRollouts &rollouts() { return this->Rollouts; }
  const ServiceRollouts &rollouts() const { return this->Rollouts; }

  /// Decides which version of \p Service gets the first send of a request on
  /// \p Route, and counts it.
  VersionSide assignVersion(std::string_view Service, std::string_view Route);

  /// \returns which version of \p Service gets extra sends.
  VersionSide extraSendVersion(std::string_view Service);

  /// \returns the budget of extra sends to \p Service.
  ExtraSendBudget &extraSendBudget(std::string_view Service);
  /// \returns the latency statistics of \p Route.
  RouteLatency &routeLatency(const RouteSpec &Route);

  /// Calls \p Use for each leaf.
  void forEach(const std::function<void(LeafChannel &)> &Use) const {
    for (const auto &[Id, Channel] : this->Channels)
      Use(*Channel);
  }

  const LeafChannelCounters &counters() const { return this->Totals; }
  /// \returns the number of open connections to all leaves.
  std::size_t connections() const;
  /// \returns the share of leaves that are available and not suspect.
  double reachableShare(TimePoint Now) const;
  /// \returns how many extra sends were denied by the budgets.
  std::uint64_t extraSendsDenied() const;
  /// \returns the number of leaves that state a limit on their requests.
  std::size_t limitedLeaves() const;
  /// \returns how many requests found all leaves of a service at their limits.
  std::uint64_t limitDenied() const { return this->LimitDenied; }
  std::size_t leaves() const { return this->Channels.size(); }

private:
  /// \returns whether a call may be sent to the leaf now.
  static bool canCall(LeafChannel &Channel, TimePoint Now);
  double cost(LeafChannel &Channel, Duration TypicalLatency, TimePoint Now);
  LeafChannelPtr chooseAmong(const LeafCriteria &Criteria,
                             const ServiceRollout *Rollout, TimePoint Now);
  /// A leaf that gets no further calls, and why.
  struct EndedLeaf {
    LeafChannelPtr Channel;
    std::string_view Reason;
  };

  /// \param Ended receives the earlier incarnation if there is one.
  LeafChannelPtr channelFor(const LeafEntry &Entry,
                            std::vector<EndedLeaf> &Ended);
  /// \returns this process's place among the senders to a leaf.
  SenderPlace placeAt(std::string_view LeafId) const;
  void addReplica(const LeafChannelPtr &Channel, const RouteTablePtr &Routes,
                  TimePoint Now);
  /// Drops the statistics of routes and services that the configuration no
  /// longer contains.
  void pruneStatistics(const RouteTable &Routes, TimePoint Now);
  /// Removes the leaves that are not in \p Kept.
  void removeMissing(const std::set<std::string> &Kept,
                     std::vector<EndedLeaf> &Ended);

  boost::asio::io_context &Context;
  const HeaderNames &Names;
  LeafPoolSettings Settings;
  LeafChannelCounters Totals;
  std::map<std::string, LeafChannelPtr> Channels;
  std::map<std::string, std::vector<LeafChannelPtr>, std::less<>> Services;
  std::map<std::string, ExtraSendBudget, std::less<>> ExtraSendBudgets;
  std::map<std::string, RouteLatency, std::less<>> RouteLatencies;
  ServiceRollouts Rollouts;
  SenderGroup Senders;
  std::uint64_t LimitDenied = 0;
  /// Route table version of the last prune.
  std::uint64_t PrunedVersion = 0;
  std::minstd_rand Random;
};

} // namespace citronlever
