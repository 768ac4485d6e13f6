#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

using Fixture = GatewayFixture;

constexpr std::string_view Stopping = "this process is stopping";

} // namespace

// Guards against requests that end with a closed connection in a planned stop.
DOCTEST_TEST_CASE("requests that are left at the end of a planned stop get a "
                  "final answer with the true verdict") {
  Fixture Test;
  RawLeaf &Working = Test.leaf("a", unresponsive);
  Test.routes(forward(RequestKind::NonIdempotent));
  KeptConnection AtWork(Test, Fixture::request("/p/x"));
  DOCTEST_REQUIRE(Test.runUntil([&] { return Working.Requests.size() == 1; }));
  AdmissionController &Controller = Test.Context.admission("a").Controller;
  while (Controller.tryAdmit()) {
  }
  KeptConnection Waiting(Test, Fixture::request("/p/x"));
  DOCTEST_REQUIRE(Test.runUntil([&] { return Controller.waiting() == 1; }));
  KeptConnection HalfRead(Test, "GET /p/x HTTP/1.1\r\nHo");
  KeptConnection Idle(Test, "");
  DOCTEST_REQUIRE(
      Test.runUntil([&] { return Test.Callers.connections() == 4; }));
  Test.Io.run_for(Milliseconds(10));
  Test.Callers.drain();
  Test.Callers.giveUp(Stopping);
  DOCTEST_CHECK(Test.Callers.inFlight() == 3);
  Test.Callers.closeIdle();
  const std::string Cut = AtWork.receiveAll();
  DOCTEST_CHECK(status(Cut) == 504);
  DOCTEST_CHECK(Cut.find("may_have_run") != std::string::npos);
  DOCTEST_CHECK(Cut.find(Stopping) != std::string::npos);
  DOCTEST_CHECK(Cut.find("Connection: close") != std::string::npos);
  for (KeptConnection *Unsent : {&Waiting, &HalfRead}) {
    const std::string Refused = Unsent->receiveAll();
    DOCTEST_CHECK(status(Refused) == 503);
    DOCTEST_CHECK(!RawLeaf::field(Refused, "Retry-After").empty());
  }
  DOCTEST_CHECK(Idle.receiveAll().empty());
  DOCTEST_CHECK(Working.Requests.size() == 1);
  DOCTEST_CHECK(Test.runUntil([&] { return Test.Callers.connections() == 0; }));
}

DOCTEST_TEST_CASE("a query that is left at the end of a planned stop is "
                  "answered from the shards that it has, if they are enough") {
  for (const bool Enough : {true, false}) {
    Fixture Test;
    Test.leaf("a", answers("0123456789abcdef"));
    Test.leaf("b", Enough ? answers("fedcba9876543210") : unresponsive);
    RawLeaf &Silent = Test.leaf("c", unresponsive);
    RouteSpec Route = scatter();
    Route.LatencyObjective = Seconds(6);
    Test.routes(Route);
    KeptConnection Caller(Test, Fixture::request("/p/x"));
    DOCTEST_REQUIRE(Test.runUntil([&] { return Silent.Requests.size() == 1; }));
    Test.Io.run_for(Milliseconds(20));
    Test.Callers.drain();
    Test.Callers.giveUp(Stopping);
    const std::string Response = Caller.receiveAll();
    DOCTEST_CHECK(status(Response) == (Enough ? 200 : 504));
    if (Enough)
      DOCTEST_CHECK(RawLeaf::field(Response, "X-Missing") == "1");
  }
}

// Guards against requests that a leaf runs and a planned stop cuts off.
DOCTEST_TEST_CASE("a request that may outlast a planned stop is refused before "
                  "it is sent") {
  Fixture Test;
  RawLeaf &Leaf = Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  Test.Context.ServeUntil = Clock::now() + RouteTimeout / 2;
  const std::string Refused = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Refused) == 503);
  DOCTEST_CHECK(std::stod(RawLeaf::field(Refused, "Retry-After")) > 0);
  DOCTEST_CHECK(Leaf.Requests.empty());
  Test.Context.ServeUntil = TimePoint::max();
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 200);
  Test.Context.ServeUntil = Clock::now() + RouteTimeout / 2;
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 200);
  const std::string TimeLeft =
      RawLeaf::field(Leaf.Requests.back(), "X-Deadline");
  DOCTEST_CHECK(std::stoll(TimeLeft) <= toMs(RouteTimeout / 2));
}

DOCTEST_TEST_CASE("a request that has arrived when idle connections are closed "
                  "is still served") {
  Fixture Test;
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  KeptConnection Known(Test, "");
  DOCTEST_REQUIRE(
      Test.runUntil([&] { return Test.Callers.connections() == 1; }));
  Known.send(Fixture::request("/p/x"));
  // Not accepted yet.
  KeptConnection New(Test, Fixture::request("/p/x"));
  Test.Callers.drain();
  Test.Callers.closeIdle();
  DOCTEST_CHECK(status(Known.receiveAll()) == 200);
  DOCTEST_CHECK(status(New.receiveAll()) == 200);
}
