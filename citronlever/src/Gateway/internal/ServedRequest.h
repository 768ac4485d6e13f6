#pragma once

#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/RoutedRequest.h"
#include "citronlever/src/Gateway/internal/EarliestTimer.h"
#include "citronlever/src/Gateway/internal/RequestDeadlines.h"

#include <algorithm>
#include <utility>

namespace citronlever {

/// An admitted request whose calls to leaves are under way, and how it ends:
/// with one answer, or without one if its caller has left. A base class.
class ServedRequest : public ActiveRequest {
public:
  ServedRequest(GatewayContext &Context, RoutedRequest Routed,
                AnswerCallback Answer)
      : Context(Context), Routed(std::move(Routed)),
        Deadlines(requestDeadlines(this->Routed, Context)), Timer(Context.Io),
        Answer(std::move(Answer)) {}

  void onCallerGone() override {
    ++this->Context.Counters.CallersGone;
    this->stop();
  }

protected:
  /// Ends all calls to leaves.
  virtual void abandonCalls() = 0;

  bool isEnded() const { return !this->Answer; }

  /// Sends the answer unless the request has ended.
  void finish(HttpResponse Response) {
    if (this->isEnded())
      return;
    const AnswerCallback Reply = std::exchange(this->Answer, nullptr);
    this->stop();
    Reply(std::move(Response));
  }

  /// \returns when the caller should come back. Load pattern: leaves that state
  /// a limit keep it for seconds, so callers are spread over the time that they
  /// have.
  Duration routeRetryDelay() {
    const RouteSpec &Route = *this->Routed.Route;
    if (this->isRateLimited())
      return overloadRetryDelay(Route.LatencyObjective,
                                this->Routed.CallerTimeout,
                                this->Context.random());
    return retryDelay(Route.LatencyObjective, this->Context.random());
  }

  GatewayContext &Context;
  RoutedRequest Routed;
  RequestDeadlines Deadlines;
  EarliestTimer Timer;

private:
  /// \returns whether leaves of the route state limits.
  bool isRateLimited() {
    const RouteSpec &Route = *this->Routed.Route;
    const auto IsLimited = [&](const std::string &Service) {
      return this->Context.Pool.isRateLimited(Service);
    };
    return std::ranges::any_of(Route.Shards, IsLimited) ||
           std::ranges::any_of(Route.Targets, IsLimited,
                               &WeightedService::Name);
  }

  void stop() {
    this->Answer = nullptr;
    this->Timer.cancel();
    this->abandonCalls();
  }

  AnswerCallback Answer;
};

/// Starts a request of type \p Request.
template <class Request>
std::shared_ptr<ActiveRequest> startServing(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer) {
  auto Result =
      std::make_shared<Request>(Context, std::move(Routed), std::move(Answer));
  Result->start();
  return Result;
}

} // namespace citronlever
