#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>

namespace citronlever {

/// Decides whether a process goes on after an exception that a handler did not
/// catch. One malformed message must not end a process that serves others; a
/// process that fails all the time is better restarted.
class FailureTolerance {
public:
  /// \returns whether the process goes on after a failure at \p Now.
  bool allows(TimePoint Now) {
    if (Now - this->PeriodStart >= Period) {
      this->PeriodStart = Now;
      this->Failures = 0;
    }
    return ++this->Failures <= MaxFailures;
  }

  /// Number of failures in a period that a process survives.
  static constexpr std::size_t MaxFailures = 100;
  static constexpr Duration Period = Seconds(10);

private:
  TimePoint PeriodStart{};
  std::size_t Failures = 0;
};

/// Runs the handlers of \p Context until it is stopped or has no work. Logs an
/// exception that a handler lets escape and goes on with the next handler.
/// \throws the exception if FailureTolerance does not allow to go on.
void runEventLoop(boost::asio::io_context &Context);

} // namespace citronlever
