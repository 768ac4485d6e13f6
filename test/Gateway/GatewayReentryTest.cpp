#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

using Fixture = GatewayFixture;

namespace {

std::string requestWithId(const std::string &Id) {
  return "GET /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: " + Id + "\r\n\r\n";
}

} // namespace

// Guards against 503 "no leaf is available" for requests that waited at a leaf
// that restarted: they were moved while the list of leaves was being rebuilt.
DOCTEST_TEST_CASE("requests that wait at a leaf that restarts or leaves are "
                  "moved to another one") {
  for (const bool Restarts : {true, false}) {
    DOCTEST_INFO("restarts: " << Restarts);
    Fixture Test;
    RawLeaf &Working = Test.leaf("a", unresponsive);
    Test.routes(forward(RequestKind::NonIdempotent), 1);
    KeptConnection InFlight(Test, requestWithId("q1"));
    DOCTEST_REQUIRE(Test.runUntil([&] { return !Working.Requests.empty(); }));
    KeptConnection Waiting(Test, requestWithId("q2"));
    Test.Io.run_for(Milliseconds(20));
    DOCTEST_REQUIRE(Working.Requests.size() == 1);
    Working.Serve = answers("good");
    LeafEntry Ending;
    Test.Registry.forEach([&](const LeafEntry &Entry) { Ending = Entry; });
    Test.leaf("a", answers("good"));
    if (Restarts) {
      ++Ending.Incarnation;
      Test.Registry.put(Ending, Clock::now());
    } else {
      Test.Registry.remove(Ending.Id, Clock::now());
    }
    Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
    DOCTEST_CHECK(
        Test.runUntil([&] { return Fixture::isComplete(Waiting.received()); }));
    DOCTEST_CHECK(body(Waiting.received()) == "good");
  }
}
