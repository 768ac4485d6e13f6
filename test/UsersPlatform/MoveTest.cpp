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

/// A fleet of this system's processes, a store, leaves of two versions and a
/// caller for each process.
struct Fixture {
  struct Process {
    /// Of its own, so that it can end in the middle of everything.
    boost::asio::io_context Io;
    platform::HttpKeyStore Store;
    EdgeNode Node;

    Process(Fixture &Test, const EdgeSettings &Settings)
        : Store(this->Io, Test.Server.address()),
          Node(this->Io, Settings, this->Store, Test.Documents,
               platform::WireHeaders) {}
  };

  boost::asio::io_context Io;
  FakeKeyStore Held{Io};
  KeyStoreServer Server{Io, Held};
  platform::PlatformDocuments Documents;
  std::list<RawLeaf> Leaves;
  std::list<Process> Processes;
  std::mt19937 Random{Seed};
  std::map<std::string, int> Answers;
  int NewFailures = 0;

  Fixture() {
    this->Held.PageSize = 500;
    this->Held.put("op/config", Configuration);
    for (const char *Id : {"o1", "o2"})
      this->leaf(Id, "v1", 0);
    for (const char *Name : {"n1", "n2", "n3"})
      this->process(Name);
    DOCTEST_REQUIRE(this->until(Seconds(10), [&] {
      return std::ranges::all_of(this->Processes, [](const Process &One) {
        return One.Node.addresses("d1").size() == 3;
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

  /// A leaf whose answers fail with the chance \p Failing.
  void leaf(const std::string &Id, const std::string &Version, double Failing) {
    this->Leaves.emplace_back(this->Io, [this, Version,
                                         Failing](const std::string &Head,
                                                  RawLeaf::Peer &To) {
      const bool Fails =
          std::uniform_real_distribution<double>(0, 1)(this->Random) < Failing;
      ++this->Answers[Version];
      this->NewFailures += Fails;
      const std::string Id = RawLeaf::field(Head, "Citronlever-Request-Id");
      To.write("HTTP/1.1 " + std::string(Fails ? "500 Failed" : "200 OK") +
               "\r\nCitronlever-Request-Id: " + Id +
               "\r\nCitronlever-Response-Seal: s\r\n"
               "Content-Length: 2\r\n\r\nok");
    });
    this->Held.put(
        "servers/" + Id,
        R"({"service":"s","address":")" +
            toString(this->Leaves.back().address()) +
            R"(","zone":"d1","version":")" + Version +
            R"(","slots":2,"state":"ready","warmupLeftMs":0,"sequence":1,"born":1})");
  }

  void order(int Seconds) {
    this->Held.put("op/rollout/s", R"({"service":"s","targetVersion":"v2",)"
                                   R"("durationS":)" +
                                       std::to_string(Seconds) + "}");
  }

  std::string status() const {
    const auto Found = this->Held.Items.find("status/rollout/s");
    return Found == this->Held.Items.end() ? "" : Found->second.Value;
  }

  bool ended() const {
    return this->status().find("active") == std::string::npos &&
           !this->status().empty();
  }

  void run(Duration Time) {
    const TimePoint End = Clock::now() + Time;
    do {
      this->Io.run_for(Milliseconds(1));
      for (Process &One : this->Processes) {
        One.Io.restart();
        One.Io.poll();
      }
    } while (Clock::now() < End);
  }

  template <class Condition> bool until(Duration Longest, Condition Holds) {
    const TimePoint End = Clock::now() + Longest;
    while (!Holds() && Clock::now() < End)
      this->run(Milliseconds(2));
    return Holds();
  }

  /// One request each \p Pause, to the processes in turn, until \p Holds.
  template <class Condition>
  bool load(Duration Longest, Duration Pause, Condition Holds) {
    const TimePoint End = Clock::now() + Longest;
    auto Next = this->Processes.begin();
    std::map<const Process *, std::shared_ptr<HttpClient>> Clients;
    int Count = 0;
    while (!Holds() && Clock::now() < End) {
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
    return Holds();
  }

  static inline const std::string Configuration =
      R"({"version":3,"routes":[{"name":"r","host":"h.example","prefix":"/p/",)"
      R"("routeType":"idempotent","timeoutMs":900,"targetLatencyMs":200,)"
      R"("attempts":2,"priority":0,"service":"s"}],)"
      R"("services":[{"name":"s","maxConnections":40}]})";
};

} // namespace

DOCTEST_TEST_CASE("a good version is moved to by the order's time, and the old "
                  "leaves get nothing more") {
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

DOCTEST_TEST_CASE("a bad version is taken back after little traffic") {
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
  const int New = Test.Answers["v2"];
  Test.load(Milliseconds(500), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v2"] == New);
}

DOCTEST_TEST_CASE(
    "a version found bad while the store is away gets nothing, and "
    "operators are told when the store is back") {
  Fixture Test;
  Test.leaf("new1", "v2", 0.6);
  Test.leaf("new2", "v2", 0.6);
  Test.order(20);
  DOCTEST_REQUIRE(Test.load(Seconds(5), Milliseconds(10),
                            [&] { return Test.Answers["v2"] > 0; }));
  Test.Held.Down = true;
  Test.load(Seconds(5), Milliseconds(10), [&] { return false; });
  const int New = Test.Answers["v2"];
  DOCTEST_CHECK(New > 0);
  DOCTEST_CHECK(New <= 60);
  Test.load(Seconds(1), Milliseconds(10), [] { return false; });
  DOCTEST_CHECK(Test.Answers["v2"] == New);
  DOCTEST_CHECK(!Test.ended());
  Test.Held.Down = false;
  DOCTEST_CHECK(
      Test.load(Seconds(8), Milliseconds(10), [&] { return Test.ended(); }));
  DOCTEST_CHECK(Test.status().find("rolled_back") != std::string::npos);
}

DOCTEST_TEST_CASE("a move goes on when the process that leads it is gone") {
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
