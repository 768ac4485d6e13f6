#include "citronlever/src/Entry/RequestFilters.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace citronlever {

namespace {

constexpr std::size_t MaxBodyBytes = 256 << 10;
constexpr std::size_t MaxKeyBytes = 256;
/// Subtracted from the caller's deadline to leave time to write the answer.
constexpr Duration AnswerMargin = Milliseconds(2);
constexpr std::int64_t MaxRows = 1000;
constexpr std::int64_t DefaultRows = 10;
constexpr std::string_view PathPrefix = "/v1/";

/// \returns the number of shards that a request is sent to.
std::size_t targetShardCount(const RequestContext &Context) {
  const std::vector<Snapshot> &All = Context.ServiceConfig->Snapshots;
  return Context.Spec.Idempotent && !All.empty() ? All.front().Shards.size()
                                                 : 1;
}

/// Service and route named by a request path.
struct PathParts {
  std::string_view Service;
  std::string_view Route;
};

/// Splits "/v1/<service>/<route>". \returns nothing for any other path.
std::optional<PathParts> splitPath(std::string_view Path) {
  if (!Path.starts_with(PathPrefix))
    return std::nullopt;
  Path.remove_prefix(PathPrefix.size());
  const std::size_t Slash = Path.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const PathParts Parts{Path.substr(0, Slash), Path.substr(Slash + 1)};
  if (Parts.Service.empty() || Parts.Route.empty() ||
      Parts.Route.find('/') != std::string_view::npos)
    return std::nullopt;
  return Parts;
}

/// Checks the JSON object in the request body.
/// \returns the most rows to return. \throws SettingsError on a malformed body.
std::uint32_t parseLimit(std::string_view Body) {
  const boost::json::value Value = parseJson(Body, "body");
  JsonFields Fields(Value, "body");
  return static_cast<std::uint32_t>(
      Fields.integer("limit", 1, MaxRows, DefaultRows));
}

} // namespace

std::optional<Answer> ParseFilter::apply(RequestContext &Context,
                                         TimePoint) const {
  const HttpRequest &Request = *Context.Request;
  const std::optional<PathParts> Parts = splitPath(Request.path());
  if (!Parts)
    return refusalAnswer(EntryError::UnknownService,
                         "the path is not /v1/<service>/<route>");
  const auto Found = Context.Config->Services.find(Parts->Service);
  if (Found == Context.Config->Services.end())
    return refusalAnswer(EntryError::UnknownService,
                         "unknown service " + std::string(Parts->Service));
  Context.ServiceConfig = Found->second;
  Context.RequestRoute = Context.ServiceConfig->findRoute(Parts->Route);
  if (!Context.RequestRoute)
    return refusalAnswer(EntryError::UnknownService,
                         "unknown route " + std::string(Parts->Route));
  if (Request.Method != "POST")
    return refusalAnswer(EntryError::MethodNotAllowed,
                         "the method must be POST");
  if (Request.Body.size() > MaxBodyBytes)
    return refusalAnswer(EntryError::TooLarge,
                         "the body is larger than 256 KiB");
  QuerySpec &Spec = Context.Spec;
  Spec.RequestKey = std::string(Request.Headers.get("X-Request-Key"));
  if (Spec.RequestKey.size() > MaxKeyBytes)
    return refusalAnswer(EntryError::Malformed,
                         "X-Request-Key is longer than 256 bytes");
  try {
    Spec.Limit = parseLimit(Request.Body);
  } catch (const SettingsError &Failure) {
    return refusalAnswer(EntryError::Malformed, Failure.what());
  }
  Spec.Service = Context.ServiceConfig->Name;
  Spec.Route = Context.RequestRoute->Name;
  Spec.Idempotent = Context.RequestRoute->Idempotent;
  Spec.Body = Request.Body;
  return std::nullopt;
}

std::optional<Answer> CustomerFilter::apply(RequestContext &Context,
                                            TimePoint) const {
  const std::string_view Customer = Context.Request->Headers.get("X-Customer");
  const auto Found = Context.Config->Contracts.find(Customer);
  if (Found == Context.Config->Contracts.end())
    return refusalAnswer(EntryError::UnknownCustomer,
                         Customer.empty() ? "X-Customer is missing"
                                          : "no contract for this customer");
  Context.Terms = Found->second;
  Context.Spec.Priority = Context.Terms.Priority;
  Context.Spec.Customer = Context.Terms.Customer;
  Context.Spec.HedgeBudget = Context.Terms.HedgeBudget;
  Context.Spec.LowestCoverage = Context.Terms.LowestCoverage;
  Context.Spec.Preference = Context.Terms.Preference;
  return std::nullopt;
}

std::optional<Answer> DeadlineFilter::apply(RequestContext &Context,
                                            TimePoint Now) const {
  Duration Allowed = Context.Terms.Deadline;
  const std::string_view Text = Context.Request->Headers.get("X-Deadline-Ms");
  if (!Text.empty()) {
    std::int64_t Wanted = 0;
    const auto [End, Status] =
        std::from_chars(Text.data(), Text.data() + Text.size(), Wanted);
    if (Status != std::errc() || End != Text.data() + Text.size() || Wanted < 1)
      return refusalAnswer(EntryError::Malformed,
                           "X-Deadline-Ms is not a positive integer");
    if (Wanted < toMs(Allowed))
      Allowed = Milliseconds(Wanted);
  }
  const Duration Margin = std::min<Duration>(AnswerMargin, Allowed / 10);
  Context.Spec.Deadline = Context.Received + Allowed - Margin;
  if (Now >= Context.Spec.Deadline)
    return refusalAnswer(EntryError::DeadlinePassed,
                         "the deadline passed before the request was admitted");
  return std::nullopt;
}

std::optional<Answer> AdmissionFilter::apply(RequestContext &Context,
                                             TimePoint Now) const {
  AdmissionResult Result =
      this->Controller->admit(Context.Terms, Context.ServiceConfig->Name, Now);
  Context.GrantPending = Result.GrantPending;
  Context.Unassigned = Result.Unassigned;
  switch (Result.Refusal) {
  case AdmissionRefusal::None:
    Context.Ticket = std::move(Result.Ticket);
    return std::nullopt;
  case AdmissionRefusal::Rate:
    return refusalAnswer(EntryError::RateExceeded,
                         "the rate limit of the contract is exceeded");
  case AdmissionRefusal::Concurrency:
    return refusalAnswer(EntryError::ConcurrencyExceeded,
                         "the concurrency limit of the contract is exceeded");
  case AdmissionRefusal::Overload:
    return refusalAnswer(
        EntryError::Overloaded,
        "the service is overloaded; requests of this priority are shed");
  }
  return refusalAnswer(EntryError::Overloaded, "refused");
}

std::optional<Answer> VersionFilter::apply(RequestContext &Context,
                                           TimePoint Now) const {
  const QuerySpec &Spec = Context.Spec;
  Context.RoutingKey =
      Spec.RequestKey.empty() ? Spec.Route + '\n' + Spec.Body : Spec.RequestKey;
  VersionChoice Choice = chooseVersion(
      *Context.Config, *Context.ServiceConfig, Context.RoutingKey,
      targetShardCount(Context), this->HealthLookup, *this->Budget, Now);
  Context.Version = std::move(Choice.Version);
  Context.Reservation = std::move(Choice.Reservation);
  return std::nullopt;
}

} // namespace citronlever
