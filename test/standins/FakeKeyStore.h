#pragma once

#include "citronlever/src/Registry/KeyValueStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronlever {

/// \returns a revision of the first era.
inline StoreRevision firstEra(std::uint64_t Number) { return {1, Number}; }

/// A store in memory whose answers tests can refuse, hold back or lose.
class FakeKeyStore final : public KeyValueStore {
public:
  explicit FakeKeyStore(boost::asio::io_context &Io) : Io(Io) {}

  void put(const std::string &Key, const std::string &Value,
           std::uint64_t Lease = 0) {
    ++this->Revision;
    this->putAtRevision(Key, Value, Lease);
  }

  void putAtRevision(const std::string &Key, const std::string &Value,
                     std::uint64_t Lease) {
    this->Items[Key] = {Key, Value, this->asOf(), false};
    this->Leases[Key] = Lease;
    this->History.push_back(this->Items[Key]);
    this->serveWatches();
  }

  void erase(const std::string &Key) {
    this->Items.erase(Key);
    ++this->Revision;
    this->History.push_back({Key, {}, this->asOf(), true});
    this->serveWatches();
  }

  /// Forgets what changed, so that watches of before get HistoryGone.
  void dropHistory() {
    this->History.clear();
    this->Floor = this->Revision;
  }

  /// Keeps a copy to which restore() goes back.
  void saveCopy() {
    this->Copy = {this->Items, this->Leases, this->Revision, this->LastLease};
  }

  /// Comes back from the copy, in the next era.
  void restore() {
    ++this->Era;
    this->Items = this->Copy.Items;
    for (auto &[Key, Item] : this->Items)
      Item.Revision.Era = this->Era;
    this->Leases = this->Copy.Leases;
    this->Revision = this->Copy.Revision;
    this->LastLease = this->Copy.LastLease;
    this->Ended.clear();
    this->dropHistory();
    this->cutWatches();
  }

  StoreRevision asOf() const { return {this->Era, this->Revision}; }

  /// Ends a lease and removes its keys.
  void lapse(std::uint64_t Lease) {
    std::vector<std::string> Keys;
    for (const auto &[Key, Owner] : this->Leases)
      if (Owner == Lease && this->Items.contains(Key))
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      this->erase(Key);
    this->Ended.push_back(Lease);
  }

  void range(const std::string &Prefix, const std::string &After,
             ReadCallback Then) override {
    ++this->Count.Reads;
    StoreReadResult Page;
    Page.Status = this->Down ? StoreStatus::Refused : StoreStatus::Done;
    Page.AsOf = this->asOf();
    for (const auto &[Key, Item] : this->Items) {
      if (this->Down || !Key.starts_with(Prefix) || Key <= After)
        continue;
      if (Page.Items.size() == this->PageSize) {
        Page.MorePages = true;
        break;
      }
      Page.Items.push_back(Item);
    }
    this->post([Then, Page] { Then(Page); });
  }

  void watch(const std::string &Prefix, StoreRevision From, Duration Wait,
             ReadCallback Then) override {
    // As over the users' protocol, which names the number only.
    const std::uint64_t After = From.Number;
    ++this->Count.Watches;
    this->LastWait = Wait;
    const bool Gone = After < this->Floor || After > this->Revision;
    if (this->Down || Gone) {
      StoreReadResult Failed;
      Failed.Status =
          this->Down ? StoreStatus::Refused : StoreStatus::HistoryGone;
      this->post([Then, Failed] { Then(Failed); });
      return;
    }
    auto Timer = std::make_shared<boost::asio::steady_timer>(this->Io, Wait);
    this->Watches.push_back({Prefix, After, std::move(Then), Timer});
    Timer->async_wait([this, Timer](auto Failure) {
      if (!Failure)
        this->endWatch(Timer);
    });
    this->serveWatches();
  }

  /// Waiting watches fail, as when their connections are cut.
  void cutWatches() {
    for (const Watch &Cut : std::exchange(this->Watches, {}))
      this->post([Then = Cut.Then] { Then({}); });
  }

  void write(StoreWrite Write, WriteCallback Then) override {
    ++this->Count.Writes;
    StoreWriteResult Reply;
    Reply.Status = StoreStatus::Done;
    if (this->Down)
      Reply.Status = StoreStatus::Refused;
    else if (Write.Lease != 0 &&
             std::ranges::find(this->Ended, Write.Lease) != this->Ended.end())
      Reply.Status = StoreStatus::Absent;
    else if (Write.Conditional &&
             this->revisionOf(Write.Key) != Write.ExpectedRevision.Number)
      Reply.Status = StoreStatus::Conflict;
    else if (Write.Remove)
      this->erase(Write.Key);
    else
      this->put(Write.Key, Write.Value, Write.Lease);
    if (Reply.Status == StoreStatus::Done && !Write.SecondKey.empty())
      this->putAtRevision(Write.SecondKey, Write.SecondValue, 0);
    Reply.Revision = this->asOf();
    this->post([Then, Reply] { Then(Reply); });
  }

  void grantLease(Duration TimeToLive, WriteCallback Then) override {
    ++this->Count.Writes;
    StoreWriteResult Reply;
    Reply.Status = this->Down ? StoreStatus::Refused : StoreStatus::Done;
    Reply.Lease = ++this->LastLease;
    Reply.TimeToLive = TimeToLive;
    this->post([Then, Reply] { Then(Reply); });
  }

  void renewLease(std::uint64_t Lease, WriteCallback Then) override {
    ++this->Count.Renewals;
    StoreWriteResult Reply;
    Reply.Status = StoreStatus::Done;
    if (this->Down)
      Reply.Status = StoreStatus::Refused;
    else if (std::ranges::find(this->Ended, Lease) != this->Ended.end())
      Reply.Status = StoreStatus::Absent;
    this->post([Then, Reply] { Then(Reply); });
  }

  void endLease(std::uint64_t Lease, WriteCallback Then) override {
    this->lapse(Lease);
    this->post([Then] { Then({StoreStatus::Done, {}, 0, {}, {}}); });
  }

  std::uint64_t latestEra() const override { return this->LearntEra; }
  StoreCallCounts calls() const override { return this->Count; }

  std::map<std::string, StoreItem> Items;
  std::uint64_t Revision = 10;
  std::uint64_t Era = 1;
  /// The era that answers to other calls than reads have shown.
  std::uint64_t LearntEra = 0;
  std::uint64_t LastLease = 0;
  std::size_t PageSize = 3;
  Duration LastWait{};
  bool Down = false;

private:
  struct StoreCopy {
    std::map<std::string, StoreItem> Items;
    std::map<std::string, std::uint64_t> Leases;
    std::uint64_t Revision = 0;
    std::uint64_t LastLease = 0;
  };
  struct Watch {
    std::string Prefix;
    std::uint64_t After;
    ReadCallback Then;
    std::shared_ptr<boost::asio::steady_timer> Timer;
  };

  /// A watch whose wait is over shows that nothing has changed.
  void endWatch(const std::shared_ptr<boost::asio::steady_timer> &Timer) {
    const auto Found = std::ranges::find(this->Watches, Timer, &Watch::Timer);
    if (Found == this->Watches.end())
      return;
    const ReadCallback Then = Found->Then;
    this->Watches.erase(Found);
    StoreReadResult Nothing;
    Nothing.Status = this->Down ? StoreStatus::Refused : StoreStatus::Done;
    Nothing.AsOf = this->asOf();
    Then(Nothing);
  }

  std::uint64_t revisionOf(const std::string &Key) const {
    const auto Found = this->Items.find(Key);
    return Found == this->Items.end() ? 0 : Found->second.Revision.Number;
  }

  template <class Function> void post(Function Run) {
    boost::asio::post(this->Io, std::move(Run));
  }

  void serveWatches() {
    std::erase_if(this->Watches, [this](const Watch &Waiting) {
      StoreReadResult Changes;
      for (const StoreItem &Item : this->History)
        if (Item.Revision.Number > Waiting.After &&
            Item.Key.starts_with(Waiting.Prefix))
          Changes.Items.push_back(Item);
      if (Changes.Items.empty())
        return false;
      Changes.Status = StoreStatus::Done;
      Changes.AsOf = this->asOf();
      this->post([Then = Waiting.Then, Changes] { Then(Changes); });
      return true;
    });
  }

  boost::asio::io_context &Io;
  StoreCallCounts Count;
  StoreCopy Copy;
  std::map<std::string, std::uint64_t> Leases;
  std::vector<std::uint64_t> Ended;
  std::vector<StoreItem> History;
  std::vector<Watch> Watches;
  std::uint64_t Floor = 0;
};

} // namespace citronlever
