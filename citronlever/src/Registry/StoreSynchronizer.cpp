#include "citronlever/src/Registry/StoreSynchronizer.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <utility>

namespace citronlever {

StoreSynchronizer::StoreSynchronizer(boost::asio::io_context &Context,
                                     KeyValueStore &Store, StoreMirror &Mirror,
                                     StoreSynchronizerSettings Settings)
    : Store(Store), Mirror(Mirror), Settings(std::move(Settings)),
      Timer(Context), Random(std::random_device{}()) {}

void StoreSynchronizer::start(Callbacks OwnerCallbacks) {
  this->Owner = std::move(OwnerCallbacks);
  this->readPage({});
}

void StoreSynchronizer::stop() {
  this->Stopped = true;
  this->Timer.cancel();
}

void StoreSynchronizer::scheduleAfter(Duration Delay,
                                      std::function<void()> Step) {
  this->Timer.expires_after(Delay);
  this->Timer.async_wait(
      [Self = this->shared_from_this(), Step = std::move(Step)](auto Failure) {
        if (!Failure && !Self->Stopped)
          Step();
      });
}

void StoreSynchronizer::readPage(const std::string &After) {
  this->Store.range(this->Settings.Prefix, After,
                    [Self = this->shared_from_this(),
                     IsFirst = After.empty()](StoreReadResult Page) {
                      if (!Self->Stopped)
                        Self->handlePage(std::move(Page), IsFirst);
                    });
}

void StoreSynchronizer::handlePage(StoreReadResult Page, bool IsFirst) {
  if (Page.Status != StoreStatus::Done) {
    this->handleFailure(Page, true);
    return;
  }
  if (!IsFirst && Page.AsOf.Era != this->ReadAsOf.Era) {
    // The pages before this one are of another copy.
    this->readAgain();
    return;
  }
  if (Page.AsOf.Era < this->AsOf.Era) {
    Page.Reason = "answer of an earlier era";
    this->handleFailure(Page, true);
    return;
  }
  this->noteResponse(Page.AsOf);
  if (IsFirst)
    this->beginRead(Page);
  for (const StoreItem &Item : Page.Items)
    this->Mirror.applyReadItem(Item);
  if (Page.MorePages && !Page.Items.empty()) {
    this->readPage(Page.Items.back().Key);
    return;
  }
  this->Mirror.endRead();
  this->AsOf = this->ReadAsOf;
  this->ReadAll = true;
  this->Owner.OnUpdated();
  this->watch();
}

void StoreSynchronizer::beginRead(const StoreReadResult &Page) {
  if (this->ReadAll && Page.AsOf.Era > this->AsOf.Era) {
    logEvent(event::StoreRestored, "as_of", Page.AsOf, "known", this->AsOf);
    this->Owner.OnRestored();
  }
  this->ReadAsOf = Page.AsOf;
  this->Mirror.beginRead(this->Settings.Prefix, Page.AsOf);
}

bool StoreSynchronizer::isOutdated(const StoreReadResult &Result) const {
  return std::max(Result.AsOf.Era, this->Store.latestEra()) > this->AsOf.Era;
}

void StoreSynchronizer::readAgain() {
  std::uniform_int_distribution<Duration::rep> Delay(
      0, this->Settings.RereadSpread.count());
  this->scheduleAfter(Duration(Delay(this->Random)),
                      [this] { this->readPage({}); });
}

void StoreSynchronizer::watch() {
  this->Store.watch(
      this->Settings.Prefix, this->AsOf, this->Settings.WatchTimeout,
      [Self = this->shared_from_this()](const StoreReadResult &Changes) {
        if (!Self->Stopped)
          Self->handleChanges(Changes);
      });
}

void StoreSynchronizer::handleChanges(const StoreReadResult &Changes) {
  if (this->isOutdated(Changes)) {
    this->readAgain();
    return;
  }
  if (Changes.Status == StoreStatus::HistoryGone) {
    logEvent(event::StoreHistoryDropped, "as_of", this->AsOf);
    this->readAgain();
    return;
  }
  if (Changes.Status != StoreStatus::Done) {
    this->handleFailure(Changes, false);
    return;
  }
  this->noteResponse(Changes.AsOf);
  for (const StoreItem &Item : Changes.Items)
    this->Mirror.apply(Item);
  this->AsOf = std::max(this->AsOf, Changes.AsOf);
  this->Owner.OnUpdated();
  this->scheduleAfter(this->Settings.PauseBetweenWatches,
                      [this] { this->watch(); });
}

void StoreSynchronizer::handleFailure(const StoreReadResult &Result,
                                      bool WasReading) {
  if (!this->StoreUnavailable) {
    this->StoreUnavailable = true;
    logEvent(event::StoreLost, toString(Result.Status), Result.Reason);
    this->Owner.OnUnavailable();
  }
  this->RetryDelay =
      std::clamp(2 * this->RetryDelay, this->Settings.MinRetryDelay,
                 this->Settings.MaxRetryDelay);
  std::uniform_int_distribution<Duration::rep> Jitter(
      this->RetryDelay.count() / 2, this->RetryDelay.count());
  this->scheduleAfter(Duration(Jitter(this->Random)), [this, WasReading] {
    if (WasReading)
      this->readPage({});
    else
      this->watch();
  });
}

void StoreSynchronizer::noteResponse(StoreRevision StoreAsOf) {
  this->RetryDelay = Duration::zero();
  if (!std::exchange(this->StoreUnavailable, false))
    return;
  logEvent(event::StoreRecovered, "as_of", StoreAsOf);
  this->Owner.OnRecovered();
}

} // namespace citronlever
