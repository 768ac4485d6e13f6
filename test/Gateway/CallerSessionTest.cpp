#include "test/Gateway/GatewayFixture.h"

#include <doctest/doctest.h>

#include <thread>

using namespace citronlever;

// Guards against the close of a connection whose answer is being written: the
// timeout for the header had expired before the end of the header was read.
DOCTEST_TEST_CASE("a timeout that expires while its request arrives does not "
                  "end the connection") {
  GatewayFixture Test;
  Test.routes(forward(RequestKind::Idempotent));
  const std::string Unknown =
      "GET /unknown HTTP/1.1\r\nHost: h.example\r\n\r\n";
  KeptConnection Caller(Test, std::string_view(Unknown).substr(0, 10));
  Test.Io.run_for(Milliseconds(20));
  Caller.send(std::string_view(Unknown).substr(10));
  // Longer than the timeout for a header.
  std::this_thread::sleep_for(Milliseconds(150));
  Test.Io.run_for(Milliseconds(50));
  Caller.send(Unknown);
  const auto SecondAnswer = [&] {
    return Caller.received().find("HTTP/1.1", 1);
  };
  DOCTEST_CHECK(
      Test.runUntil([&] { return SecondAnswer() != std::string::npos; }));
  DOCTEST_CHECK(status(Caller.received()) == 404);
}
