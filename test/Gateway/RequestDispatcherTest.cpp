#include "citronlever/Gateway"
#include "citronlever/src/Gateway/ReplicaCall.h"
#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

using Fixture = GatewayFixture;

} // namespace

DOCTEST_TEST_CASE(
    "without a configuration, the response is 503 (not run) rather than 404") {
  Fixture Test;
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 503);
  DOCTEST_CHECK(!RawLeaf::field(Response, "Retry-After").empty());
}

DOCTEST_TEST_CASE("each kind of invalid request gets its own status") {
  Fixture Test;
  Test.routes(forward(RequestKind::Idempotent));
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/q/x"))) == 404);
  DOCTEST_CHECK(status(Test.ask(
                    Fixture::request("/p/x", "X-Deadline: soon\r\n"))) == 400);
  DOCTEST_CHECK(status(Test.ask(Fixture::request(
                    "/p/x", "X-Long: " + std::string(2000, 'x') + "\r\n"))) ==
                431);
  DOCTEST_CHECK(status(Test.ask(Fixture::request(
                    "/p/x", "Content-Length: 200\r\n"))) == 413);
  DOCTEST_CHECK(status(Test.ask("nonsense\r\n\r\n")) == 400);
  DOCTEST_CHECK(status(Test.ask("GET /p/x HT")) == 408);
  DOCTEST_CHECK(
      status(Test.ask(Fixture::request(
          "/p/x", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"))) ==
      400);
}

DOCTEST_TEST_CASE("a leaf's answer is passed on byte for byte") {
  Fixture Test;
  Test.leaf("a", answers("bytes"));
  Test.routes(forward(RequestKind::NonIdempotent));
  const std::string Response = Test.ask(Fixture::request("/p/x?y"));
  DOCTEST_CHECK(status(Response) == 200);
  DOCTEST_CHECK(body(Response) == "bytes");
  DOCTEST_CHECK(RawLeaf::field(Response, "X-Signature") == "sig-byte");
  DOCTEST_CHECK(Test.Leaves[0]->Requests[0].starts_with("GET /p/x?y HTTP/1.1"));
}

DOCTEST_TEST_CASE(
    "a non-idempotent request that may have run is not repeated") {
  Fixture Test;
  Test.leaf("a", fails());
  Test.leaf("a", fails());
  Test.routes(forward(RequestKind::NonIdempotent));
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 502);
  DOCTEST_CHECK(
      Test.Leaves[0]->Requests.size() + Test.Leaves[1]->Requests.size() == 1);
}

DOCTEST_TEST_CASE("a leaf's 503 without the 'not run' header does not mean "
                  "that the request was not run") {
  Fixture Test;
  Test.leaf("a", [](const std::string &, RawLeaf::Peer &To) {
    To.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  });
  Test.routes(forward(RequestKind::NonIdempotent));
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 502);
}

DOCTEST_TEST_CASE(
    "a non-idempotent request that a leaf refused goes to another leaf") {
  Fixture Test;
  const auto Full = [](const std::string &, RawLeaf::Peer &To) {
    To.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  };
  Test.leaf("a", Full);
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  for (int At = 0; At < 4; ++At)
    DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
}

DOCTEST_TEST_CASE(
    "all leaves refuse: 503 (not run) at once, with a Retry-After header") {
  Fixture Test;
  Test.leaf("a", [](const std::string &, RawLeaf::Peer &To) {
    To.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  Test.routes(forward(RequestKind::NonIdempotent));
  const TimePoint Began = Clock::now();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 503);
  DOCTEST_CHECK(std::stod(RawLeaf::field(Response, "Retry-After")) > 0);
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
}

DOCTEST_TEST_CASE("idempotent: a request with a lost answer is retried, even "
                  "at a leaf tried before") {
  Fixture Test;
  int Left = 2;
  Test.leaf("a", [&](const std::string &Head, RawLeaf::Peer &To) {
    if (Left-- > 0)
      To.reset();
    else
      To.write(RawLeaf::answer(Head, "good"));
  });
  Test.routes(forward(RequestKind::Idempotent));
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
}

DOCTEST_TEST_CASE(
    "idempotent: an unresponsive leaf costs a hedge, not the timeout") {
  Fixture Test;
  Test.leaf("a", unresponsive);
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::Idempotent));
  for (int At = 0; At < 4; ++At) {
    const TimePoint Began = Clock::now();
    DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
    DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
  }
}

DOCTEST_TEST_CASE("no hedge goes to a full leaf until it has a free slot") {
  Fixture Test;
  RawLeaf &A = Test.leaf("a", unresponsive);
  RawLeaf &B = Test.leaf("a", unresponsive);
  Test.routes(forward(RequestKind::Idempotent));
  const RouteSpec *Route = Test.Routes.get()->match("h.example", "/p/x");
  HttpRequest Asked;
  Asked.Target = "/p/x";
  const auto Request = std::make_shared<LeafRequest>(
      Asked, TestNames, Clock::now() + RouteTimeout);
  std::vector<std::shared_ptr<ReplicaCall>> Calls;
  Calls.reserve(2);
  for (int At = 0; At < 2; ++At)
    Calls.push_back(std::make_shared<ReplicaCall>(
        Test.Pool, *Route, "a", Request, [](const ReplicaResult &) {}));
  const auto Sent = [&] { return A.Requests.size() + B.Requests.size(); };
  const auto Run = [&] {
    Test.Io.run_for(Milliseconds(2));
    for (const auto &Call : Calls)
      if (!Call->isFinished() && Clock::now() >= Call->wakeAt())
        Call->wake(Clock::now());
  };
  Calls[0]->start(Clock::now());
  DOCTEST_REQUIRE(Test.runUntil([&] { return Sent() == 1; }));
  Calls[1]->start(Clock::now());
  // A hedge is due after 0.3 of the latency objective at the latest.
  const TimePoint End = Clock::now() + Milliseconds(250);
  while (Clock::now() < End)
    Run();
  DOCTEST_CHECK(A.Requests.size() == 1);
  DOCTEST_CHECK(B.Requests.size() == 1);
  Calls[1]->abandon();
  const TimePoint Longest = Clock::now() + WellBeforeTimeout;
  while (Sent() < 3 && Clock::now() < Longest)
    Run();
  DOCTEST_CHECK(Sent() == 3);
  Calls[0]->abandon();
}

DOCTEST_TEST_CASE("a request whose leaves are lost after its hedge ends soon "
                  "while the fleet's extra sends are spent") {
  for (const bool Refuses : {false, true}) {
    DOCTEST_INFO("the leaves say that they have not run it: " << Refuses);
    Fixture Test;
    boost::asio::steady_timer Later(Test.Io);
    std::vector<RawLeaf::Peer *> Asked;
    const auto Hold = [&](const std::string &, RawLeaf::Peer &To) {
      Asked.push_back(&To);
      if (Asked.size() < 2)
        return;
      // Later than the time at which another hedge would be due.
      Later.expires_after(Milliseconds(300));
      Later.async_wait([&](auto) {
        Test.spendExtraSends("a");
        for (RawLeaf::Peer *Peer : Asked)
          if (Refuses)
            Peer->write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
          else
            Peer->reset();
      });
    };
    Test.leaf("a", Hold);
    Test.leaf("a", Hold);
    Test.routes(forward(RequestKind::Idempotent));
    const TimePoint Began = Clock::now();
    const std::string Response = Test.ask(Fixture::request("/p/x"));
    DOCTEST_CHECK(status(Response) == (Refuses ? 503 : 502));
    DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
  }
}

DOCTEST_TEST_CASE("a shard whose leaves are lost after its hedge, while the "
                  "extra sends are spent, does not hold up the query") {
  Fixture Test;
  boost::asio::steady_timer Later(Test.Io);
  std::vector<RawLeaf::Peer *> Asked;
  const auto Hold = [&](const std::string &, RawLeaf::Peer &To) {
    Asked.push_back(&To);
    if (Asked.size() < 2)
      return;
    Later.expires_after(Milliseconds(150));
    Later.async_wait([&](auto) {
      Test.spendExtraSends("b");
      for (RawLeaf::Peer *Peer : Asked)
        Peer->reset();
    });
  };
  Test.leaf("a", answers(std::string(16, 'a')));
  Test.leaf("b", Hold);
  Test.leaf("b", Hold);
  RouteSpec Route = scatter();
  Route.Shards = {"a", "b"};
  Route.MinCoverage = 1;
  Test.routes(Route);
  const TimePoint Began = Clock::now();
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) >= 500);
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
}

DOCTEST_TEST_CASE("the route's timeout ends a request with a final answer") {
  Fixture Test;
  Test.leaf("a", unresponsive);
  RouteSpec Route = forward(RequestKind::NonIdempotent);
  Route.Timeout = Milliseconds(200);
  Test.routes(Route);
  const TimePoint Began = Clock::now();
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 504);
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
}

DOCTEST_TEST_CASE("the parts of all shards are merged, each once") {
  Fixture Test;
  Test.leaf("a", answers(std::string(16, 'a')));
  Test.leaf("b", answers(std::string(16, 'b')));
  Test.leaf("c", answers(std::string(16, 'c')));
  Test.routes(scatter());
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 200);
  DOCTEST_CHECK(RawLeaf::field(Response, "X-Missing") == "0");
  DOCTEST_CHECK(body(Response) == std::string(16, 'c') + std::string(16, 'b'));
}

DOCTEST_TEST_CASE("an unresponsive shard is left out at the latency objective, "
                  "and counted as missing") {
  Fixture Test;
  Test.leaf("a", answers(std::string(16, 'a')));
  Test.leaf("b", unresponsive);
  Test.leaf("c", answers(std::string(16, 'c')));
  Test.routes(scatter());
  const TimePoint Began = Clock::now();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
  DOCTEST_CHECK(RawLeaf::field(Response, "X-Missing") == "1");
  DOCTEST_CHECK(RawLeaf::field(Response, "X-Parts") == "sig-aaaa, sig-cccc");
}

DOCTEST_TEST_CASE("a request fails at once when its coverage is out of reach") {
  Fixture Test;
  Test.leaf("a", answers(std::string(16, 'a')));
  Test.routes(scatter());
  const TimePoint Began = Clock::now();
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) >= 500);
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
}

DOCTEST_TEST_CASE("a query for which too few shards have a leaf is rejected as "
                  "not run, and no leaf is called") {
  Fixture Test;
  RawLeaf &Leaf = Test.leaf("a", answers(std::string(16, 'a')));
  Test.leaf("b", answers(std::string(16, 'b')));
  Test.leaf("c", answers(std::string(16, 'c')));
  Test.routes(scatter());
  // Opens a connection, so that a call would be sent at once.
  DOCTEST_REQUIRE(status(Test.ask(Fixture::request("/p/x"))) == 200);
  Leaf.Requests.clear();
  for (const char *Id : {"leaf-2", "leaf-3"})
    Test.Registry.remove(Id, Clock::now());
  Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 503);
  DOCTEST_CHECK(!RawLeaf::field(Response, "Retry-After").empty());
  DOCTEST_CHECK(body(Response).find("not_run") != std::string::npos);
  DOCTEST_CHECK(Leaf.Requests.empty());
}

DOCTEST_TEST_CASE("a caller's disconnect cancels the calls to leaves") {
  Fixture Test;
  RawLeaf &Leaf = Test.leaf("a", unresponsive);
  Test.routes(forward(RequestKind::Idempotent, 1));
  {
    boost::asio::ip::tcp::socket Socket(Test.Io);
    Socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), Test.Address.Port});
    boost::asio::write(Socket, boost::asio::buffer(Fixture::request("/p/x")));
    DOCTEST_REQUIRE(Test.runUntil([&] { return !Leaf.Requests.empty(); }));
  }
  const TimePoint Left = Clock::now();
  DOCTEST_CHECK(Test.runUntil([&] { return Leaf.Closed == 1; }));
  DOCTEST_CHECK(Clock::now() - Left < WellBeforeTimeout);
  DOCTEST_CHECK(Test.Context.Counters.CallersGone == 1);
}

DOCTEST_TEST_CASE(
    "a draining server answers and asks the caller to close the connection") {
  Fixture Test;
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::Idempotent));
  Test.Callers.drain();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(body(Response) == "good");
  DOCTEST_CHECK(RawLeaf::field(Response, "Connection") == "close");
}

DOCTEST_TEST_CASE("an answer counts as in flight until it is written, so that "
                  "a planned stop does not cut it") {
  Fixture Test;
  const std::string Large(7 << 20, 'x');
  Test.leaf("a", [&](const std::string &Head, RawLeaf::Peer &To) {
    To.writeInBackground(RawLeaf::answer(Head, Large));
  });
  Test.routes(forward(RequestKind::Idempotent));
  boost::asio::ip::tcp::socket Caller(Test.Io);
  Caller.connect(
      {boost::asio::ip::make_address("127.0.0.1"), Test.Address.Port});
  boost::asio::write(Caller, boost::asio::buffer(Fixture::request("/p/x")));
  DOCTEST_REQUIRE(
      Test.runUntil([&] { return Test.Context.Counters.Answered == 1; }));
  // The caller has not read yet.
  DOCTEST_CHECK(Test.Callers.inFlight() == 1);
  Test.Callers.drain();
  Test.Callers.closeIdle();
  std::size_t Received = 0;
  std::vector<char> Chunk(1 << 20);
  boost::system::error_code Failure;
  Caller.non_blocking(true);
  const TimePoint End = Clock::now() + Seconds(20);
  while (Failure != boost::asio::error::eof && Clock::now() < End) {
    Failure = {};
    Received += Caller.read_some(boost::asio::buffer(Chunk), Failure);
    Test.Io.run_for(Milliseconds(1));
  }
  DOCTEST_CHECK(Received > Large.size());
  DOCTEST_CHECK(Test.Callers.inFlight() == 0);
}

DOCTEST_TEST_CASE(
    "a leaf that is draining, removed or in a closed domain gets no calls") {
  Fixture Test;
  RawLeaf &Old = Test.leaf("a", answers("old"));
  Test.routes(forward(RequestKind::Idempotent));
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "old");
  Test.leaf("a", answers("new"));
  Test.Pool.update(Test.Registry, Test.Routes.get(), {{"d1"}}, {1},
                   Clock::now());
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 503);
  LeafEntry Draining = *Test.Registry.find("leaf-1");
  Draining.Draining = true;
  Test.Registry.put(Draining, Clock::now());
  Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
  const std::size_t Before = Old.Requests.size();
  for (int At = 0; At < 5; ++At)
    DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "new");
  DOCTEST_CHECK(Old.Requests.size() == Before);
}

DOCTEST_TEST_CASE(
    "a withheld version gets no calls while another version serves") {
  Fixture Test;
  RawLeaf &New = Test.leaf("a", answers("new"));
  Test.leaf("a", answers("old"));
  LeafEntry Entry = *Test.Registry.find("leaf-1");
  Entry.Version = "v2";
  Test.Registry.put(Entry, Clock::now());
  Test.routes(forward(RequestKind::Idempotent));
  // No state of this rollout has been written yet.
  Test.Pool.rollouts().start({"a", "v2", Seconds(20), {1, 1}});
  Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
  for (int At = 0; At < 5; ++At)
    DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "old");
  DOCTEST_CHECK(New.Requests.empty());
  Test.Registry.remove("leaf-2", Clock::now());
  Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "new");
}

DOCTEST_TEST_CASE("statistics of a removed route are dropped without harm to "
                  "calls in flight") {
  Fixture Test;
  RawLeaf::Peer *Held = nullptr;
  std::string Head;
  Test.leaf("a", [&](const std::string &Asked, RawLeaf::Peer &To) {
    Held = &To;
    Head = Asked;
  });
  Test.routes(forward(RequestKind::NonIdempotent));
  boost::asio::steady_timer Later(Test.Io, Milliseconds(1));
  std::function<void()> Replace = [&] {
    Later.expires_after(Milliseconds(5));
    Later.async_wait([&](auto) {
      if (!Held) {
        Replace();
        return;
      }
      Test.Routes.replaceIfNewer(std::make_shared<const RouteTable>(
          2, std::vector<RouteSpec>{}, std::vector<ServiceSpec>{},
          CallerLimits{}));
      Test.Pool.update(Test.Registry, Test.Routes.get(), {}, {1}, Clock::now());
      Held->write(RawLeaf::answer(Head, "good"));
    });
  };
  Replace();
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
  DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 404);
}
