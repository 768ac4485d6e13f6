#include "test/Entry/EntryFixture.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace citronlever;

namespace {

std::optional<BrokerReply> noReply(const BrokerCall &) { return std::nullopt; }

} // namespace

DOCTEST_TEST_CASE("a query over HTTP gets the merged answer of all brokers") {
  EntryFixture Fixture;
  const HttpResponse Answer = Fixture.ask(Fixture.request("/v1/bench/lookup"));
  DOCTEST_CHECK(Answer.Status == 200);
  DOCTEST_CHECK(Answer.Headers.get("X-Coverage") == "16/16");
  DOCTEST_CHECK(Answer.Headers.get("X-Verdict") == "ran");
  DOCTEST_CHECK(Answer.Headers.get("X-Snapshot") == "s1");
  const boost::json::value Body = boost::json::parse(Answer.Body);
  std::vector<std::vector<Row>> All;
  for (std::uint32_t Shard = 0; Shard < EntryFixture::Shards; ++Shard)
    All.push_back(rowsOf(Shard, "s1"));
  const std::vector<Row> Expected = mergeRows(All, 10);
  DOCTEST_REQUIRE(Body.at("rows").as_array().size() == Expected.size());
  for (std::size_t Index = 0; Index < Expected.size(); ++Index)
    DOCTEST_CHECK(Body.at("rows").at(Index) ==
                  boost::json::parse(Expected[Index].Body));
}

DOCTEST_TEST_CASE("a call to a broker has the customer and its hedge budget") {
  EntryFixture Fixture;
  std::atomic<int> Right{0};
  std::atomic<int> Calls{0};
  const auto Look = [&](const BrokerCall &Call) {
    ++Calls;
    Right += Call.Customer == "a" && Call.HedgeBudget == Contract().HedgeBudget;
    return std::optional(answerTo(Call));
  };
  Fixture.First.setScript(Look);
  Fixture.Second.setScript(Look);
  Fixture.ask(Fixture.request("/v1/bench/lookup"));
  DOCTEST_CHECK(Calls > 0);
  DOCTEST_CHECK(Right == Calls);
}

DOCTEST_TEST_CASE("malformed and unknown requests are refused as not run") {
  EntryFixture Fixture;
  const auto StatusOf = [&](HttpRequest Request) {
    const HttpResponse Answer = Fixture.ask(std::move(Request));
    DOCTEST_CHECK(Answer.Headers.get("X-Verdict") == "not_run");
    return Answer.Status;
  };
  HttpRequest Malformed = Fixture.request("/v1/bench/lookup");
  Malformed.Body = "{";
  DOCTEST_CHECK(StatusOf(Malformed) == 400);
  Malformed.Body = "{\"limit\":1001}";
  DOCTEST_CHECK(StatusOf(Malformed) == 400);
  DOCTEST_CHECK(StatusOf(Fixture.request("/v1/other/lookup")) == 404);
  DOCTEST_CHECK(StatusOf(Fixture.request("/v1/bench/other")) == 404);
  DOCTEST_CHECK(StatusOf(Fixture.get("/v1/bench/lookup")) == 405);
  DOCTEST_CHECK(StatusOf(Fixture.request("/v1/bench/lookup", "b")) == 403);
}

DOCTEST_TEST_CASE("a silent owner is avoided after its first calls") {
  EntryFixture Fixture;
  Fixture.First.setScript(noReply);
  DOCTEST_CHECK(eventually([&] {
    return Fixture.ask(Fixture.request("/v1/bench/lookup")).Status == 200;
  }));
  DOCTEST_CHECK(Fixture.Second.StandByCalls > 0);
}

DOCTEST_TEST_CASE("a lost owner's calls go to the stand-by within the query") {
  EntryFixture Fixture;
  Fixture.First.setScript(noReply);
  const int Before = Fixture.First.Calls;
  auto Pending = Fixture.send(Fixture.request("/v1/bench/lookup"));
  DOCTEST_REQUIRE(eventually([&] { return Fixture.First.Calls > Before; }));
  Fixture.First.Hub.stop();
  const HttpResponse Answer = Pending.get().Response;
  DOCTEST_CHECK(Answer.Status == 200);
  DOCTEST_CHECK(Answer.Headers.get("X-Coverage") == "16/16");
}

DOCTEST_TEST_CASE("a caller that goes away has its calls cancelled") {
  EntryFixture Fixture;
  Fixture.First.setScript(noReply);
  Fixture.Second.setScript(noReply);
  const int Before = Fixture.First.Calls + Fixture.Second.Calls;
  {
    boost::asio::io_context Own;
    std::promise<void> Ended;
    HttpClient Leaving(Own, Fixture.Address);
    Leaving.send(Fixture.request("/v1/bench/create"), Milliseconds(100),
                 [&](const HttpResult &) { Ended.set_value(); });
    Own.run();
    Ended.get_future().wait();
  }
  DOCTEST_CHECK(eventually(
      [&] { return Fixture.First.Cancels + Fixture.Second.Cancels == 1; }));
  DOCTEST_CHECK(Fixture.First.Calls + Fixture.Second.Calls == Before + 1);
}

DOCTEST_TEST_CASE("a customer above its rate is refused and others are not") {
  EntryFixture Fixture;
  Contract Small;
  Small.Customer = "small";
  Small.Rate = 1;
  Small.Burst = 2;
  Fixture.setContract(Small);
  int Refused = 0;
  for (int Index = 0; Index < 30; ++Index) {
    const HttpResponse Answer =
        Fixture.ask(Fixture.request("/v1/bench/lookup", "small"));
    Refused += Answer.Status == 429 ? 1 : 0;
  }
  DOCTEST_CHECK(Refused >= 20);
  DOCTEST_CHECK(Fixture.ask(Fixture.request("/v1/bench/lookup")).Status == 200);
}

DOCTEST_TEST_CASE("discovery lists live entries without those being stopped") {
  EntrySettings Settings;
  Settings.DiscoveryTtl = Milliseconds(200);
  EntryFixture Fixture(Settings);
  const auto Discover = [&] {
    return Fixture.ask(Fixture.get("/v1/entries?customer=a")).Body;
  };
  const std::string Both = Discover();
  DOCTEST_CHECK(Both.find(toString(Fixture.Address)) != std::string::npos);
  DOCTEST_CHECK(Both.find(toString(Fixture.OtherAddress)) != std::string::npos);
  DOCTEST_CHECK(Fixture.ask(Fixture.get("/v1/health")).Status == 200);

  Fixture.First.setScript(noReply);
  const int Before = Fixture.First.Calls;
  auto InFlight = Fixture.send(Fixture.request("/v1/bench/lookup"));
  DOCTEST_REQUIRE(eventually([&] { return Fixture.First.Calls > Before; }));
  std::promise<void> Done;
  Fixture.Server->drain([&] { Done.set_value(); });
  Fixture.First.setScript(
      [](const BrokerCall &Call) { return std::optional(answerTo(Call)); });
  const HttpResponse Late = Fixture.ask(Fixture.request("/v1/bench/lookup"));
  DOCTEST_CHECK(Late.Status == 200);
  DOCTEST_CHECK(Late.Headers.get("X-Entries") ==
                toString(Fixture.OtherAddress));
  DOCTEST_CHECK(Late.Headers.get("Connection") == "close");
  DOCTEST_CHECK(Fixture.ask(Fixture.get("/v1/health")).Status == 503);
  DOCTEST_CHECK(Discover() == "{\"entries\":[\"" +
                                  toString(Fixture.OtherAddress) +
                                  "\"],\"ttl_ms\":200}");
  DOCTEST_CHECK(InFlight.get().Response.Status != 0);
  DOCTEST_CHECK(Done.get_future().wait_for(std::chrono::seconds(20)) ==
                std::future_status::ready);
  const HttpResponse Refused = Fixture.ask(Fixture.request("/v1/bench/lookup"));
  DOCTEST_CHECK(Refused.Status == 503);
  DOCTEST_CHECK(Refused.Headers.get("X-Verdict") == "not_run");
}

DOCTEST_TEST_CASE("the dump has phase, routes and customers") {
  EntryFixture Fixture;
  const boost::json::value Dump = Fixture.Server->dump(Clock::now());
  DOCTEST_CHECK(Dump.at("phase").as_string() == "serving");
  DOCTEST_CHECK(Dump.at("routes").at(0).at("route").as_string() == "lookup");
  DOCTEST_CHECK(Dump.at("customers").at(0).at("customer").as_string() == "a");
  DOCTEST_REQUIRE(Fixture.Server->routeStats(Clock::now()).size() == 1);
  DOCTEST_CHECK(Fixture.Server->routeStats(Clock::now())[0].Requests >= 1);
}
