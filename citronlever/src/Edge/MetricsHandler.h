#pragma once

#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Edge/EdgeNode.h"

namespace citronlever {

/// \returns a handler that serves the metrics of \p Node in the Prometheus text
/// format at /metrics, and its state as JSON at /dump. \p Node must outlive it.
HttpHandler metricsHandler(const EdgeNode &Node);

} // namespace citronlever
