#include "citronlever/Core"
#include "citronlever/Edge"
#include "platform/HttpKeyStore.h"
#include "platform/PlatformDocuments.h"
#include "platform/WireNames.h"
#include "test/standins/KeyStoreServer.h"
#include "test/standins/RawLeaf.h"

#include <doctest/doctest.h>

#include <list>
#include <random>

using namespace citronlever;

namespace {

constexpr std::uint32_t Seed = 20261204;

/// Several EdgeNodes, a simulated store, leaves of two versions, and a caller
/// for each EdgeNode.
struct Fixture {
  struct Process {
    /// Separate, so that a process can be destroyed while calls are running.
    boost::asio::io_context Io;
    platform::HttpKeyStore Store;
    EdgeNode Node;

    Process(Fixture &Test, const EdgeSettings &Settings)
        : Store(this->Io, Test.Server.address()),
          Node(this->Io, Settings, this->Store, Test.Documents,
               platform::WireHeaders) {}
  };

  boost::asio::io_context Io;
  FakeKeyStore Backend{Io};
  KeyStoreServer Server{Io, Backend};
  platform::PlatformDocuments Documents;
  std::list<RawLeaf> Leaves;
  std::list<Process> Processes;
  std::mt19937 Random{Seed};
  std::map<std::string, int> Answers;
  int NewFailures = 0;

  Fixture() {
    this->Backend.PageSize = 500;
    this->Backend.put("op/config", Configuration);
    for (const char *Id : {"o1", "o2"})
      this->leaf(Id, "v1", 0);
    for (const char *Name : {"n1", "n2", "n3"})
      this->process(Name);
    DOCTEST_REQUIRE(this->until(Seconds(10), [&] {
      return std::ranges::all_of(this->Processes, [](const Process &Current) {
        return Current.Node.addresses("d1").size() == 3;
      });
    }));
  }

  void process(const std::string &Name) {
    EdgeSettings Settings;
    Settings.Name = Name;
    Settings.Domain = "d1";
    Settings.CallerEndpoint = this->freePort();
    Settings.PeerEndpoint = this->freePort();
    this->Processes.emplace_back(*this, Settings).Node.start();
  }

  Endpoint freePort() {
    boost::asio::ip::tcp::acceptor Free(
        this->Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", Free.local_endpoint().port()};
  }

  /// Adds a leaf that answers with status 500 with probability
  /// \p FailureRate.
  void leaf(const std::string &Id, const std::string &Version,
            double FailureRate) {
    this->Leaves.emplace_back(this->Io, [this, Version,
                                         FailureRate](const std::string &Head,
                                                      RawLeaf::Peer &To) {
      const bool IsFailure = std::uniform_real_distribution<double>(0, 1)(
                                 this->Random) < FailureRate;
      ++this->Answers[Version];
      this->NewFailures += IsFailure;
      const std::string Id = RawLeaf::field(Head, "Citronlever-Request-Id");
      To.write("HTTP/1.1 " + std::string(IsFailure ? "500 Failed" : "200 OK") +
               "\r\nCitronlever-Request-Id: " + Id +
               "\r\nCitronlever-Response-Seal: s\r\n"
               "Content-Length: 2\r\n\r\nok");
    });
    this->Backend.put(
        "servers/" + Id,
        R"({"service":"s","address":")" +
            toString(this->Leaves.back().address()) +
            R"(","zone":"d1","version":")" + Version +
            R"(","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1})");
  }

  void order(int Seconds) {
    this->Backend.put("op/rollout/s", R"({"service":"s","targetVersion":"v2",)"
                                      R"("durationS":)" +
                                          std::to_string(Seconds) + "}");
  }

  std::string status() const {
    const auto Found = this->Backend.Items.find("status/rollout/s");
    return Found == this->Backend.Items.end() ? "" : Found->second.Value;
  }

  bool ended() const {
    return this->status().find("active") == std::string::npos &&
           !this->status().empty();
  }

  /// \returns whether every process has stopped sending to the new version.
  bool allKnowRollback() const {
    return std::ranges::all_of(this->Processes, [](const Process &Current) {
      const std::string State = Current.Node.dump();
      return State.find(R"("phase":"taken_back")") != std::string::npos ||
             State.find(R"("found_bad":"")") == std::string::npos;
    });
  }

  void run(Duration Time) {
    const TimePoint End = Clock::now() + Time;
    do {
      this->Io.run_for(Milliseconds(1));
      for (Process &Current : this->Processes) {
        Current.Io.restart();
        Current.Io.poll();
      }
    } while (Clock::now() < End);
  }

  template <class Condition> bool until(Duration TimeLimit, Condition Done) {
    const TimePoint End = Clock::now() + TimeLimit;
    while (!Done() && Clock::now() < End)
      this->run(Milliseconds(2));
    return Done();
  }

  /// Sends one request per \p Pause, to the processes in turn, until \p Done
  /// returns true or \p TimeLimit has passed.
  template <class Condition>
  bool load(Duration TimeLimit, Duration Pause, Condition Done) {
    const TimePoint End = Clock::now() + TimeLimit;
    auto Next = this->Processes.begin();
    std::map<const Process *, std::shared_ptr<HttpClient>> Clients;
    int Count = 0;
    while (!Done() && Clock::now() < End) {
      auto &Client = Clients[&*Next];
      if (!Client)
        Client = std::make_shared<HttpClient>(
            this->Io, Next->Node.settings().CallerEndpoint);
      HttpRequest Request;
      Request.Target = "/p/x";
      Request.Headers.set("Host", "h.example");
      Request.Headers.set("Citronlever-Request-Id",
                          "r" + std::to_string(++Count));
      Request.Headers.set("Citronlever-Deadline-Ms", "1000");
      Client->send(std::move(Request), Seconds(1), [](const HttpResult &) {});
      if (++Next == this->Processes.end())
        Next = this->Processes.begin();
      this->run(Pause);
    }
    return Done();
  }

  static inline const std::string Configuration =
      R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/p/",)"
      R"("routeType":"idempotent","timeoutMs":900,"targetLatencyMs":200,)"
      R"("attempts":2,"priority":0,"service":"s"}],)"
      R"("services":[{"name":"s","maxConnections":40}]})";
};

} // namespace

DOCTEST_TEST_CASE(
    "the rollout of a good version completes before its deadline, "
    "and old leaves get no more requests") {
  Fixture Test;
  Test.leaf("new1", "v2", 0);
  Test.leaf("new2", "v2", 0);
  Test.order(12);
  DOCTEST_CHECK(
      Test.load(Seconds(12), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status() ==
                R"({"state":"completed","targetVersion":"v2"})");
  const int Old = Test.Answers["v1"];
  const int New = Test.Answers["v2"];
  Test.load(Milliseconds(500), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v1"] == Old);
  DOCTEST_CHECK(Test.Answers["v2"] > New);
}

DOCTEST_TEST_CASE("a bad version is rolled back after few requests") {
  DOCTEST_MESSAGE("seed ", Seed);
  Fixture Test;
  Test.leaf("new1", "v2", 0.5);
  Test.leaf("new2", "v2", 0.5);
  Test.order(12);
  DOCTEST_CHECK(
      Test.load(Seconds(12), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status() ==
                R"({"state":"rolled_back","targetVersion":"v2"})");
  DOCTEST_CHECK(Test.Answers["v2"] <= 50);
  // The status is written by one process; the others learn of it.
  DOCTEST_REQUIRE(Test.load(Seconds(1), Milliseconds(10),
                            [&] { return Test.allKnowRollback(); }));
  // Requests that were sent before are still on their way.
  Test.run(Milliseconds(100));
  const int New = Test.Answers["v2"];
  Test.load(Milliseconds(500), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v2"] == New);
}

DOCTEST_TEST_CASE(
    "a version found bad while the store is unreachable gets no more "
    "requests, and operators see the rollback when the store answers again") {
  Fixture Test;
  Test.leaf("new1", "v2", 0.6);
  Test.leaf("new2", "v2", 0.6);
  Test.order(20);
  DOCTEST_REQUIRE(Test.load(Seconds(5), Milliseconds(10),
                            [&] { return Test.Answers["v2"] > 0; }));
  Test.Backend.Down = true;
  Test.load(Seconds(5), Milliseconds(10), [&] { return false; });
  const int New = Test.Answers["v2"];
  DOCTEST_CHECK(New > 0);
  DOCTEST_CHECK(New <= 60);
  Test.load(Seconds(1), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v2"] == New);
  DOCTEST_CHECK(!Test.ended());
  Test.Backend.Down = false;
  DOCTEST_CHECK(
      Test.load(Seconds(8), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status().find("rolled_back") != std::string::npos);
}

DOCTEST_TEST_CASE("a rollout continues when its first leader is gone") {
  Fixture Test;
  Test.leaf("new1", "v2", 0);
  Test.leaf("new2", "v2", 0);
  Test.order(16);
  DOCTEST_REQUIRE(Test.load(Seconds(5), Milliseconds(10),
                            [&] { return !Test.status().empty(); }));
  Test.Processes.pop_front();
  DOCTEST_CHECK(
      Test.load(Seconds(16), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status().find("completed") != std::string::npos);
}

// Guards against a rollout that starts again because the store went back.
DOCTEST_TEST_CASE("a completed rollout stays completed when the store comes "
                  "back from a copy of before, and operators see it again") {
  Fixture Test;
  Test.leaf("new1", "v2", 0);
  Test.leaf("new2", "v2", 0);
  Test.order(12);
  DOCTEST_REQUIRE(Test.load(Seconds(5), Milliseconds(10),
                            [&] { return !Test.status().empty(); }));
  Test.Backend.saveCopy();
  DOCTEST_REQUIRE(
      Test.load(Seconds(12), Milliseconds(10), [&] { return Test.ended(); }));
  Test.load(Milliseconds(1500), Milliseconds(10), [] { return false; });
  const int Old = Test.Answers["v1"];
  Test.Backend.restore();
  DOCTEST_REQUIRE(!Test.ended());
  DOCTEST_CHECK(
      Test.load(Seconds(8), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status() ==
                R"({"state":"completed","targetVersion":"v2"})");
  // The operator writes what was lost again, also what wasn't.
  Test.order(12);
  Test.load(Seconds(3), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.ended());
  DOCTEST_CHECK(Test.Answers["v1"] == Old);
}

DOCTEST_TEST_CASE("a rollout goes on when the store comes back from a copy "
                  "without its order, and the order is written again") {
  Fixture Test;
  Test.leaf("new1", "v2", 0);
  Test.leaf("new2", "v2", 0);
  Test.Backend.saveCopy();
  const TimePoint Ordered = Clock::now();
  Test.order(16);
  DOCTEST_REQUIRE(Test.load(Seconds(5), Milliseconds(10),
                            [&] { return Test.Answers["v2"] > 0; }));
  Test.load(Seconds(2), Milliseconds(10), [] { return false; });
  Test.Backend.restore();
  const int New = Test.Answers["v2"];
  Test.load(Seconds(1), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v2"] > New);
  Test.Backend.put("other", "x");
  Test.order(16);
  DOCTEST_CHECK(Test.load(Ordered + Seconds(16) - Clock::now(),
                          Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status() ==
                R"({"state":"completed","targetVersion":"v2"})");
}
