#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"
#include "citronlever/src/Registry/StoreMirror.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <string>

namespace citronlever {

/// Key prefix and intervals for synchronizing with the store.
struct StoreSynchronizerSettings {
  /// Only keys with this prefix are synchronized; empty for all keys.
  std::string Prefix;
  /// Maximum wait of one watch. Heartbeats of leaves are changes too, so a
  /// watch without any change for longer than this has most likely lost its
  /// connection.
  Duration WatchTimeout = Milliseconds(1000);
  /// Pause after each watch, so that several changes are fetched by one call.
  Duration PauseBetweenWatches = Milliseconds(500);
  /// Maximum delay, chosen at random, before all keys are read again: all
  /// members learn at once that they have to.
  Duration RereadSpread = Milliseconds(200);
  /// Bounds of the exponential backoff, with jitter, after a failed call.
  Duration MinRetryDelay = Milliseconds(100);
  Duration MaxRetryDelay = Milliseconds(800);
};

/// Keeps a StoreMirror current: reads all keys once, then watches for changes.
/// Reads all keys again if the store no longer holds the history since the last
/// watch, or has gone back to an older copy.
class StoreSynchronizer
    : public std::enable_shared_from_this<StoreSynchronizer> {
public:
  StoreSynchronizer(boost::asio::io_context &Context, KeyValueStore &Store,
                    StoreMirror &Mirror, StoreSynchronizerSettings Settings);

  /// What the owner is told.
  struct Callbacks {
    /// A complete read or a successful watch was applied to the mirror.
    std::function<void()> OnUpdated;
    /// A call failed while the store counted as available.
    std::function<void()> OnUnavailable;
    /// A call succeeded after failed ones. Comes before its changes are applied
    /// to the mirror: removals among them may be due to the outage.
    std::function<void()> OnRecovered;
    /// The store came back from an older copy, which is read now. Comes before
    /// its items are applied to the mirror, and before OnUpdated.
    std::function<void()> OnRestored;
  };

  /// Starts synchronizing.
  void start(Callbacks Owner);

  /// Stops synchronizing; no callback runs afterwards.
  void stop();

  /// \returns whether the last call to the store failed.
  bool isStoreUnavailable() const { return this->StoreUnavailable; }
  /// \returns whether all keys have been read at least once.
  bool hasReadAll() const { return this->ReadAll; }
  /// \returns the store revision up to which the mirror is current.
  StoreRevision asOf() const { return this->AsOf; }

private:
  void readPage(const std::string &After);
  void handlePage(StoreReadResult Page, bool IsFirst);
  void watch();
  void handleChanges(const StoreReadResult &Changes);
  void handleFailure(const StoreReadResult &Result, bool WasReading);
  /// Ends an outage if one is under way.
  void noteResponse(StoreRevision StoreAsOf);
  /// \returns whether the store has begun an era after that of the mirror.
  bool isOutdated(const StoreReadResult &Result) const;
  /// Reads all keys again after a random delay.
  void readAgain();
  /// Begins a read of all keys with its first page.
  void beginRead(const StoreReadResult &Page);
  void scheduleAfter(Duration Delay, std::function<void()> Step);

  KeyValueStore &Store;
  StoreMirror &Mirror;
  StoreSynchronizerSettings Settings;
  boost::asio::steady_timer Timer;
  Callbacks Owner;
  std::minstd_rand Random;
  StoreRevision AsOf;
  /// Revision of the first page of the read in progress.
  StoreRevision ReadAsOf;
  Duration RetryDelay{};
  bool ReadAll = false;
  bool StoreUnavailable = false;
  bool Stopped = false;
};

} // namespace citronlever
