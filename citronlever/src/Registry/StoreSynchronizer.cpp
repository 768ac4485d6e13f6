#include "citronlever/src/Registry/StoreSynchronizer.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace citronlever {

StoreSynchronizer::StoreSynchronizer(boost::asio::io_context &Context,
                                     KeyValueStore &Store, StoreMirror &Mirror,
                                     StoreSynchronizerSettings Settings)
    : Store(Store), Mirror(Mirror), Settings(std::move(Settings)),
      Timer(Context), Random(std::random_device{}()) {}

void StoreSynchronizer::start(std::function<void(bool)> OnReady,
                              std::function<void()> OnLost) {
  this->Ready = std::move(OnReady);
  this->Lost = std::move(OnLost);
  this->readPage({});
}

void StoreSynchronizer::stop() {
  this->Stopped = true;
  this->Timer.cancel();
}

void StoreSynchronizer::after(Duration Pause, std::function<void()> Then) {
  this->Timer.expires_after(Pause);
  this->Timer.async_wait(
      [Self = this->shared_from_this(), Then = std::move(Then)](auto Failure) {
        if (!Failure && !Self->Stopped)
          Then();
      });
}

void StoreSynchronizer::readPage(const std::string &After) {
  this->Store.range(this->Settings.Prefix, After,
                    [Self = this->shared_from_this(),
                     First = After.empty()](StoreItems Page) {
                      if (!Self->Stopped)
                        Self->pageCame(std::move(Page), First);
                    });
}

void StoreSynchronizer::pageCame(StoreItems Page, bool First) {
  if (Page.Status != StoreStatus::Done) {
    this->failed(Page, true);
    return;
  }
  if (First) {
    this->ReadAsOf = Page.AsOf;
    this->Mirror.beginRead(this->Settings.Prefix, Page.AsOf);
  }
  for (const StoreItem &Item : Page.Items)
    this->Mirror.readItem(Item);
  if (Page.MorePages && !Page.Items.empty()) {
    this->readPage(Page.Items.back().Key);
    return;
  }
  this->Mirror.endRead();
  this->AsOf = this->ReadAsOf;
  this->Complete = true;
  this->succeeded();
  this->watch();
}

void StoreSynchronizer::watch() {
  this->Store.watch(
      this->Settings.Prefix, this->AsOf, this->Settings.WatchWait,
      [Self = this->shared_from_this()](const StoreItems &Changes) {
        if (!Self->Stopped)
          Self->watchCame(Changes);
      });
}

void StoreSynchronizer::watchCame(const StoreItems &Changes) {
  if (Changes.Status == StoreStatus::HistoryGone) {
    logEvent(event::StoreHistoryGone, "as_of", this->AsOf);
    this->readPage({});
    return;
  }
  if (Changes.Status != StoreStatus::Done) {
    this->failed(Changes, false);
    return;
  }
  for (const StoreItem &Item : Changes.Items)
    this->Mirror.apply(Item);
  this->AsOf = std::max(this->AsOf, Changes.AsOf);
  this->succeeded();
  this->after(this->Settings.WatchGap, [this] { this->watch(); });
}

void StoreSynchronizer::failed(const StoreItems &Why, bool ReadAgain) {
  if (!this->Away) {
    this->Away = true;
    logEvent(event::StoreLost, toString(Why.Status), Why.Reason);
    this->Lost();
  }
  this->RetryPause = std::clamp(2 * this->RetryPause, this->Settings.RetryMin,
                                this->Settings.RetryMax);
  std::uniform_int_distribution<Duration::rep> Jitter(
      this->RetryPause.count() / 2, this->RetryPause.count());
  this->after(Duration(Jitter(this->Random)), [this, ReadAgain] {
    if (ReadAgain)
      this->readPage({});
    else
      this->watch();
  });
}

void StoreSynchronizer::succeeded() {
  const bool WasAway = this->Away;
  this->Away = false;
  this->RetryPause = Duration::zero();
  if (WasAway)
    logEvent(event::StoreBack, "as_of", this->AsOf);
  this->Ready(WasAway);
}

} // namespace citronlever
