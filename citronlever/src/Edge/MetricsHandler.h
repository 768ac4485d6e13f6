#pragma once

#include "citronlever/src/Core/HttpServer.h"
#include "citronlever/src/Edge/EdgeNode.h"

namespace citronlever {

/// Serves the figures of \p Node in the Prometheus text format at /metrics, and
/// its state as JSON at /dump.
HttpHandler metricsHandler(const EdgeNode &Node);

} // namespace citronlever
