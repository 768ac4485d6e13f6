#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Contracts/Admission.h"
#include "citronlever/src/Core/HttpMessage.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Entry/Answer.h"
#include "citronlever/src/Entry/QueryRun.h"
#include "citronlever/src/Entry/VersionChoice.h"

#include <concepts>
#include <memory>
#include <optional>
#include <tuple>

namespace citronlever {

/// A request in the filter chain; each filter adds its results.
struct RequestContext {
  std::shared_ptr<const HttpRequest> Request;
  TimePoint Received;
  ConfigViewPtr Config;
  std::shared_ptr<const Service> ServiceConfig;
  const Route *RequestRoute = nullptr;
  Contract Terms;
  QuerySpec Spec;
  /// Counts the request against the customer's concurrency while it exists.
  AdmissionTicket Ticket;
  /// Whether a refusal may be temporary because a grant of a share is pending.
  bool GrantPending = false;
  /// Whether this entry is not assigned to the customer, whose callers should
  /// use other entries.
  bool Unassigned = false;
  std::string Version;
  /// Settled when the request is finished.
  VersionReservation Reservation;
  /// Key that selects the version and, for a non-idempotent request, the shard.
  std::string RoutingKey;
};

/// A step of the filter chain: returns a refusal, or nothing to continue.
template <class T>
concept RequestFilter = requires(T &Filter, RequestContext &Context) {
  { Filter.apply(Context, TimePoint()) } -> std::same_as<std::optional<Answer>>;
};

/// Applies filters in a fixed order until one refuses the request. The chain is
/// composed at compile time.
template <RequestFilter... Filters> class FilterChain {
public:
  explicit FilterChain(Filters... Steps) : Steps(std::move(Steps)...) {}

  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) {
    std::optional<Answer> Refusal;
    std::apply(
        [&](auto &...Step) {
          // The fold stops at the first filter that refuses.
          (void)((Refusal = Step.apply(Context, Now), Refusal.has_value()) ||
                 ...);
        },
        this->Steps);
    return Refusal;
  }

private:
  std::tuple<Filters...> Steps;
};

/// Checks method, path and body; sets service, route and query.
struct ParseFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Sets the customer's contract.
struct CustomerFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Sets the deadline: the caller's, but at most the contract's.
struct DeadlineFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Refuses requests above the limits of the contract or because of load.
struct AdmissionFilter {
  Admission *Controller = nullptr;
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Selects the version. Must be the last filter: only the session of the
/// request settles the reservation, so a later refusal would leak it.
struct VersionFilter {
  VersionHealthLookup HealthLookup;
  VersionBudget *Budget = nullptr;
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

} // namespace citronlever
