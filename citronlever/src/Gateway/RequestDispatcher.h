#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <memory>

namespace citronlever {

/// Results of the filters that a request has passed.
struct FilterState {
  CallerRequestPtr Request;
  RouteTablePtr Routes;
  const RouteSpec *Route = nullptr;
  Duration CallerTimeout{};
};

/// Serves callers' requests: applies filters that can reject a request, then
/// forwards it by its route.
class RequestDispatcher {
public:
  RequestDispatcher(GatewayContext &Context, const CurrentRoutes &Routes)
      : Context(Context), Routes(Routes) {}

  /// Serves a request. \p Answer is called once with the response, possibly
  /// before this function returns.
  /// \returns the running request, or null if it was rejected.
  std::shared_ptr<ActiveRequest> serve(CallerRequestPtr Request,
                                       AnswerCallback Answer);

private:
  GatewayContext &Context;
  const CurrentRoutes &Routes;
};

} // namespace citronlever
