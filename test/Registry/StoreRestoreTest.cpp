#include "citronlever/Registry"
#include "test/standins/FakeKeyStore.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <vector>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(1000)};

StoreSynchronizerSettings quickSettings() {
  StoreSynchronizerSettings Result;
  Result.PauseBetweenWatches = Milliseconds(1);
  Result.WatchTimeout = Milliseconds(20);
  Result.RereadSpread = Milliseconds(2);
  Result.MinRetryDelay = Milliseconds(1);
  Result.MaxRetryDelay = Milliseconds(2);
  return Result;
}

/// A store whose watches are answered by a relay, as for members of a large
/// fleet.
class WatchThroughRelay final : public KeyValueStore {
public:
  WatchThroughRelay(KeyValueStore &Store, ChangeRelay &Relay)
      : Store(Store), Relay(Relay) {}

  void range(const std::string &Prefix, const std::string &After,
             ReadCallback Then) override {
    this->Store.range(Prefix, After, std::move(Then));
  }
  void watch(const std::string &, StoreRevision Revision, Duration Wait,
             ReadCallback Then) override {
    this->Relay.requestChanges(
        Revision, Wait, Clock::now(),
        [Then = std::move(Then)](StoreStatus Status, RelayedChanges Changes) {
          StoreReadResult Result;
          Result.Status = Status;
          Result.Items = std::move(Changes.Items);
          Result.AsOf = Changes.AsOf;
          Then(std::move(Result));
        });
  }
  void write(StoreWrite, WriteCallback) override {}
  void grantLease(Duration, WriteCallback) override {}
  void renewLease(std::uint64_t, WriteCallback) override {}
  void endLease(std::uint64_t, WriteCallback) override {}
  std::uint64_t latestEra() const override { return 0; }
  StoreCallCounts calls() const override { return {}; }

private:
  KeyValueStore &Store;
  ChangeRelay &Relay;
};

/// A member's mirror of the store. The first one relays to the others.
struct Member {
  StoreMirror Mirror{[this](const StoreItem &Item) {
    this->Relay.record(Item);
    if (Item.Key == "config" && !Item.Removed)
      this->Version = std::max(this->Version, std::stoi(Item.Value));
  }};
  ChangeRelay Relay;
  std::shared_ptr<StoreSynchronizer> Feed;
  /// Highest version of the configuration, which is in force.
  int Version = 0;
  int Restores = 0;

  Member(boost::asio::io_context &Io, KeyValueStore &Store)
      : Feed(std::make_shared<StoreSynchronizer>(Io, Store, this->Mirror,
                                                 quickSettings())) {
    this->Feed->start(
        {[this] { this->Relay.advance(this->Feed->asOf(), Clock::now()); },
         [this] { this->Relay.onStoreUnavailable(); }, [] {},
         [this] { ++this->Restores; }});
  }
  ~Member() { this->Feed->stop(); }
  Member(const Member &) = delete;
  Member &operator=(const Member &) = delete;

  bool holds(const FakeKeyStore &Store) const {
    return this->Mirror.size() == Store.Items.size() &&
           std::ranges::all_of(Store.Items, [this](const auto &Item) {
             const StoreItem *Known = this->Mirror.find(Item.first);
             return Known && Known->Value == Item.second.Value;
           });
  }
};

struct Fixture {
  boost::asio::io_context Io;
  FakeKeyStore Store{Io};
  Member Watcher{Io, Store};
  WatchThroughRelay Relayed{Store, Watcher.Relay};
  Member Other{Io, Relayed};

  void run(Duration Time) {
    this->Io.restart();
    this->Io.run_for(Time);
    this->Watcher.Relay.expire(Clock::now());
  }

  bool converges() {
    const TimePoint End = Clock::now() + Seconds(20);
    const auto Holds = [this] {
      return this->Watcher.holds(this->Store) && this->Other.holds(this->Store);
    };
    while (!Holds() && Clock::now() < End)
      this->run(Milliseconds(2));
    return Holds();
  }
};

LeafEntry leaf(std::int64_t Incarnation, std::int64_t Sequence,
               bool Draining = false) {
  LeafEntry Result;
  Result.Id = "a";
  Result.Incarnation = Incarnation;
  Result.Sequence = Sequence;
  Result.Draining = Draining;
  return Result;
}

} // namespace

// Guards against a configuration that never takes effect after a restore.
DOCTEST_TEST_CASE("a change under a revision that is given out again after a "
                  "restore is applied by members and by those they relay to") {
  Fixture Test;
  Test.Store.put("config", "3");
  Test.Store.put("kept", "x");
  DOCTEST_REQUIRE(Test.converges());
  Test.Store.saveCopy();
  Test.Store.put("config", "10");
  Test.Store.put("lost", "x");
  DOCTEST_REQUIRE(Test.converges());
  Test.Store.restore();
  DOCTEST_REQUIRE(Test.converges());
  DOCTEST_CHECK(Test.Watcher.Version == 10);
  Test.Store.put("config", "12");
  DOCTEST_REQUIRE(Test.converges());
  DOCTEST_CHECK(Test.Watcher.Version == 12);
  DOCTEST_CHECK(Test.Other.Version == 12);
  DOCTEST_CHECK(Test.Watcher.Restores == 1);
  DOCTEST_CHECK(Test.Other.Restores == 1);
}

DOCTEST_TEST_CASE("a restore that no watch failed by is noticed, although the "
                  "store has passed the known revision again") {
  Fixture Test;
  Test.Store.put("config", "3");
  Test.Store.saveCopy();
  Test.Store.put("config", "10");
  DOCTEST_REQUIRE(Test.converges());
  Test.Store.restore();
  for (int Version = 11; Version < 20; ++Version)
    Test.Store.put("config", std::to_string(Version));
  Test.Store.put("other", "x");
  DOCTEST_REQUIRE(Test.converges());
  DOCTEST_CHECK(Test.Other.Version == 19);
}

DOCTEST_TEST_CASE("whatever happens to the store, all members end with what it "
                  "holds and with the newest configuration") {
  constexpr unsigned FirstSeed = 20261207;
  for (unsigned Seed = FirstSeed; Seed < FirstSeed + 40; ++Seed) {
    DOCTEST_CAPTURE(Seed);
    std::mt19937 Random(Seed);
    Fixture Test;
    int Version = 0;
    Test.Store.saveCopy();
    for (int Step = 0; Step < 60; ++Step) {
      const std::string Key = "k" + std::to_string(Random() % 9);
      switch (Random() % 12) {
      case 0:
        Test.Store.saveCopy();
        break;
      case 1:
        Test.Store.restore();
        // Operators write the newest version again.
        Test.Store.put("config", std::to_string(Version));
        break;
      case 2:
        Test.Store.cutWatches();
        break;
      case 3:
        Test.Store.Down = !Test.Store.Down;
        break;
      case 4:
        Test.Store.dropHistory();
        break;
      case 5:
      case 6:
        Test.Store.put("config", std::to_string(++Version));
        break;
      case 7:
        if (Test.Store.Items.contains(Key))
          Test.Store.erase(Key);
        break;
      case 8:
        Test.run(Milliseconds(static_cast<int>(Random() % 8)));
        break;
      default:
        Test.Store.put(Key, std::to_string(Step));
      }
    }
    Test.Store.Down = false;
    Test.Store.put("config", std::to_string(++Version));
    DOCTEST_CHECK(Test.converges());
    DOCTEST_CHECK(Test.Watcher.Version == Version);
    DOCTEST_CHECK(Test.Other.Version == Version);
  }
}

DOCTEST_TEST_CASE("a relay sends a member of an earlier era to the store, and "
                  "makes one of a later era wait") {
  ChangeRelay Relay;
  Relay.advance({1, 50}, Start);
  Relay.record({"a", "1", {1, 51}, false});
  Relay.advance({1, 51}, Start);
  std::vector<StoreStatus> Answers;
  const auto Answer = [&](StoreStatus Status, const RelayedChanges &Changes) {
    Answers.push_back(Status);
    DOCTEST_CHECK(Changes.Items.empty());
  };
  Relay.requestChanges({2, 40}, Seconds(2), Start, Answer);
  DOCTEST_CHECK(Answers.empty());
  Relay.advance({2, 40}, Start);
  DOCTEST_CHECK(Answers.empty());
  Relay.requestChanges({1, 51}, Seconds(2), Start, Answer);
  DOCTEST_CHECK(Answers == std::vector<StoreStatus>{StoreStatus::HistoryGone});
  DOCTEST_CHECK(Relay.keptBytes() == 0);
}

DOCTEST_TEST_CASE("entries of a restored copy that are older than known change "
                  "nothing; newer ones do") {
  LeafRegistry Leaves;
  Leaves.put(leaf(1, 50, true), Start);
  Leaves.onStoreRestored(Start);
  DOCTEST_CHECK_FALSE(Leaves.put(leaf(1, 48), Start));
  DOCTEST_CHECK(Leaves.find("a")->Draining);
  // The leaf as it was before a restart.
  DOCTEST_CHECK_FALSE(Leaves.put(leaf(0, 90), Start));
  DOCTEST_CHECK(Leaves.put(leaf(1, 51), Start));
  DOCTEST_CHECK_FALSE(Leaves.find("a")->Draining);
  // Once it has written, the order of writes is the store's again.
  Leaves.put(leaf(1, 3, true), Start);
  DOCTEST_CHECK(Leaves.find("a")->Draining);
}

DOCTEST_TEST_CASE("a leaf that was removed before a restore comes back only by "
                  "a write of its own") {
  LeafRegistry Leaves;
  Leaves.put(leaf(5, 50), Start);
  Leaves.remove("a", Start);
  Leaves.onStoreRestored(Start + Seconds(9));
  Leaves.put(leaf(5, 50), Start + Seconds(9));
  DOCTEST_CHECK(Leaves.size() == 0);
  Leaves.put(leaf(5, 51), Start + Seconds(10));
  DOCTEST_CHECK(Leaves.size() == 1);
}

DOCTEST_TEST_CASE("a leaf that a restored copy lacks lives on until it could "
                  "have written again") {
  LeafRegistry Leaves;
  Leaves.put(leaf(5, 50), Start);
  Leaves.onStoreRestored(Start);
  Leaves.remove("a", Start);
  DOCTEST_CHECK(Leaves.size() == 1);
  Leaves.expire(Start + LeafRegistry::RecoveryGracePeriod);
  DOCTEST_CHECK(Leaves.size() == 0);
}

DOCTEST_TEST_CASE("differences of a restored copy are held, and dropped when "
                  "the name is written again") {
  RestoreHold<int> Hold;
  Hold.hold("a", 1, Start);
  Hold.hold("b", 2, Start);
  Hold.cancel("a");
  const TimePoint Due = Start + RestoreHold<int>::HoldTime;
  DOCTEST_CHECK(Hold.takeDue(Due - Milliseconds(1)).empty());
  DOCTEST_CHECK(Hold.takeDue(Due) ==
                std::vector<std::pair<std::string, int>>{{"b", 2}});
  DOCTEST_CHECK(Hold.takeDue(Due).empty());
}
