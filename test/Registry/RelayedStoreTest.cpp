#include "citronlever/Core"
#include "citronlever/Registry"
#include "test/standins/FakeKeyStore.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

namespace {

/// A watching member with the server through which others get its changes.
struct Watcher {
  explicit Watcher(boost::asio::io_context &Io)
      : Server(Io, {}, relayHandler(this->Relay)) {
    this->Address = {"127.0.0.1", this->Server.listen({"127.0.0.1", 0})};
  }

  ChangeRelay Relay;
  HttpServer Server;
  Endpoint Address;
};

struct Fixture {
  boost::asio::io_context Io;
  FakeKeyStore Backend{Io};
  Watcher First{Io};
  Watcher Second{Io};
  RelayedStore Store{Io, Backend};

  Fixture() {
    this->Store.setRelays({this->First.Address, this->Second.Address});
  }

  StoreReadResult watch(Duration Wait = Milliseconds(50)) {
    std::optional<StoreReadResult> Received;
    this->Store.watch(
        "", this->Backend.asOf(), Wait,
        [&](StoreReadResult Result) { Received = std::move(Result); });
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Received && Clock::now() < End) {
      this->Io.restart();
      this->Io.run_for(Milliseconds(2));
    }
    return Received.value_or(StoreReadResult{});
  }
};

/// Gives the watcher a change after revision \p Known.
void recordChange(Watcher &To, StoreRevision Known) {
  To.Relay.advance(Known, Clock::now());
  const StoreRevision Next{Known.Era, Known.Number + 1};
  To.Relay.record({"k", "v", Next, false});
  To.Relay.advance(Next, Clock::now());
}

FleetMember makeWatcher(std::string Domain, std::uint16_t Port) {
  FleetMember Result;
  Result.Domain = std::move(Domain);
  Result.PeerAddress = {"10.0.0.1", Port};
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("changes come through a relay, without a call to the store") {
  Fixture Test;
  recordChange(Test.First, Test.Backend.asOf());
  const StoreReadResult Result = Test.watch();
  DOCTEST_REQUIRE((Result.Status == StoreStatus::Done));
  DOCTEST_CHECK(Result.Items.size() == 1);
  DOCTEST_CHECK(Test.Backend.calls().Watches == 0);
}

DOCTEST_TEST_CASE("one relay that does not reach the store: the next one is "
                  "asked") {
  Fixture Test;
  recordChange(Test.Second, Test.Backend.asOf());
  DOCTEST_CHECK((Test.watch().Status == StoreStatus::Done));
  DOCTEST_CHECK(Test.Backend.calls().Watches == 0);
}

DOCTEST_TEST_CASE(
    "while no relay reaches the store, the members do not all ask "
    "it themselves, but each does in the end") {
  Fixture Test;
  Test.Backend.Down = true;
  const TimePoint Began = Clock::now();
  int Asked = 0;
  while (Clock::now() < Began + Milliseconds(1500)) {
    DOCTEST_CHECK((Test.watch().Status == StoreStatus::Refused));
    Test.Io.restart();
    Test.Io.run_for(Milliseconds(100));
    ++Asked;
  }
  DOCTEST_CHECK(Asked >= 3);
  DOCTEST_CHECK(Test.Backend.calls().Watches == 0);
  while (Test.Backend.calls().Watches == 0 &&
         Clock::now() < Began + Seconds(20)) {
    Test.watch();
    Test.Io.restart();
    Test.Io.run_for(Milliseconds(100));
  }
  DOCTEST_CHECK(Test.Backend.calls().Watches > 0);
}

DOCTEST_TEST_CASE("relays that do not answer: the store itself is asked") {
  Fixture Test;
  Test.Store.setRelays({{"127.0.0.1", 1}});
  (void)Test.watch();
  DOCTEST_CHECK(Test.Backend.calls().Watches == 1);
}

DOCTEST_TEST_CASE("relays of the own failure domain come first") {
  const std::vector<FleetMember> Watchers = {
      makeWatcher("d1", 1), makeWatcher("d2", 2), makeWatcher("d1", 3)};
  for (std::size_t Offset = 0; Offset < 4; ++Offset) {
    const auto Relays = orderRelays(Watchers, "d2", Offset);
    DOCTEST_REQUIRE(Relays.size() == 3);
    DOCTEST_CHECK(Relays[0].Port == 2);
    DOCTEST_CHECK(Relays[1].Port == (Offset % 2 == 0 ? 1 : 3));
  }
}
