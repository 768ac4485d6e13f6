#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <functional>
#include <thread>

using namespace citronlever;

namespace {

using Fixture = GatewayFixture;

} // namespace

DOCTEST_TEST_CASE("a request that is not admitted is rejected as not run "
                  "within a quarter of its objective") {
  Fixture Test;
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  AdmissionController &Controller = Test.Context.admission("a").Controller;
  while (Controller.tryAdmit()) {
  }
  const TimePoint Began = Clock::now();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 503);
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
  DOCTEST_CHECK(std::stod(RawLeaf::field(Response, "Retry-After")) > 0);
  DOCTEST_CHECK(Test.Leaves[0]->Requests.empty());
  DOCTEST_CHECK(Controller.waiting() == 0);
  Controller.release();
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
  DOCTEST_CHECK(Controller.running() == AdmissionController::MaxLimit - 1);
}

DOCTEST_TEST_CASE("a waiting request is served as soon as a slot is free, and "
                  "dropped when its caller disconnects") {
  Fixture Test;
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  AdmissionController &Controller = Test.Context.admission("a").Controller;
  while (Controller.tryAdmit()) {
  }
  {
    boost::asio::ip::tcp::socket Gone(Test.Io);
    Gone.connect(
        {boost::asio::ip::make_address("127.0.0.1"), Test.Address.Port});
    boost::asio::write(Gone, boost::asio::buffer(Fixture::request("/p/x")));
    DOCTEST_REQUIRE(Test.runUntil([&] { return Controller.waiting() == 1; }));
  }
  DOCTEST_CHECK(Test.runUntil([&] { return Controller.waiting() == 0; }));
  DOCTEST_CHECK(Test.Leaves[0]->Requests.empty());
  boost::asio::steady_timer Room(Test.Io, Milliseconds(20));
  Room.async_wait([&](auto) {
    Controller.release();
    Test.Context.admission("a").notify(Controller.admitNext(), true);
  });
  DOCTEST_CHECK(body(Test.ask(Fixture::request("/p/x"))) == "good");
}

// Guards against a 503 ("not run") for a request that a leaf then runs: it was
// admitted after its wait had expired, and before the expiry was handled.
DOCTEST_TEST_CASE("a request admitted at the moment its wait expires is served "
                  "and not refused as well") {
  Fixture Test;
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::NonIdempotent));
  AdmissionController &Controller = Test.Context.admission("a").Controller;
  while (Controller.tryAdmit()) {
  }
  boost::asio::steady_timer Poll(Test.Io);
  std::function<void()> AdmitLate = [&] {
    Poll.expires_after(Milliseconds(1));
    Poll.async_wait([&](auto) {
      if (Controller.waiting() == 0) {
        AdmitLate();
        return;
      }
      Poll.expires_after(Milliseconds(1));
      Poll.async_wait([&](auto) {
        Controller.release();
        Test.Context.admission("a").notify(Controller.admitNext(), true);
      });
      // Longer than the wait, a tenth of the objective: both timers expire
      // before either is handled.
      std::this_thread::sleep_for(Milliseconds(80));
    });
  };
  AdmitLate();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 200);
  DOCTEST_CHECK(Test.Leaves[0]->Requests.size() == 1);
}
