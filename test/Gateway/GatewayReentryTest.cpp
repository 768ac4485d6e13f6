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
    Test.endRequests();
  }
}

// Guards against a stack that grows with the queue, and against requests that
// are forgotten in it: each one that is admitted and fails at once admits the
// next from its end.
DOCTEST_TEST_CASE("a full queue of requests that fail as they are admitted is "
                  "answered") {
  Fixture Test;
  std::vector<std::pair<std::shared_ptr<RawLeaf::Peer>, std::string>> Held;
  Test.leaf("a", [&](const std::string &Head, RawLeaf::Peer &To) {
    Held.emplace_back(To.shared_from_this(), Head);
  });
  RouteSpec Route = forward(RequestKind::NonIdempotent);
  Route.LatencyObjective = Seconds(60);
  Route.Timeout = Seconds(60);
  Test.routes(Route, 400);
  constexpr std::size_t Running = AdmissionController::MaxLimit;
  constexpr std::size_t Waiting = AdmissionController::MaxWaiting;
  std::vector<std::unique_ptr<KeptConnection>> Callers;
  for (std::size_t I = 0; I < Running + Waiting; ++I)
    Callers.push_back(std::make_unique<KeptConnection>(
        Test, requestWithId("q" + std::to_string(I))));
  DOCTEST_REQUIRE(Test.runUntil([&] {
    return Held.size() == Running &&
           Test.Callers.inFlight() == Running + Waiting;
  }));
  Test.Registry.remove("leaf-1", Clock::now());
  Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
  Held.front().first->write(RawLeaf::answer(Held.front().second, "good"));
  const auto Answered = [&] {
    return std::ranges::count_if(Callers, [](const auto &Caller) {
      return Fixture::isComplete(Caller->received());
    });
  };
  DOCTEST_CHECK(Test.runUntil([&] { return Answered() == Waiting + 1; }));
  DOCTEST_CHECK(Test.Context.Counters.NotRun == Waiting);
  Test.endRequests();
}
