#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <utility>

namespace citronlever {

/// Timer that is rearmed only for an earlier expiry. A callback is not called
/// after cancel(), after it was rearmed, or after the timer was destroyed.
class EarliestTimer {
public:
  explicit EarliestTimer(boost::asio::io_context &Io) : Timer(Io) {}
  ~EarliestTimer() { this->cancel(); }
  EarliestTimer(const EarliestTimer &) = delete;
  EarliestTimer &operator=(const EarliestTimer &) = delete;

  /// Calls \p Callback at \p When. If the timer is armed for an earlier time
  /// already, that expiry and its callback stay in place.
  template <class Handler> void arm(TimePoint When, Handler Callback) {
    if (When >= this->Armed->At)
      return;
    this->Armed->At = When;
    this->Timer.expires_at(When);
    this->Timer.async_wait(
        [Armed = this->Armed, Generation = ++this->Armed->Generation,
         Callback = std::move(Callback)](auto Failure) mutable {
          // A handler that is queued already cannot be cancelled by Asio.
          if (Failure || Generation != Armed->Generation)
            return;
          Armed->At = TimePoint::max();
          Callback();
        });
  }

  void cancel() {
    this->Armed->At = TimePoint::max();
    ++this->Armed->Generation;
    this->Timer.cancel();
  }

private:
  /// Shared with the handlers, which can run after the timer was destroyed.
  struct State {
    TimePoint At = TimePoint::max();
    /// Changes whenever an earlier handler becomes invalid.
    std::uint64_t Generation = 0;
  };

  boost::asio::steady_timer Timer;
  std::shared_ptr<State> Armed = std::make_shared<State>();
};

} // namespace citronlever
