#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/CanaryReport.h"
#include "citronlever/src/Rollout/RolloutDocument.h"
#include "citronlever/src/Rollout/RolloutRequest.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace citronlever {

/// Limit on the requests of a service that an unproven version may get, over
/// the whole fleet.
struct ExposureLimit {
  /// Share of the service's requests.
  double Share = 0.1;
  /// Number of requests in addition to the share, over the whole rollout.
  double Slack = 50;
};

/// Which versions of a service get calls during a rollout.
enum class VersionTraffic : std::uint8_t {
  /// Only the old versions, as long as they have a leaf.
  OldOnly,
  /// Old and new versions.
  Split,
  /// Only the new version, as long as it has a leaf.
  NewOnly
};

/// One process's part in the rollout of a new version of one service: which
/// requests go to the new version, and call counters of both versions. Load
/// pattern: a version that fails or delays a part of its requests, at once or
/// later, only under load or only on one route.
///
/// The share is kept separately on each route, so that each route shows the
/// fault. A few early requests go to the new version at once, within the slack
/// of the limit, so that a version that is bad from the start is detected after
/// few requests even with little traffic.
class ServiceRollout {
public:
  /// \param InitialCredit initial credit of each route, in [0, 1). It differs
  /// between processes, so that they do not all send their first request to the
  /// new version at the same time.
  ServiceRollout(RolloutRequest Order, double InitialCredit);

  const RolloutRequest &order() const { return this->Order; }
  /// \returns which versions get calls now.
  VersionTraffic traffic() const;

  /// Grants this process its share of the limit's slack, which \p Senders
  /// processes divide. Only the first call has an effect.
  void grantEarlyRequests(const ExposureLimit &Limit, std::size_t Senders);

  /// Applies a state of this rollout if it is newer than the known one.
  /// \returns whether it was applied.
  bool applyState(const RolloutDocument &State);

  /// Takes another revision of the same order.
  void renumber(const RolloutRequest &Again);

  /// \returns whether the known state is newer than \p Stored or \p Stored is
  /// of another rollout.
  bool isAheadOf(const RolloutDocument &Stored) const;

  /// \returns the state of the rollout, or null while none is known.
  const RolloutDocument *state() const {
    return this->State.Id.empty() ? nullptr : &this->State;
  }

  /// Marks the version bad for good, whatever the stored state says.
  void markBad(std::string Reason);
  /// \returns why the version is bad, or an empty string.
  const std::string &badReason() const { return this->BadReason; }

  bool isNewVersion(std::string_view Version) const {
    return Version == this->Order.Version;
  }

  /// Decides where the first send of a request on \p Route goes, and counts it.
  /// \returns whether it goes to the new version.
  bool assignToNew(std::string_view Route);

  /// \returns whether extra sends go to the new version.
  bool extraSendsUseNew() const;

  /// Counts a call that ended.
  /// \param Leaf leaf of the new version; empty for the old versions.
  void onCallEnded(std::string_view Route, std::string_view Leaf, bool Failed,
                   bool Slow);

  /// \returns the counters since the rollout was ordered.
  CanaryReport report() const;

private:
  /// Requests of one route that the new version is due.
  struct RouteCredit {
    double Balance = 0;
    bool LastWasNew = false;
  };

  RolloutRequest Order;
  RolloutDocument State;
  std::string BadReason;
  double InitialCredit;
  /// Requests that may go to the new version before its share allows them.
  double EarlyRequests = 0;
  bool EarlyGranted = false;
  std::map<std::string, RouteCredit, std::less<>> Credits;
  std::map<std::pair<std::string, std::string>, CanaryCounts> Counts;
};

} // namespace citronlever
