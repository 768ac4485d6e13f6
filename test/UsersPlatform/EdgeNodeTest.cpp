#include "citronlever/Core"
#include "citronlever/Edge"
#include "platform/DiscoveryHandlers.h"
#include "platform/HttpKeyStore.h"
#include "platform/PlatformDocuments.h"
#include "platform/WireNames.h"
#include "test/standins/KeyStoreServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <fstream>

using namespace citronlever;

namespace {

constexpr std::string_view Configuration =
    R"({"version":3,"routes":[],"services":[]})";

/// A complete EdgeNode with a simulated store.
struct Fixture {
  boost::asio::io_context Io;
  FakeKeyStore Backend{Io};
  KeyStoreServer Server{Io, Backend};
  platform::HttpKeyStore Store{Io, Server.address()};
  platform::PlatformDocuments Documents;
  EdgeNode Node;

  explicit Fixture(const std::string &Name = "n1")
      : Node(Io, settings(Name), Store, Documents, platform::WireHeaders) {}

  Endpoint freePort() {
    boost::asio::ip::tcp::acceptor Free(
        this->Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", Free.local_endpoint().port()};
  }

  EdgeSettings settings(const std::string &Name) {
    EdgeSettings Result;
    Result.Name = Name;
    Result.Domain = "d1";
    Result.CallerEndpoint = this->freePort();
    Result.PeerEndpoint = this->freePort();
    Result.StopTimeout = Seconds(6);
    Result.DirectoryTimeToLive = Milliseconds(50);
    return Result;
  }

  template <class Condition> bool until(Condition Holds) {
    const TimePoint End = Clock::now() + Seconds(20);
    while (!Holds() && Clock::now() < End)
      this->Io.run_for(Milliseconds(5));
    return Holds();
  }

  int ask(const HttpHandler &Handler, const std::string &Target,
          std::string *Body = nullptr) {
    auto Request = std::make_shared<HttpRequest>();
    Request->Target = Target;
    int Status = 0;
    Handler(Request, [&](const HttpResponse &Response) {
      Status = Response.Status;
      if (Body)
        *Body = Response.Body;
    });
    return Status;
  }
};

} // namespace

DOCTEST_TEST_CASE("a process is ready after it has read a configuration, and "
                  "gives callers its own address") {
  Fixture Test;
  const HttpHandler Ready = platform::readyHandler(Test.Node);
  const HttpHandler Directory = platform::directoryHandler(Test.Node);
  Test.Node.start();
  Test.Io.run_for(Milliseconds(50));
  DOCTEST_CHECK(Test.ask(Ready, "/v1/ready") == 503);
  DOCTEST_CHECK(Test.ask(Directory, "/v1/resolve?zone=d1") == 503);
  Test.Backend.put("op/config", std::string(Configuration));
  DOCTEST_CHECK(Test.until([&] { return Test.Node.isReady(); }));
  DOCTEST_CHECK(Test.ask(Ready, "/v1/ready") == 200);
  std::string Body;
  DOCTEST_CHECK(Test.until([&] {
    return Test.ask(Directory, "/v1/resolve?zone=d1", &Body) == 200;
  }));
  DOCTEST_CHECK(Body.find(toString(Test.Node.settings().CallerEndpoint)) !=
                std::string::npos);
  DOCTEST_CHECK(Test.ask(metricsHandler(Test.Node), "/metrics", &Body) == 200);
  DOCTEST_CHECK(Body.find("citronlever_route_version 3") != std::string::npos);
}

DOCTEST_TEST_CASE("a planned stop ends readiness at once and finishes within "
                  "its time limit") {
  Fixture Test;
  Test.Backend.put("op/config", std::string(Configuration));
  Test.Node.start();
  DOCTEST_REQUIRE(
      Test.until([&] { return !Test.Node.addresses("d1").empty(); }));
  bool Stopped = false;
  const TimePoint Began = Clock::now();
  Test.Node.stop([&] { Stopped = true; });
  DOCTEST_CHECK(!Test.Node.isReady());
  DOCTEST_CHECK(Test.until([&] { return Stopped; }));
  DOCTEST_CHECK(Clock::now() - Began < Seconds(6));
  DOCTEST_CHECK(Test.until([&] {
    return !Test.Backend.Items.contains(Test.Documents.memberKey("n1"));
  }));
}

DOCTEST_TEST_CASE("invalid settings are reported with field and reason") {
  const std::string Path = "edge_settings_test.json";
  const auto Read = [&](const std::string &Text) {
    std::ofstream(Path) << Text;
    return readEdgeSettings(Path);
  };
  const std::string Good =
      R"({"name":"n","domain":"d","callers":"10.0.0.1:1","ready":"10.0.0.1:2",)"
      R"("directory":"10.0.0.1:3","peers":"10.0.0.1:4","store":"10.0.0.2:5",)"
      R"("processor_share":0.25,"cores":2,"extra_send_ratio":0.2,)"
      R"("extra_send_slack":56)";
  DOCTEST_CHECK(Read(Good + "}").CapacityCores == 0.5);
  DOCTEST_CHECK_THROWS_WITH_AS(Read(Good + R"(,"stop_ms":-1})"),
                               doctest::Contains("stop_ms"), SettingsError);
  DOCTEST_CHECK_THROWS_WITH_AS(Read(Good + R"(,"typo":1})"),
                               doctest::Contains("typo"), SettingsError);
  DOCTEST_CHECK_THROWS_AS(Read("{"), SettingsError);
  std::remove(Path.c_str());
}

// Guards against requests to a failure domain that operators have closed.
DOCTEST_TEST_CASE("a closed failure domain stays closed when the store comes "
                  "back from a copy of before, until the operator opens it") {
  Fixture Test;
  const auto KnowsLeaf = [&] {
    return Test.Node.dump().find(R"("id":"i-1")") != std::string::npos;
  };
  Test.Backend.put("op/config", std::string(Configuration));
  Test.Backend.put("servers/i-1",
                   R"({"service":"s","address":"127.0.0.1:9","zone":"z1",)"
                   R"("version":"v1","slots":2,"state":"ready",)"
                   R"("warmupLeftMs":0,"sequence":1,"born":1})");
  Test.Node.start();
  DOCTEST_REQUIRE(Test.until(KnowsLeaf));
  Test.Backend.saveCopy();
  Test.Backend.put("op/evacuate/z1", "{}");
  DOCTEST_REQUIRE(Test.until([&] { return !KnowsLeaf(); }));
  Test.Backend.restore();
  Test.Io.run_for(Seconds(3));
  DOCTEST_CHECK_FALSE(KnowsLeaf());
  Test.Backend.put("op/evacuate/z1", "{}");
  Test.Io.run_for(Seconds(1));
  Test.Backend.erase("op/evacuate/z1");
  DOCTEST_CHECK(Test.until(KnowsLeaf));
}

DOCTEST_TEST_CASE(
    "the newest configuration stays in force when the store comes "
    "back from an older copy, and the next one takes effect") {
  Fixture Test;
  const auto Version = [&] {
    for (const auto &[Name, Value] : Test.Node.metrics())
      if (Name == "route_version")
        return Value;
    return 0.0;
  };
  const auto Write = [&](int Number) {
    Test.Backend.put("op/config", R"({"version":)" + std::to_string(Number) +
                                      R"(,"routes":[],"services":[]})");
  };
  Write(3);
  Test.Node.start();
  DOCTEST_REQUIRE(Test.until([&] { return Version() == 3; }));
  Test.Backend.saveCopy();
  Write(10);
  DOCTEST_REQUIRE(Test.until([&] { return Version() == 10; }));
  Test.Backend.restore();
  Test.Io.run_for(Seconds(2));
  DOCTEST_CHECK(Version() == 10);
  Write(12);
  DOCTEST_CHECK(Test.until([&] { return Version() == 12; }));
}
