#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <functional>
#include <memory>

namespace citronlever {

/// Starts serving an admitted request.
using StartRequest = std::function<std::shared_ptr<ActiveRequest>(
    RoutedRequest, AnswerCallback)>;

/// Starts a request as soon as the admission control of its services admits it.
/// A request that would wait too long, or that finds the queue full, gets a
/// response that says it was not run.
std::shared_ptr<ActiveRequest> startWhenAdmitted(GatewayContext &Context,
                                                 RoutedRequest Routed,
                                                 AnswerCallback Answer,
                                                 StartRequest Start);

} // namespace citronlever
