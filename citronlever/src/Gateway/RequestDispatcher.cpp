#include "citronlever/src/Gateway/RequestDispatcher.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Dispatch/StopAdmission.h"
#include "citronlever/src/Gateway/AdmissionQueue.h"
#include "citronlever/src/Gateway/ErrorResponse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace citronlever {

namespace {

using Rejection = std::optional<HttpResponse>;
using Filter = Rejection (*)(GatewayContext &, FilterState &);

/// Without a configuration, this process cannot tell whether a route exists.
Rejection requireRoutes(GatewayContext &Context, FilterState &State) {
  constexpr Duration UnconfiguredSpread = Milliseconds(300);
  if (State.Routes)
    return std::nullopt;
  return unservedResponse(Verdict::NotRun, false,
                          retryDelay(UnconfiguredSpread, Context.random()),
                          "no configuration loaded yet");
}

Rejection requirePathTarget(GatewayContext & /*Context*/, FilterState &State) {
  if (State.Request->Http.Target.starts_with('/'))
    return std::nullopt;
  return rejectionResponse(400, "request target is not a path");
}

Rejection readDeadline(GatewayContext &Context, FilterState &State) {
  constexpr long long MaxMs = 3'600'000;
  constexpr Duration DefaultTimeout = Seconds(60);
  const std::string_view Text =
      State.Request->Http.Headers.get(Context.Names.Deadline);
  State.CallerTimeout = DefaultTimeout;
  if (Text.empty())
    return std::nullopt;
  long long Value = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size() || Value < 0)
    return rejectionResponse(400,
                             "deadline header is not a number of milliseconds");
  State.CallerTimeout = Milliseconds(std::min(Value, MaxMs));
  return std::nullopt;
}

Rejection findRoute(GatewayContext & /*Context*/, FilterState &State) {
  const HttpRequest &Http = State.Request->Http;
  State.Route = State.Routes->match(Http.Headers.get("Host"), Http.path());
  if (State.Route)
    return std::nullopt;
  return rejectionResponse(404, "no route matches this host and path");
}

/// Refuses a request that may not be answered before this process ends.
Rejection requireTimeBeforeStop(GatewayContext &Context, FilterState &State) {
  if (Context.ServeUntil == TimePoint::max())
    return std::nullopt;
  const RouteSpec &Route = *State.Route;
  const Duration Needed = timeNeededToServe(
      {Route.Kind == RequestKind::Idempotent,
       std::min(State.CallerTimeout, Route.Timeout), Route.LatencyObjective,
       Context.ServiceTimes[Route.Name].value()});
  if (State.Request->Received + Needed <= Context.ServeUntil)
    return std::nullopt;
  return unservedResponse(Verdict::NotRun, false,
                          minRetryDelay(Route.LatencyObjective),
                          "this process is stopping");
}

/// \returns what is known of the caller's time.
CallerTiming callerTiming(GatewayContext &Context, const FilterState &State) {
  CallerTiming Result;
  Result.RoundTrip = State.Request->RoundTrip;
  Result.SinceFirstTry =
      Context.CallerBudgets[State.Route->Name].recordTimeLeft(
          State.CallerTimeout, State.Request->Received);
  if (State.Request->FirstOnConnection)
    Result.SinceFirstTry = std::max(Result.SinceFirstTry, Result.RoundTrip);
  return Result;
}

constexpr std::array<Filter, 5> Filters = {requireRoutes, requirePathTarget,
                                           readDeadline, findRoute,
                                           requireTimeBeforeStop};

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

void countOutcome(GatewayCounters &Counters, const HttpResponse &Response) {
  if (isSuccess(Response.Status))
    ++Counters.Answered;
  else if (Response.Status == 503 || Response.Status == 429)
    ++Counters.NotRun;
  else
    ++Counters.Failed;
}

/// Counts the outcome and logs server errors with the request id that callers
/// and leaves know.
void reportOutcome(GatewayContext &Context, const FilterState &State,
                   const HttpResponse &Response) {
  countOutcome(Context.Counters, Response);
  if (Response.Status >= 500)
    logEvent(event::RequestUnserved,
             State.Request->Http.Headers.get(Context.Names.RequestId), "route",
             State.Route ? State.Route->Name : "-", "version",
             State.Routes ? State.Routes->version() : 0, "status",
             Response.Status, "after_ms",
             toMs(Clock::now() - State.Request->Received), Response.Body);
}

void recordServiceTime(GatewayContext &Context, const FilterState &State,
                       const HttpResponse &Response) {
  const TimePoint Now = Clock::now();
  if (isSuccess(Response.Status))
    Context.ServiceTimes[State.Route->Name].add(Now - State.Request->Received,
                                                Now);
}

} // namespace

std::shared_ptr<ActiveRequest>
RequestDispatcher::serve(CallerRequestPtr Request, AnswerCallback Answer) {
  ++this->Context.Counters.Requests;
  FilterState State{std::move(Request), this->Routes.get()};
  for (const Filter &Apply : Filters) {
    Rejection Rejected = Apply(this->Context, State);
    if (!Rejected)
      continue;
    ++this->Context.Counters.Refused;
    reportOutcome(this->Context, State, *Rejected);
    Answer(std::move(*Rejected));
    return nullptr;
  }
  RoutedRequest Routed{State.Request, State.Routes, State.Route,
                       State.CallerTimeout, callerTiming(this->Context, State)};
  AnswerCallback ReportingAnswer =
      [&Context = this->Context, State,
       Answer = std::move(Answer)](HttpResponse Response) {
        reportOutcome(Context, State, Response);
        recordServiceTime(Context, State, Response);
        Answer(std::move(Response));
      };
  auto *Start = State.Route->isScatter() ? startScatter : startForward;
  return startWhenAdmitted(
      this->Context, std::move(Routed), std::move(ReportingAnswer),
      [Start, &Context = this->Context](RoutedRequest Admitted,
                                        AnswerCallback Reply) {
        return Start(Context, std::move(Admitted), std::move(Reply));
      });
}

} // namespace citronlever
