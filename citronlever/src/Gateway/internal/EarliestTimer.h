#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace citronlever {

/// A timer that is only set anew when it must go off earlier.
class EarliestTimer {
public:
  explicit EarliestTimer(boost::asio::io_context &Io) : Timer(Io) {}

  /// Runs \p Callback at \p When, or when it goes off anyway before.
  template <class Handler> void arm(TimePoint When, Handler Callback) {
    if (When >= this->ArmedAt)
      return;
    this->ArmedAt = When;
    this->Timer.expires_at(When);
    this->Timer.async_wait(
        [this, Callback = std::move(Callback)](auto Failure) mutable {
          if (Failure)
            return;
          this->ArmedAt = TimePoint::max();
          Callback();
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
