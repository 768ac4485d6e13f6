#pragma once

#include "citronlever/src/Gateway/RoutedRequest.h"

#include <functional>
#include <memory>

namespace citronlever {

/// Starts the run of a request that is admitted.
using StartRequest = std::function<std::shared_ptr<ActiveRequest>(
    RoutedRequest, AnswerCallback)>;

/// Serves a request as soon as the gate of its services admits it; one that
/// would wait too long, or has no room to wait, is refused as not run.
std::shared_ptr<ActiveRequest> startWhenAdmitted(GatewayContext &Context,
                                                 RoutedRequest Routed,
                                                 AnswerCallback Answer,
                                                 StartRequest Start);

} // namespace citronlever
