#pragma once

#include "citronlever/src/Dispatch/CallerTiming.h"
#include "citronlever/src/Gateway/CallerRequest.h"
#include "citronlever/src/Gateway/GatewayContext.h"

#include <memory>

namespace citronlever {

/// A request with its matched route.
struct RoutedRequest {
  CallerRequestPtr Request;
  /// Keeps \c Route alive: a request uses one version of the route table to its
  /// end.
  RouteTablePtr Routes;
  const RouteSpec *Route = nullptr;
  /// How long the caller waits for the answer.
  Duration CallerTimeout{};
  CallerTiming Timing;
};

/// Forwards the request to one leaf of one service and passes its answer on
/// unchanged.
std::shared_ptr<ActiveRequest> startForward(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer);

/// Sends the request to one leaf of each shard and merges the answers.
std::shared_ptr<ActiveRequest> startScatter(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer);

} // namespace citronlever
