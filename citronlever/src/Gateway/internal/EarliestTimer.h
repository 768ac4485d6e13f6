#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace citronlever {

/// Timer that is rearmed only for an earlier expiry.
class EarliestTimer {
public:
  explicit EarliestTimer(boost::asio::io_context &Io) : Timer(Io) {}

  /// Calls \p Callback at \p When. If the timer is armed for an earlier time
  /// already, that expiry and its callback stay in place.
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
