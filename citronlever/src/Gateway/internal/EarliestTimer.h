#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace citronlever {

/// A timer that is only set anew when it must go off earlier.
class EarliestTimer {
public:
  explicit EarliestTimer(boost::asio::io_context &Io) : Timer(Io) {}

  /// Runs \p Then at \p At, or when it goes off anyway before.
  template <class Handler> void arm(TimePoint At, Handler Then) {
    if (At >= this->ArmedAt)
      return;
    this->ArmedAt = At;
    this->Timer.expires_at(At);
    this->Timer.async_wait(
        [this, Then = std::move(Then)](auto Failure) mutable {
          if (Failure)
            return;
          this->ArmedAt = TimePoint::max();
          Then();
        });
  }

  void cancel() {
    this->ArmedAt = TimePoint::max();
    this->Timer.cancel();
  }

private:
  boost::asio::steady_timer Timer;
  TimePoint ArmedAt = TimePoint::max();
};

} // namespace citronlever
