#include "platform/PlatformDocuments.h"

#include "citronlever/Core"
#include "citronlever/Rollout"

#include "test/standins/FakeKeyStore.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace citronlever;

namespace {

constexpr std::string_view Configuration = R"({
  "version": 7, "new": {},
  "routes": [
    {"name":"r1","host":"h.example","prefix":"/a/","routeType":"idempotent",
     "timeoutMs":800,"targetLatencyMs":50,"priority":2,"fanout":["s1","s2"],
     "attempts":2,"topK":5,"minCoverage":0.75},
    {"name":"r2","host":"h.example","prefix":"/b/","routeType":"non_idempotent",
     "timeoutMs":6000,"targetLatencyMs":400,"priority":0,"attempts":3,
     "backends":[{"service":"s3","weight":3},{"service":"s4","weight":1}]},
    {"name":"broken","host":7,"prefix":"/c/","routeType":"idempotent"}],
  "services": [{"name":"s1","healthPath":"/health","maxConnections":26,
                "protocol":"h1","tls":false,"warmupS":3.0,"warmupPerS":20.0}],
  "limits": {"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,
             "idleTimeoutMs":15000}})";

/// Records what a document was decoded to, as text.
struct RecordingSink final : DocumentSink {
  std::vector<std::string> Events;

  void onLeaf(LeafEntry Entry) override {
    this->Events.push_back("leaf " + Entry.Id);
  }
  void onLeafRemoved(std::string_view Id) override {
    this->Events.push_back("leaf gone " + std::string(Id));
  }
  void onRoutes(RouteTablePtr Table) override {
    this->Events.push_back("routes " + std::to_string(Table->version()));
  }
  void onDomainClosed(std::string_view Domain, bool Closed) override {
    this->Events.push_back(std::string(Closed ? "closed " : "open ") +
                           std::string(Domain));
  }
  void onVersionOrdered(RolloutRequest Order) override {
    this->Events.push_back("order " + Order.Service + "=" + Order.Version +
                           " " + std::to_string(toMs(Order.Deadline)));
  }
  void onOrderWithdrawn(std::string_view Service) override {
    this->Events.push_back("order " + std::string(Service) + "=");
  }
  void onMoveWritten(RolloutDocument State, StoreRevision Revision) override {
    this->Events.push_back("move " + State.Id + " at " +
                           std::to_string(Revision.Number));
  }
  void onMember(FleetMember Member) override {
    this->Events.push_back("member " + Member.Name);
  }
  void onMemberRemoved(std::string_view Name) override {
    this->Events.push_back("member gone " + std::string(Name));
  }
};

std::string leafEntry(std::string_view State, std::string_view Slots = "2") {
  return R"({"service":"s1","address":"10.0.0.1:80","zone":"z1","version":"v1",)"
         R"("slots":)" +
         std::string(Slots) + R"(,"state":")" + std::string(State) +
         R"(","warmupLeftMs":1500,"sequence":4,"born":1792972644817})";
}

} // namespace

DOCTEST_TEST_CASE(
    "decodes the routes, services and limits of a configuration") {
  const RouteTablePtr Table = platform::decodeRoutes(Configuration);
  DOCTEST_CHECK(Table->version() == 7);
  const RouteSpec *ShardedRoute = Table->match("h.example", "/a/x");
  DOCTEST_REQUIRE(ShardedRoute);
  DOCTEST_CHECK(ShardedRoute->Shards == std::vector<std::string>{"s1", "s2"});
  DOCTEST_CHECK((ShardedRoute->Kind == RequestKind::Idempotent));
  DOCTEST_CHECK(ShardedRoute->MinCoverage == 0.75);
  DOCTEST_CHECK((ShardedRoute->LatencyObjective == Milliseconds(50)));
  const RouteSpec *WeightedRoute = Table->match("h.example", "/b/x");
  DOCTEST_REQUIRE(WeightedRoute);
  DOCTEST_CHECK((WeightedRoute->Kind == RequestKind::NonIdempotent));
  DOCTEST_CHECK(WeightedRoute->Targets.size() == 2);
  DOCTEST_CHECK(WeightedRoute->Targets[0].Weight == 3);
  DOCTEST_CHECK(Table->findService("s1")->ConnectionCap == 26);
  DOCTEST_CHECK(Table->findService("s1")->ColdRatePerSecond == 20);
  DOCTEST_CHECK(Table->limits().MaxBodyBytes == 1000);
}

DOCTEST_TEST_CASE("skips a route that can't be decoded and keeps the others") {
  DOCTEST_CHECK(platform::decodeRoutes(Configuration)->routes().size() == 2);
  DOCTEST_CHECK_THROWS_AS(platform::decodeRoutes("{}"), DecodeError);
  DOCTEST_CHECK_THROWS_AS(platform::decodeRoutes("[1"), DecodeError);
}

DOCTEST_TEST_CASE("decodes the registration of a leaf") {
  const LeafEntry Leaf = platform::decodeLeaf("i-1", leafEntry("ready"));
  DOCTEST_CHECK(Leaf.Id == "i-1");
  DOCTEST_CHECK(Leaf.Incarnation == 1792972644817);
  DOCTEST_CHECK((Leaf.Address == Endpoint{"10.0.0.1", 80}));
  DOCTEST_CHECK((Leaf.ColdTimeLeft == Milliseconds(1500)));
  DOCTEST_CHECK(!Leaf.Draining);
  DOCTEST_CHECK(platform::decodeLeaf("i-1", leafEntry("draining")).Draining);
}

DOCTEST_TEST_CASE(
    "a registration that can't be decoded counts as the removal of its leaf") {
  const platform::PlatformDocuments Documents;
  RecordingSink Sink;
  const std::vector<std::string> Malformed = {
      leafEntry("sleeping"),
      leafEntry("ready", "\"2\""),
      leafEntry("ready", "2.5"),
      R"({"service":"s1"})",
      "not json",
      "",
      R"([])",
      R"({"service":1,"address":"10.0.0.1:80"})",
      std::string("\xff\xfe\0", 3)};
  for (const std::string &Value : Malformed)
    Documents.read({"servers/i-1", Value, firstEra(1), false}, Sink);
  DOCTEST_CHECK(Sink.Events ==
                std::vector<std::string>(Malformed.size(), "leaf gone i-1"));
}

DOCTEST_TEST_CASE("an odd entry among those of the leaves is logged once and "
                  "does not hide the others") {
  int Logged = 0;
  setEventSink([&](const EventKind &Kind, std::string_view) {
    Logged += Kind.Number == event::LeafEntryUnreadable.Number ? 1 : 0;
  });
  const std::string Nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  const auto WithAddress = [](const std::string &Address) {
    std::string Result = leafEntry("ready");
    return Result.replace(Result.find("10.0.0.1:80"), 11, Address);
  };
  const std::vector<std::string> Odd = {
      Nested,
      R"({"service":)" + Nested + "}",
      leafEntry("ready", "1e999"),
      leafEntry("ready", "123456789012345678901234567890"),
      leafEntry("ready", "-1"),
      WithAddress("10.0.0.1:70000"),
      WithAddress("10.0.0.1:-1"),
      WithAddress("10.0.0.1:99999999999999999999"),
      WithAddress("10.0.0.1"),
      WithAddress("")};
  for (const std::string &Value : Odd) {
    DOCTEST_INFO(Value.substr(0, 120));
    const platform::PlatformDocuments Documents;
    RecordingSink Sink;
    Logged = 0;
    for (std::uint64_t Beat = 1; Beat < 4; ++Beat) {
      Documents.read({"servers/odd", Value, firstEra(2 * Beat), false}, Sink);
      Documents.read(
          {"servers/good", leafEntry("ready"), firstEra(2 * Beat + 1), false},
          Sink);
    }
    DOCTEST_CHECK(Logged == 1);
    DOCTEST_CHECK(std::ranges::count(Sink.Events, "leaf good") == 3);
    DOCTEST_CHECK(std::ranges::count(Sink.Events, "leaf gone odd") == 3);
  }
  setEventSink({});
}

DOCTEST_TEST_CASE("numbers that are too large count as the highest allowed") {
  const LeafEntry Leaf =
      platform::decodeLeaf("i-1", leafEntry("ready", "9007199254740992"));
  DOCTEST_CHECK(Leaf.Slots == 1'000'000);
  std::string Document(Configuration);
  Document.replace(Document.find(R"("priority":2)"), 12, R"("priority":1e300)");
  Document.replace(Document.find(R"("maxBodyBytes":1000)"), 19,
                   R"("maxBodyBytes":1e300)");
  const RouteTablePtr Table = platform::decodeRoutes(Document);
  DOCTEST_CHECK(Table->match("h.example", "/a/x")->Priority == 1'000'000);
  DOCTEST_CHECK(Table->limits().MaxBodyBytes == 1U << 30);
}

DOCTEST_TEST_CASE(
    "each document is passed on by its key, and unknown keys are ignored") {
  const platform::PlatformDocuments Documents;
  RecordingSink Sink;
  FleetMember Member;
  Member.Name = "n1";
  const std::string Key = Documents.memberKey("n1");
  Documents.read({"servers/i-1", leafEntry("ready"), firstEra(1), false}, Sink);
  Documents.read({"servers/i-1", "", firstEra(2), true}, Sink);
  Documents.read({"op/config", std::string(Configuration), firstEra(3), false},
                 Sink);
  Documents.read({"op/evacuate/z1", "{}", firstEra(4), false}, Sink);
  Documents.read({"op/evacuate/z1", "", firstEra(5), true}, Sink);
  Documents.read({"op/rollout/s1",
                  R"({"service":"s1","targetVersion":"v2","durationS":12})",
                  firstEra(5), false},
                 Sink);
  Documents.read({"op/rollout/s1", "", firstEra(6), true}, Sink);
  Documents.read(
      {"op/rollout/s1", R"({"targetVersion":"v2"})", firstEra(7), false}, Sink);
  RolloutDocument Move =
      makeRolloutDocument("s1@5", "s1", "v1", "v2", Seconds(30), 0);
  const StoreWrite Write = Documents.encodeMove(Move, {});
  Documents.read({Write.Key, Write.Value, firstEra(8), false}, Sink);
  Documents.read({Key, encodeMember(Member), firstEra(6), false}, Sink);
  Documents.read({Key, "", firstEra(7), true}, Sink);
  Documents.read({"other/key", "x", firstEra(8), false}, Sink);
  Documents.read({"op/config", "broken", firstEra(9), false}, Sink);
  DOCTEST_CHECK(Sink.Events == std::vector<std::string>{
                                   "leaf i-1", "leaf gone i-1", "routes 7",
                                   "closed z1", "open z1", "order s1=v2 12000",
                                   "order s1=", "move s1@5 at 8", "member n1",
                                   "member gone n1"});
}

DOCTEST_TEST_CASE(
    "the status for operators is written together with a rollout's state") {
  const platform::PlatformDocuments Documents;
  RolloutDocument Move =
      makeRolloutDocument("s1@5", "s1", "v1", "v2", Seconds(30), 0);
  const auto Status = [&] {
    return Documents.encodeMove(Move, firstEra(4)).SecondValue;
  };
  DOCTEST_CHECK(Documents.encodeMove(Move, firstEra(4)).Conditional);
  DOCTEST_CHECK(Documents.encodeMove(Move, firstEra(4)).ExpectedRevision ==
                firstEra(4));
  DOCTEST_CHECK(Documents.encodeMove(Move, firstEra(4)).SecondKey ==
                "status/rollout/s1");
  DOCTEST_CHECK(Status() == R"({"state":"active","targetVersion":"v2"})");
  Move.Phase = RolloutPhase::Completing;
  DOCTEST_CHECK(Status() == R"({"state":"active","targetVersion":"v2"})");
  Move.Phase = RolloutPhase::Completed;
  DOCTEST_CHECK(Status() == R"({"state":"completed","targetVersion":"v2"})");
  Move.Phase = RolloutPhase::RolledBack;
  DOCTEST_CHECK(Status() == R"({"state":"rolled_back","targetVersion":"v2"})");
}
