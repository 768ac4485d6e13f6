#include "citronlever/Registry"
#include "test/standins/FakeKeyStore.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

namespace {

struct Fixture {
  boost::asio::io_context Io;
  FakeKeyStore Store{Io};
  StoreMirror Mirror{[](const StoreItem &) {}};
  int Updates = 0;
  int Recoveries = 0;
  int Outages = 0;
  int Restores = 0;
  std::size_t ItemsAtRecovery = 0;
  std::shared_ptr<StoreSynchronizer> Synchronizer;

  void start() {
    StoreSynchronizerSettings Settings;
    Settings.PauseBetweenWatches = Milliseconds(1);
    Settings.MinRetryDelay = Milliseconds(1);
    Settings.MaxRetryDelay = Milliseconds(2);
    this->Synchronizer = std::make_shared<StoreSynchronizer>(
        this->Io, this->Store, this->Mirror, Settings);
    this->Synchronizer->start({[this] { ++this->Updates; },
                               [this] { ++this->Outages; },
                               [this] {
                                 ++this->Recoveries;
                                 this->ItemsAtRecovery = this->Mirror.size();
                               },
                               [this] { ++this->Restores; }});
  }

  template <class Predicate> bool runUntil(Predicate Condition) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Condition() && Clock::now() < End) {
      // The event loop stops whenever it runs out of work.
      this->Io.restart();
      this->Io.run_for(Milliseconds(2));
    }
    return Condition();
  }

  bool hasValue(const char *Key, const char *Value) const {
    const StoreItem *Item = this->Mirror.find(Key);
    return Item && Item->Value == Value;
  }

  ~Fixture() { this->Synchronizer->stop(); }
};

} // namespace

DOCTEST_TEST_CASE("all pages are read, then changes are applied") {
  Fixture Test;
  for (int At = 0; At < 8; ++At)
    Test.Store.put("k" + std::to_string(At), "v");
  Test.start();
  DOCTEST_CHECK(Test.runUntil([&] { return Test.Mirror.size() == 8; }));
  Test.Store.put("k9", "new");
  Test.Store.erase("k0");
  DOCTEST_CHECK(Test.runUntil([&] {
    return Test.hasValue("k9", "new") && Test.Mirror.find("k0") == nullptr;
  }));
  DOCTEST_CHECK(Test.Outages == 0);
}

DOCTEST_TEST_CASE(
    "after the store drops its history, all keys are read again and missed "
    "removals are found") {
  Fixture Test;
  Test.Store.put("gone", "v");
  Test.start();
  DOCTEST_REQUIRE(Test.runUntil([&] { return Test.hasValue("gone", "v"); }));
  Test.Store.Down = true;
  Test.Store.cutWatches();
  DOCTEST_REQUIRE(Test.runUntil([&] { return Test.Outages == 1; }));
  Test.Store.erase("gone");
  Test.Store.put("new", "v");
  Test.Store.dropHistory();
  Test.Store.Down = false;
  DOCTEST_CHECK(Test.runUntil([&] {
    return Test.hasValue("new", "v") && Test.Mirror.find("gone") == nullptr;
  }));
  DOCTEST_CHECK(Test.Recoveries == 1);
}

DOCTEST_TEST_CASE("the end of an outage is reported before the removals of "
                  "entries that expired in it") {
  for (const bool DropsHistory : {false, true}) {
    DOCTEST_INFO("the store drops its history: " << DropsHistory);
    Fixture Test;
    for (int At = 0; At < 5; ++At)
      Test.Store.put("leaf" + std::to_string(At), "v");
    Test.start();
    DOCTEST_REQUIRE(Test.runUntil([&] { return Test.Mirror.size() == 5; }));
    Test.Store.Down = true;
    Test.Store.cutWatches();
    DOCTEST_REQUIRE(Test.runUntil([&] { return Test.Outages == 1; }));
    for (int At = 0; At < 5; ++At)
      Test.Store.erase("leaf" + std::to_string(At));
    if (DropsHistory)
      Test.Store.dropHistory();
    Test.Store.Down = false;
    DOCTEST_CHECK(Test.runUntil([&] { return Test.Mirror.size() == 0; }));
    DOCTEST_CHECK(Test.ItemsAtRecovery == 5);
  }
}

// Guards against late configuration changes: with a watch timeout of 5 s, five
// members received a version 5.5 s after it was acknowledged, because their
// watches had been cut silently.
DOCTEST_TEST_CASE("a silently cut watch is detected within two seconds") {
  Fixture Test;
  const StoreSynchronizerSettings Defaults;
  Test.start();
  DOCTEST_REQUIRE(
      Test.runUntil([&] { return Test.Store.calls().Watches > 0; }));
  DOCTEST_CHECK(Defaults.WatchTimeout <= Seconds(1));
  DOCTEST_CHECK(Test.Store.LastWait <= Seconds(1));
  DOCTEST_CHECK(Defaults.PauseBetweenWatches <= Milliseconds(500));
}

DOCTEST_TEST_CASE("a member whose lease expired registers again") {
  struct TestDocuments final : DocumentReader {
    void read(const StoreItem &, DocumentSink &) const override {}
    StoreWrite encodeMove(const RolloutDocument & /*State*/,
                          StoreRevision /*Expected*/) const override {
      return {};
    }
    std::string memberKey(std::string_view Name) const override {
      return "members/" + std::string(Name);
    }
  };
  boost::asio::io_context Io;
  FakeKeyStore Store(Io);
  const TestDocuments Documents;
  FleetMember Self;
  Self.Name = "n1";
  MemberLeaseSettings Settings;
  Settings.RenewalPeriod = Milliseconds(2);
  Settings.MinRetryDelay = Milliseconds(1);
  Settings.MaxRetryDelay = Milliseconds(2);
  auto Lease =
      std::make_shared<MemberLease>(Io, Store, Documents, Self, Settings);
  const auto RunUntil = [&](auto Condition) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Condition() && Clock::now() < End)
      Io.run_for(Milliseconds(2));
    return Condition();
  };
  const auto Registered = [&] { return Store.Items.contains("members/n1"); };
  Lease->start();
  DOCTEST_CHECK(RunUntil(Registered));
  Store.lapse(Store.LastLease);
  DOCTEST_CHECK(!Registered());
  DOCTEST_CHECK(RunUntil(Registered));
  Lease->announceLeaving();
  DOCTEST_CHECK(RunUntil(
      [&] { return decodeMember(Store.Items["members/n1"].Value).Leaving; }));
  Lease->release();
  DOCTEST_CHECK(RunUntil([&] { return !Registered(); }));
}
