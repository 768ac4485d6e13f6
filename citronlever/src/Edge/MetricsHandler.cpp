#include "citronlever/src/Edge/MetricsHandler.h"

#include <sstream>

namespace citronlever {

namespace {

HttpResponse metricsResponse(const EdgeNode &Node) {
  std::ostringstream Text;
  for (const auto &[Name, Value] : Node.metrics())
    Text << "citronlever_" << Name << ' ' << Value << '\n';
  HttpResponse Result;
  Result.Headers.set("Content-Type", "text/plain; version=0.0.4");
  Result.Body = Text.str();
  return Result;
}

} // namespace

HttpHandler metricsHandler(const EdgeNode &Node) {
  return [&Node](const std::shared_ptr<const HttpRequest> &Request,
                 const HttpReply &Reply) {
    HttpResponse Result;
    if (Request->path() == "/metrics")
      Result = metricsResponse(Node);
    else if (Request->path() == "/dump")
      Result.Body = Node.dump();
    else
      Result.Status = 404;
    Reply(std::move(Result));
  };
}

} // namespace citronlever
