#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <algorithm>
#include <tuple>

namespace citronlever {

namespace {

/// Share of the limit's slack that is used for early requests. The rest covers
/// processes that restart, and the time until a bad version is known
/// everywhere.
constexpr double EarlyShare = 0.4;
/// Maximum credit of a route, so that a leaf that starts late does not get all
/// requests due at once.
constexpr double MaxCredit = 2;

/// \returns a key that grows as a rollout proceeds.
auto progress(const RolloutDocument &State) {
  return std::tuple(State.isFinished(), State.Phase, State.Step, State.Elapsed);
}

} // namespace

ServiceRollout::ServiceRollout(RolloutRequest Order, double InitialCredit)
    : Order(std::move(Order)), InitialCredit(InitialCredit) {}

void ServiceRollout::grantEarlyRequests(const ExposureLimit &Limit,
                                        std::size_t Senders) {
  if (std::exchange(this->EarlyGranted, true))
    return;
  this->EarlyRequests = EarlyShare * Limit.Slack /
                        static_cast<double>(std::max<std::size_t>(1, Senders));
}

VersionTraffic ServiceRollout::traffic() const {
  if (this->State.Phase == RolloutPhase::Completed)
    return VersionTraffic::NewOnly;
  if (!this->state() || !this->BadReason.empty() ||
      this->State.Phase == RolloutPhase::RolledBack)
    return VersionTraffic::OldOnly;
  return VersionTraffic::Split;
}

bool ServiceRollout::applyState(const RolloutDocument &Next) {
  if (Next.Id != this->Order.id())
    return false;
  if (this->state() && progress(Next) <= progress(this->State))
    return false;
  this->State = Next;
  return true;
}

void ServiceRollout::renumber(const RolloutRequest &Again) {
  this->Order = Again;
  if (this->state())
    this->State.Id = Again.id();
}

bool ServiceRollout::isAheadOf(const RolloutDocument &Stored) const {
  return this->state() && (Stored.Id != this->State.Id ||
                           progress(Stored) < progress(this->State));
}

void ServiceRollout::markBad(std::string Reason) {
  if (this->BadReason.empty())
    this->BadReason = std::move(Reason);
}

bool ServiceRollout::extraSendsUseNew() const {
  return this->State.Phase == RolloutPhase::Completing ||
         this->State.Phase == RolloutPhase::Completed;
}

bool ServiceRollout::assignToNew(std::string_view Route) {
  if (this->traffic() != VersionTraffic::Split)
    return this->traffic() == VersionTraffic::NewOnly;
  if (this->extraSendsUseNew())
    return true;
  auto Found = this->Credits.find(Route);
  if (Found == this->Credits.end())
    Found = this->Credits
                .emplace(std::string(Route), RouteCredit{this->InitialCredit})
                .first;
  RouteCredit &Credit = Found->second;
  Credit.Balance = std::min(MaxCredit, Credit.Balance + this->State.Share);
  const bool Wanted = Credit.Balance >= 1 || this->EarlyRequests >= 1;
  // Consecutive requests to a canary would put their load on the new version's
  // leaves alone.
  const bool SkippedForPacing = Credit.LastWasNew && this->State.Share < 0.5;
  Credit.LastWasNew = Wanted && !SkippedForPacing;
  if (!Credit.LastWasNew)
    return false;
  (Credit.Balance >= 1 ? Credit.Balance : this->EarlyRequests) -= 1;
  return true;
}

void ServiceRollout::onCallEnded(std::string_view Route, std::string_view Leaf,
                                 bool Failed, bool Slow) {
  CanaryCounts &RouteCounts =
      this->Counts[{std::string(Route), std::string(Leaf)}];
  RouteCounts.Route = Route;
  RouteCounts.Leaf = Leaf;
  ++RouteCounts.Calls;
  if (Failed)
    ++RouteCounts.Failures;
  else if (Slow)
    ++RouteCounts.Slow;
}

CanaryReport ServiceRollout::report() const {
  CanaryReport Result{this->Order.id(), this->BadReason, {}};
  for (const auto &[Key, RouteCounts] : this->Counts)
    Result.Counts.push_back(RouteCounts);
  return Result;
}

} // namespace citronlever
