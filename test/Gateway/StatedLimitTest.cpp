#include "test/Gateway/GatewayFixture.h"
#include "test/Gateway/LeafChannelFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

using Fixture = GatewayFixture;

namespace {

std::string limitedAnswer(const std::string &Head, const std::string &Limit) {
  return RawLeaf::answer(Head, "good", "X-Rate-Limit: " + Limit + "\r\n");
}

/// A leaf that states \p Limit in every answer.
RawLeaf::Serving states(const std::string &Limit) {
  return [Limit](const std::string &Head, RawLeaf::Peer &To) {
    To.write(limitedAnswer(Head, Limit));
  };
}

std::optional<double> statedBy(LeafPool &Pool, std::string_view Service) {
  return Pool.replicas(Service).front()->rateLimiter().stated().PerSecond;
}

} // namespace

DOCTEST_TEST_CASE("a leaf that states a limit gets no more, its sibling does") {
  Fixture Test;
  RawLeaf &Limited = Test.leaf("a", states("0.5"));
  Test.leaf("a", answers("good"));
  Test.routes(forward(RequestKind::Idempotent));
  while (Limited.Requests.empty())
    DOCTEST_REQUIRE(status(Test.ask(Fixture::request("/p/x"))) == 200);
  for (int Request = 0; Request < 30; ++Request)
    DOCTEST_CHECK(status(Test.ask(Fixture::request("/p/x"))) == 200);
  DOCTEST_CHECK(Limited.Requests.size() <= 2);
}

DOCTEST_TEST_CASE(
    "what no leaf may take is refused at once as not run, and the "
    "reason names the limit") {
  Fixture Test;
  RawLeaf &Limited = Test.leaf("a", states("0"));
  Test.routes(forward(RequestKind::NonIdempotent));
  DOCTEST_REQUIRE(status(Test.ask(Fixture::request("/p/x"))) == 200);
  const TimePoint Began = Clock::now();
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(Clock::now() - Began < WellBeforeTimeout);
  DOCTEST_CHECK(status(Response) == 503);
  DOCTEST_CHECK(!RawLeaf::field(Response, "Retry-After").empty());
  DOCTEST_CHECK(body(Response).find("not_run") != std::string::npos);
  DOCTEST_CHECK(body(Response).find("leaf-1 takes 0 per second") !=
                std::string::npos);
  DOCTEST_CHECK(Limited.Requests.size() == 1);
  DOCTEST_CHECK(Test.Pool.limitDenied() == 1);
}

DOCTEST_TEST_CASE("a query leaves out the shard whose leaf is at its limit") {
  Fixture Test;
  RawLeaf &Limited = Test.leaf("a", states("0"));
  Test.leaf("b", answers(std::string(16, 'b')));
  Test.leaf("c", answers(std::string(16, 'c')));
  Test.routes(scatter());
  DOCTEST_REQUIRE(status(Test.ask(Fixture::request("/p/x"))) == 200);
  const std::string Response = Test.ask(Fixture::request("/p/x"));
  DOCTEST_CHECK(status(Response) == 200);
  DOCTEST_CHECK(RawLeaf::field(Response, "X-Missing") == "1");
  DOCTEST_CHECK(Limited.Requests.size() == 1);
}

DOCTEST_TEST_CASE("an answer without a limit ends it") {
  Fixture Test;
  RawLeaf &Leaf = Test.leaf("a", states("1000"));
  Test.routes(forward(RequestKind::Idempotent));
  DOCTEST_REQUIRE(status(Test.ask(Fixture::request("/p/x"))) == 200);
  DOCTEST_CHECK(statedBy(Test.Pool, "a") == 1000);
  Leaf.Serve = answers("good");
  DOCTEST_REQUIRE(Test.runUntil(
      [&] { return status(Test.ask(Fixture::request("/p/x"))) == 200; }));
  DOCTEST_CHECK_FALSE(statedBy(Test.Pool, "a").has_value());
}

DOCTEST_TEST_CASE("of two stated limits the lower one holds, and one that "
                  "cannot be read changes nothing") {
  const std::vector<std::pair<std::string, std::optional<double>>> Cases = {
      {"7\r\nX-Rate-Limit: 3", 3.0},
      {"x\r\nX-Rate-Limit: 3", 3.0},
      {"-1", 5.0},
      {"nan", 5.0}};
  for (const auto &Case : Cases) {
    DOCTEST_CAPTURE(Case.first);
    LeafChannelFixture Test(states("5"));
    DOCTEST_REQUIRE((Test.callOnce("a").Outcome == ChannelOutcome::Answered));
    Test.Leaf.Serve = states(Case.first);
    DOCTEST_REQUIRE((Test.callOnce("b").Outcome == ChannelOutcome::Answered));
    DOCTEST_CHECK(Test.Channel->rateLimiter().stated().PerSecond ==
                  Case.second);
  }
}

DOCTEST_TEST_CASE("another leaf at the address states nothing for this one") {
  LeafChannelFixture Test([](const std::string &, RawLeaf::Peer &To) {
    To.write("HTTP/1.1 421 Misdirected\r\nX-Rate-Limit: 1\r\n"
             "Content-Length: 0\r\n\r\n");
  });
  DOCTEST_REQUIRE((Test.callOnce("a").Outcome == ChannelOutcome::NotRun));
  DOCTEST_CHECK_FALSE(Test.Channel->rateLimiter().isLimited());
}

DOCTEST_TEST_CASE(
    "calls that wait for a connection are not sent beyond a limit "
    "that is stated meanwhile") {
  LeafChannelFixture Test(unresponsive);
  std::vector<ChannelAnswer> Answers;
  RawLeaf::Peer *First = nullptr;
  std::string Head;
  Test.Channel->setMaxConnections(1);
  Test.Leaf.Serve = [&](const std::string &Request, RawLeaf::Peer &To) {
    First = &To;
    Head = Request;
  };
  for (const char *Id : {"a", "b", "c"})
    Test.call(Id, Answers);
  DOCTEST_REQUIRE(Test.runUntil([&] { return First != nullptr; }));
  First->write(limitedAnswer(Head, "0.5"));
  DOCTEST_REQUIRE(Test.runUntil([&] { return Answers.size() == 3; }));
  DOCTEST_CHECK((Answers[0].Outcome == ChannelOutcome::NotSent));
  DOCTEST_CHECK((Answers[1].Outcome == ChannelOutcome::NotSent));
  DOCTEST_CHECK((Answers[2].Outcome == ChannelOutcome::Answered));
  DOCTEST_CHECK(Test.Leaf.Requests.size() == 1);
}

DOCTEST_TEST_CASE("what one process was told reaches another one's leaf") {
  Fixture Teller;
  Fixture Listener;
  Teller.leaf("a", states("2.5"));
  Listener.leaf("a", answers("good"));
  Teller.routes(forward(RequestKind::Idempotent));
  Listener.routes(forward(RequestKind::Idempotent));
  DOCTEST_REQUIRE(status(Teller.ask(Fixture::request("/p/x"))) == 200);
  const auto Notices = Teller.Pool.takeLimitNotices(Clock::now());
  DOCTEST_REQUIRE(Notices.size() == 1);
  DOCTEST_CHECK(Teller.Pool.takeLimitNotices(Clock::now()).empty());
  Listener.Pool.onLimitNotice(Notices.front(), Clock::now());
  DOCTEST_CHECK(statedBy(Listener.Pool, "a") == 2.5);
  LimitNotice Wrong = Notices.front();
  Wrong.AgeMs = 0;
  for (const double Rate : {-1.0, std::nan(""), HUGE_VAL}) {
    Wrong.PerSecond = Rate;
    Listener.Pool.onLimitNotice(Wrong, Clock::now() + Seconds(1));
  }
  Wrong = Notices.front();
  Wrong.Incarnation = 99;
  Listener.Pool.onLimitNotice(Wrong, Clock::now() + Seconds(1));
  DOCTEST_CHECK(statedBy(Listener.Pool, "a") == 2.5);
}
