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
  Duration WatchTimeout = Milliseconds(1000);
  /// Pause after each watch, so that many changes cost one call.
  Duration PauseBetweenWatches = Milliseconds(500);
  Duration MinRetryDelay = Milliseconds(100);
  Duration MaxRetryDelay = Milliseconds(800);
};

/// Keeps a StoreMirror up to date: reads everything once, then watches; reads
/// everything again when the store's history no longer reaches back.
class StoreSynchronizer
    : public std::enable_shared_from_this<StoreSynchronizer> {
public:
  StoreSynchronizer(boost::asio::io_context &Context, KeyValueStore &Store,
                    StoreMirror &Mirror, StoreSynchronizerSettings Settings);

  /// \p OnUpdated runs after each whole read or watch that succeeded; its
  /// argument says whether the store had been away before. \p OnUnavailable
  /// runs when calls begin to fail.
  void start(std::function<void(bool Recovered)> OnUpdated,
             std::function<void()> OnUnavailable);

  void stop();

  bool isStoreUnavailable() const { return this->StoreUnavailable; }
  /// \returns whether everything has been read at least once.
  bool hasReadAll() const { return this->ReadAll; }
  std::uint64_t asOf() const { return this->AsOf; }

private:
  void readPage(const std::string &After);
  void handlePage(StoreReadResult Page, bool IsFirst);
  void watch();
  void handleChanges(const StoreReadResult &Changes);
  void handleFailure(const StoreReadResult &Result, bool WasReading);
  void handleSuccess();
  void scheduleAfter(Duration Delay, std::function<void()> Step);

  KeyValueStore &Store;
  StoreMirror &Mirror;
  StoreSynchronizerSettings Settings;
  boost::asio::steady_timer Timer;
  std::function<void(bool)> UpdatedCallback;
  std::function<void()> UnavailableCallback;
  std::minstd_rand Random;
  std::uint64_t AsOf = 0;
  std::uint64_t ReadAsOf = 0;
  Duration RetryDelay{};
  bool ReadAll = false;
  bool StoreUnavailable = false;
  bool Stopped = false;
};

} // namespace citronlever
