#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/CanaryReport.h"
#include "citronlever/src/Rollout/RolloutDocument.h"
#include "citronlever/src/Rollout/VersionOrder.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace citronlever {

/// What a version that has not shown itself good may get of a service's
/// requests in the fleet.
struct ExposureLimit {
  /// Part of the service's requests.
  double Share = 0.1;
  /// Requests beside that part, in the whole move.
  double Slack = 50;
};

/// What a service's old and new versions get.
enum class VersionTraffic : std::uint8_t {
  /// The new version gets nothing while another one serves.
  OldOnly,
  /// Both get calls.
  Split,
  /// Old versions get nothing while the new one serves.
  NewOnly
};

/// One process's part in the move of one service to another version: which
/// requests go to the new one, and what is seen of both. Load pattern: a
/// version that fails or slows a part of its requests, at once or later, under
/// load or on one route only.
///
/// The share is kept by route, so that each route shows what the version makes
/// of it. A few requests go to it at once, within the limit's slack, so that a
/// version that is bad at once shows after few requests also where traffic is
/// thin.
class ServiceRollout {
public:
  /// \param Phase in [0, 1), so that processes do not all begin together.
  ServiceRollout(VersionOrder Order, double InitialCredit);

  const VersionOrder &order() const { return this->Order; }
  VersionTraffic traffic() const;

  /// \p Senders processes share the limit's slack; only the first call counts.
  void grantEarlyRequests(const ExposureLimit &Limit, std::size_t Senders);

  /// Takes the state of the move if it is of this order and newer than what is
  /// known. \returns whether it was taken.
  bool applyState(const RolloutDocument &State);

  /// \returns the state of the move, or null while none is known.
  const RolloutDocument *state() const {
    return this->State.Id.empty() ? nullptr : &this->State;
  }

  /// The version is bad, whatever the state says; never taken back.
  void markBad(std::string Reason);
  const std::string &badReason() const { return this->BadReason; }

  bool isNewVersion(std::string_view Version) const {
    return Version == this->Order.Version;
  }

  /// \returns whether the first call of a request on \p Route should go to the
  /// new version.
  bool assignToNew(std::string_view Route);

  /// \returns whether further calls of a request should.
  bool extraSendsUseNew() const;

  /// Counts the end of a call. \p Leaf is empty for the old versions.
  void onCallEnded(std::string_view Route, std::string_view Leaf, bool Failed,
                   bool Slow);

  /// \returns what was seen since the order.
  CanaryReport report() const;

private:
  struct RouteCredit {
    double Balance = 0;
    bool LastWasNew = false;
  };

  VersionOrder Order;
  RolloutDocument State;
  std::string BadReason;
  double InitialCredit;
  /// Requests that may go to the new version before the share allows them.
  double EarlyRequests = 0;
  bool EarlyGranted = false;
  std::map<std::string, RouteCredit, std::less<>> Credits;
  std::map<std::pair<std::string, std::string>, CanaryCounts> Counts;
};

} // namespace citronlever
