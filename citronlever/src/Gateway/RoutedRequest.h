#pragma once

#include "citronlever/src/Gateway/CallerRequest.h"
#include "citronlever/src/Gateway/GatewayContext.h"

#include <memory>

namespace citronlever {

/// What a run is to serve.
struct RoutedRequest {
  CallerRequestPtr Request;
  /// Keeps \c Of alive: a request stays with the version that it began with.
  RouteTablePtr Routes;
  const RouteSpec *Of = nullptr;
  /// What the caller says that it will wait.
  Duration CallerWaits{};
};

/// Serves a request by one leaf of one service, its answer passed on unchanged.
std::shared_ptr<ActiveRequest> startForward(GatewayContext &Context,
                                            RoutedRequest Spec,
                                            AnswerCallback Answer);

/// Serves a request by one leaf of each shard, the parts merged.
std::shared_ptr<ActiveRequest> startScatter(GatewayContext &Context,
                                            RoutedRequest Spec,
                                            AnswerCallback Answer);

} // namespace citronlever
