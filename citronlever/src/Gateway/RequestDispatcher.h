#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <memory>

namespace citronlever {

/// What the filters of one request have found so far.
struct FilterState {
  CallerRequestPtr Request;
  RouteTablePtr Routes;
  const RouteSpec *Route = nullptr;
  Duration CallerTimeout{};
};

/// Serves callers' requests: filters in order, each of which may refuse, then
/// a run.
class RequestDispatcher {
public:
  RequestDispatcher(GatewayContext &Context, const CurrentRoutes &Routes)
      : Context(Context), Routes(Routes) {}

  std::shared_ptr<ActiveRequest> serve(CallerRequestPtr Request,
                                       AnswerCallback Answer);

private:
  GatewayContext &Context;
  const CurrentRoutes &Routes;
};

} // namespace citronlever
