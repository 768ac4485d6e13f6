#pragma once

#include "citronlever/src/Gateway/Runs.h"

#include <functional>
#include <memory>

namespace citronlever {

/// Starts the run of a request that is admitted.
using StartRun =
    std::function<std::shared_ptr<RequestRun>(RunSpec, AnswerCaller)>;

/// Serves a request as soon as the gate of its services admits it; one that
/// would wait too long, or has no room to wait, is refused as not run.
std::shared_ptr<RequestRun> startAdmitted(RunContext &Context, RunSpec Spec,
                                          AnswerCaller Answer, StartRun Start);

} // namespace citronlever
