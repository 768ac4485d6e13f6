#include "citronlever/src/Core/EventLoop.h"

#include "citronlever/src/Core/Event.h"

namespace citronlever {

void runEventLoop(boost::asio::io_context &Context) {
  FailureTolerance Tolerance;
  while (true)
    try {
      Context.run();
      return;
    } catch (const std::exception &Failure) {
      logEvent(event::HandlerFailed, Failure.what());
      if (!Tolerance.allows(Clock::now()))
        throw;
    }
}

} // namespace citronlever
