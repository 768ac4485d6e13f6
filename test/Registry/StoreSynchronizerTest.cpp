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
  int Ready = 0;
  int Returns = 0;
  int Lost = 0;
  std::shared_ptr<StoreSynchronizer> Feed;

  void start() {
    StoreSynchronizerSettings Settings;
    Settings.WatchGap = Milliseconds(1);
    Settings.RetryMin = Milliseconds(1);
    Settings.RetryMax = Milliseconds(2);
    this->Feed = std::make_shared<StoreSynchronizer>(this->Io, this->Store,
                                                     this->Mirror, Settings);
    this->Feed->start(
        [this](bool WasAway) {
          ++this->Ready;
          this->Returns += WasAway ? 1 : 0;
        },
        [this] { ++this->Lost; });
  }

  template <class Condition> bool until(Condition Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End) {
      // A watch that waits is no work for the event loop.
      this->Io.restart();
      this->Io.run_for(Milliseconds(2));
    }
    return Holds();
  }

  bool knows(const char *Key, const char *Value) const {
    const StoreItem *Item = this->Mirror.find(Key);
    return Item && Item->Value == Value;
  }

  ~Fixture() { this->Feed->stop(); }
};

} // namespace

DOCTEST_TEST_CASE("all pages are read, then changes followed") {
  Fixture Test;
  for (int At = 0; At < 8; ++At)
    Test.Store.put("k" + std::to_string(At), "v");
  Test.start();
  DOCTEST_CHECK(Test.until([&] { return Test.Mirror.size() == 8; }));
  Test.Store.put("k9", "new");
  Test.Store.erase("k0");
  DOCTEST_CHECK(Test.until([&] {
    return Test.knows("k9", "new") && Test.Mirror.find("k0") == nullptr;
  }));
  DOCTEST_CHECK(Test.Lost == 0);
}

DOCTEST_TEST_CASE(
    "a dropped history is read again, with what went in the gap") {
  Fixture Test;
  Test.Store.put("gone", "v");
  Test.start();
  DOCTEST_REQUIRE(Test.until([&] { return Test.knows("gone", "v"); }));
  Test.Store.Down = true;
  Test.Store.cutWatches();
  DOCTEST_REQUIRE(Test.until([&] { return Test.Lost == 1; }));
  Test.Store.erase("gone");
  Test.Store.put("new", "v");
  Test.Store.dropHistory();
  Test.Store.Down = false;
  DOCTEST_CHECK(Test.until([&] {
    return Test.knows("new", "v") && Test.Mirror.find("gone") == nullptr;
  }));
  DOCTEST_CHECK(Test.Returns == 1);
}

// With a wait of 5 s, five members learned of a version 5.5 s after it was
// acknowledged, since their watches had been cut without a sign.
DOCTEST_TEST_CASE(
    "a watch that was cut silently is noticed within two seconds") {
  Fixture Test;
  const StoreSynchronizerSettings Defaults;
  Test.start();
  DOCTEST_REQUIRE(Test.until([&] { return Test.Store.calls().Watches > 0; }));
  DOCTEST_CHECK(Defaults.WatchWait <= Seconds(1));
  DOCTEST_CHECK(Test.Store.LastWait <= Seconds(1));
  DOCTEST_CHECK(Defaults.WatchGap <= Milliseconds(500));
}

DOCTEST_TEST_CASE("a member whose lease ended registers again") {
  struct Documents final : DocumentReader {
    void read(const StoreItem &, DocumentSink &) const override {}
    StoreWrite moveWrite(const RolloutDocument & /*State*/,
                         std::uint64_t /*Expected*/) const override {
      return {};
    }
    std::string memberKey(std::string_view Name) const override {
      return "members/" + std::string(Name);
    }
  };
  boost::asio::io_context Io;
  FakeKeyStore Store(Io);
  const Documents Keys;
  FleetMember Self;
  Self.Name = "n1";
  MemberLeaseSettings Settings;
  Settings.Renewal = Milliseconds(2);
  Settings.RetryPause = Milliseconds(1);
  auto Lease = std::make_shared<MemberLease>(Io, Store, Keys, Self, Settings);
  const auto Until = [&](auto Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End)
      Io.run_for(Milliseconds(2));
    return Holds();
  };
  const auto Registered = [&] { return Store.Items.contains("members/n1"); };
  Lease->start();
  DOCTEST_CHECK(Until(Registered));
  Store.lapse(Store.LastLease);
  DOCTEST_CHECK(!Registered());
  DOCTEST_CHECK(Until(Registered));
  Lease->leave();
  DOCTEST_CHECK(Until(
      [&] { return decodeMember(Store.Items["members/n1"].Value).Leaving; }));
  Lease->end();
  DOCTEST_CHECK(Until([&] { return !Registered(); }));
}
