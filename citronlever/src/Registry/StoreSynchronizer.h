#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"
#include "citronlever/src/Registry/StoreMirror.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace citronlever {

/// Times of following the store.
struct StoreSynchronizerSettings {
  /// Keys followed.
  std::string Prefix;
  /// Longest wait of one watch. Leaves' heartbeats are changes, so a watch that
  /// hears nothing for longer has most likely lost its connection.
  Duration WatchWait = Milliseconds(1000);
  /// Pause after each watch, so that many changes cost one call.
  Duration WatchGap = Milliseconds(500);
  Duration RetryMin = Milliseconds(100);
  Duration RetryMax = Milliseconds(800);
};

/// Keeps a StoreMirror up to date: reads everything once, then watches; reads
/// everything again when the store's history no longer reaches back.
class StoreSynchronizer
    : public std::enable_shared_from_this<StoreSynchronizer> {
public:
  StoreSynchronizer(boost::asio::io_context &Context, KeyValueStore &Store,
                    StoreMirror &Mirror, StoreSynchronizerSettings Settings);

  /// \p Ready runs after each whole read or watch that succeeded; its argument
  /// says whether the store had been away before. \p Lost runs when calls begin
  /// to fail.
  void start(std::function<void(bool WasAway)> Ready,
             std::function<void()> Lost);

  void stop();

  bool away() const { return this->Away; }
  /// \returns whether everything has been read at least once.
  bool complete() const { return this->Complete; }
  std::uint64_t asOf() const { return this->AsOf; }

private:
  void readPage(const std::string &After);
  void pageCame(StoreItems Page, bool First);
  void watch();
  void watchCame(const StoreItems &Changes);
  void failed(const StoreItems &Why, bool ReadAgain);
  void succeeded();
  void after(Duration Pause, std::function<void()> Then);

  KeyValueStore &Store;
  StoreMirror &Mirror;
  StoreSynchronizerSettings Settings;
  boost::asio::steady_timer Timer;
  std::function<void(bool)> Ready;
  std::function<void()> Lost;
  std::minstd_rand Random;
  std::uint64_t AsOf = 0;
  std::uint64_t ReadAsOf = 0;
  Duration RetryPause{};
  bool Complete = false;
  bool Away = false;
  bool Stopped = false;
};

} // namespace citronlever
