#include "citronlever/src/Dispatch/ServiceRollout.h"

#include <algorithm>
#include <tuple>

namespace citronlever {

namespace {

/// Part of the limit's slack that is used for early requests; the rest is for
/// processes that start again and for the time until a finding is known.
constexpr double EarlyPart = 0.4;
/// Requests that a route may owe the new version at most, so that leaves that
/// come late do not get them all at once.
constexpr double MostOwed = 2;

auto progress(const RolloutDocument &Of) {
  return std::tuple(Of.finished(), Of.Phase, Of.Step, Of.Elapsed);
}

} // namespace

ServiceRollout::ServiceRollout(VersionOrder Order, double Phase)
    : Order(std::move(Order)), Phase(Phase) {}

void ServiceRollout::allowEarly(const ExposureLimit &Limit,
                                std::size_t Senders) {
  if (std::exchange(this->EarlyAllowed, true))
    return;
  this->Early = EarlyPart * Limit.Slack /
                static_cast<double>(std::max<std::size_t>(1, Senders));
}

VersionTraffic ServiceRollout::stage() const {
  if (this->State.Phase == RolloutPhase::Completed)
    return VersionTraffic::Moved;
  if (!this->state() || !this->BadReason.empty() ||
      this->State.Phase == RolloutPhase::TakenBack)
    return VersionTraffic::HeldOut;
  return VersionTraffic::OnTrial;
}

bool ServiceRollout::apply(const RolloutDocument &Next) {
  if (Next.Id != this->Order.id())
    return false;
  if (this->state() && progress(Next) <= progress(this->State))
    return false;
  this->State = Next;
  return true;
}

void ServiceRollout::markBad(std::string Reason) {
  if (this->BadReason.empty())
    this->BadReason = std::move(Reason);
}

bool ServiceRollout::extrasGoNew() const {
  return this->State.Phase == RolloutPhase::Completing ||
         this->State.Phase == RolloutPhase::Completed;
}

bool ServiceRollout::takeNew(std::string_view Route) {
  if (this->stage() != VersionTraffic::OnTrial)
    return this->stage() == VersionTraffic::Moved;
  if (this->extrasGoNew())
    return true;
  auto Found = this->Credits.find(Route);
  if (Found == this->Credits.end())
    Found = this->Credits.emplace(std::string(Route), RouteCredit{this->Phase})
                .first;
  RouteCredit &Credit = Found->second;
  Credit.Owed = std::min(MostOwed, Credit.Owed + this->State.Share);
  const bool Wanted = Credit.Owed >= 1 || this->Early >= 1;
  // Consecutive requests of a canary would load the version's leaves alone.
  const bool Paced = Credit.LastNew && this->State.Share < 0.5;
  Credit.LastNew = Wanted && !Paced;
  if (!Credit.LastNew)
    return false;
  (Credit.Owed >= 1 ? Credit.Owed : this->Early) -= 1;
  return true;
}

void ServiceRollout::ended(std::string_view Route, std::string_view Leaf,
                           bool Failed, bool Slow) {
  CanaryCounts &Row = this->Rows[{std::string(Route), std::string(Leaf)}];
  Row.Route = Route;
  Row.Leaf = Leaf;
  ++Row.Calls;
  if (Failed)
    ++Row.Failures;
  else if (Slow)
    ++Row.Slow;
}

CanaryReport ServiceRollout::report() const {
  CanaryReport Result{this->Order.id(), this->BadReason, {}};
  for (const auto &[Key, Row] : this->Rows)
    Result.Rows.push_back(Row);
  return Result;
}

} // namespace citronlever
