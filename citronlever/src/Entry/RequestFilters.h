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

/// A request on its way through the filters; each filter adds what it found.
struct RequestContext {
  std::shared_ptr<const HttpRequest> Request;
  TimePoint Received;
  ConfigViewPtr Config;
  std::shared_ptr<const Service> ServiceConfig;
  const Route *RequestRoute = nullptr;
  Contract Terms;
  QuerySpec Spec;
  /// Held while the request is in work; gives the place back when dropped.
  AdmissionTicket Ticket;
  /// A refusal for want of a share may be taken back when its grant comes.
  bool GrantPending = false;
  /// The customer should use other entries than this one.
  bool Unassigned = false;
  std::string Version;
  /// Settled when the request is over.
  VersionReservation Reservation;
  /// What identifies the query, for its version.
  std::string RoutingKey;
};

/// One step of the chain: returns a refusal, or nothing to go on.
template <class T>
concept RequestFilter = requires(T &Filter, RequestContext &Context) {
  { Filter.apply(Context, TimePoint()) } -> std::same_as<std::optional<Answer>>;
};

/// Filters in a fixed order, composed at compile time; the first refusal ends
/// the request.
template <RequestFilter... Filters> class FilterChain {
public:
  explicit FilterChain(Filters... Steps) : Steps(std::move(Steps)...) {}

  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) {
    std::optional<Answer> Refusal;
    std::apply(
        [&](auto &...Step) {
          // Stops at the first filter that refuses.
          (void)((Refusal = Step.apply(Context, Now), Refusal.has_value()) ||
                 ...);
        },
        this->Steps);
    return Refusal;
  }

private:
  std::tuple<Filters...> Steps;
};

/// Checks method, path and body; finds service and route.
struct ParseFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Finds the customer's contract.
struct CustomerFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Cuts the caller's deadline to the contract's.
struct DeadlineFilter {
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Refuses what the contract or the load does not admit.
struct AdmissionFilter {
  Admission *Controller = nullptr;
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

/// Chooses the version. Comes last, since what it takes from the budget is
/// given back by the request's session alone.
struct VersionFilter {
  VersionHealthLookup HealthLookup;
  VersionBudget *Budget = nullptr;
  std::optional<Answer> apply(RequestContext &Context, TimePoint Now) const;
};

} // namespace citronlever
