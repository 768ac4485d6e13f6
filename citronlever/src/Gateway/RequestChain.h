#pragma once

#include "citronlever/src/Gateway/Runs.h"

#include <memory>

namespace citronlever {

/// What the filters of one request have found so far.
struct RequestFrame {
  CallerRequestPtr Request;
  RouteTablePtr Routes;
  const RouteSpec *Of = nullptr;
  Duration CallerWaits{};
};

/// Serves callers' requests: filters in order, each of which may refuse, then
/// a run.
class RequestChain {
public:
  RequestChain(RunContext &Context, const CurrentRoutes &Routes)
      : Context(Context), Routes(Routes) {}

  std::shared_ptr<RequestRun> serve(CallerRequestPtr Request,
                                    AnswerCaller Answer);

private:
  RunContext &Context;
  const CurrentRoutes &Routes;
};

} // namespace citronlever
