#pragma once

#include "citronlever/src/Gateway/CallerRequest.h"
#include "citronlever/src/Gateway/GatewayContext.h"

#include <memory>

namespace citronlever {

/// What a run is to serve.
struct RoutedRequest {
  CallerRequestPtr Request;
  /// Keeps \c Route alive: a request stays with the version that it began with.
  RouteTablePtr Routes;
  const RouteSpec *Route = nullptr;
  /// What the caller says that it will wait.
  Duration CallerTimeout{};
};

/// Serves a request by one leaf of one service, its answer passed on unchanged.
std::shared_ptr<ActiveRequest> startForward(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer);

/// Serves a request by one leaf of each shard, the parts merged.
std::shared_ptr<ActiveRequest> startScatter(GatewayContext &Context,
                                            RoutedRequest Routed,
                                            AnswerCallback Answer);

} // namespace citronlever
