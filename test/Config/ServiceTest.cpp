#include "citronlever/Config"
#include "citronlever/Core"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

constexpr const char *Bench = R"({"name": "bench", "version": "v1",
  "group_shards": 4, "hedge_budget": 0.05,
  "limits": {"slots": 2, "connections": 25, "cold_slots": 1,
             "connect_cost_ms": 5},
  "routes": [{"name": "lookup", "idempotent": true}],
  "leaves": [{"id": "a", "address": "127.0.0.1:9000", "vm": "up1",
              "domain": "fd1", "version": "v1"}],
  "snapshots": [{"id": "s1", "shards": [["a"]]}]})";

/// \returns Bench with the first \p From replaced by \p To.
std::string changed(std::string_view From, std::string_view To) {
  std::string Text = Bench;
  const auto At = Text.find(From);
  DOCTEST_REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

void refused(std::string_view From, std::string_view To,
             std::string_view Complaint) {
  try {
    serviceFromJson(parseJson(changed(From, To), "doc"), "doc");
    DOCTEST_FAIL("accepted: " << To);
  } catch (const SettingsError &Failure) {
    DOCTEST_INFO(Failure.what());
    DOCTEST_CHECK(std::string_view(Failure.what()).find(Complaint) !=
                  std::string_view::npos);
  }
}

Service randomService() {
  Service Result;
  Result.Name = "s" + std::to_string(*rc::gen::inRange(0, 100));
  Result.Version = "v1";
  Result.GroupShards = *rc::gen::inRange(1u, 20u);
  Result.HedgeBudget = *rc::gen::inRange(0, 1000) / 1000.0;
  Result.Limits.Slots = *rc::gen::inRange(1, 9);
  Result.Limits.ColdSlots = *rc::gen::inRange(1, Result.Limits.Slots + 1);
  Result.Limits.ConnectCost = Milliseconds(*rc::gen::inRange(0, 100));
  Result.Routes = {{"lookup", true}, {"create", *rc::gen::arbitrary<bool>()}};
  const auto Count = *rc::gen::inRange(1u, 12u);
  for (std::uint32_t Index = 0; Index < Count; ++Index)
    Result.Leaves.push_back({"l" + std::to_string(Index),
                             {"127.0.0.1", std::uint16_t(9000 + Index)},
                             "vm" + std::to_string(Index % 3),
                             "fd" + std::to_string(Index % 2),
                             "v1"});
  const int Snapshots = *rc::gen::inRange(1, 4);
  for (int Index = 0; Index < Snapshots; ++Index) {
    Snapshot NewSnapshot{"s" + std::to_string(Index), {}};
    const int Shards = *rc::gen::inRange(1, 6);
    for (int Shard = 0; Shard < Shards; ++Shard)
      NewSnapshot.Shards.push_back({*rc::gen::inRange(0u, Count)});
    Result.Snapshots.push_back(NewSnapshot);
  }
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a service document round-trips through text") {
  DOCTEST_CHECK(rc::check([] {
    const Service Before = randomService();
    const std::string Text = boost::json::serialize(toJson(Before));
    const Service After = serviceFromJson(parseJson(Text, "doc"), "doc");
    RC_ASSERT(Before == After);
  }));
}

DOCTEST_TEST_CASE("a contract document round-trips through text") {
  DOCTEST_CHECK(rc::check([] {
    Contract Before;
    Before.Customer = "c";
    Before.Rate = *rc::gen::inRange(1, 100000) / 8.0;
    Before.Concurrency = *rc::gen::inRange(1u, 1000u);
    Before.Priority = *rc::gen::inRange(0u, 10u);
    Before.Deadline = Milliseconds(*rc::gen::inRange(1, 60000));
    Before.LowestCoverage = *rc::gen::inRange(0, 101) / 100.0;
    Before.Preference =
        *rc::gen::element(AnswerPreference::Time, AnswerPreference::Coverage);
    const std::string Text = boost::json::serialize(toJson(Before));
    RC_ASSERT(contractFromJson(parseJson(Text, "doc"), "doc") == Before);
  }));
}

DOCTEST_TEST_CASE("invalid service documents are rejected with the reason") {
  refused("\"group_shards\": 4", "\"grup\": 4", "field 'grup': unknown");
  refused("[[\"a\"]]", "[[\"b\"]]", "unknown leaf 'b'");
  refused("[[\"a\"]]", "[[]]", "at least one leaf");
  refused("[[\"a\"]]", "[]", "missing or empty");
  refused("[[\"a\"]]", "[[\"a\",\"a\"]]", "duplicate leaf 'a'");
  refused("\"slots\": 2", "\"slots\": 0", "field 'slots'");
  refused("\"cold_slots\": 1", "\"cold_slots\": 3", "field 'cold_slots'");
  refused("\"name\": \"bench\"", "\"name\": \"a/b\"", "not a name");
  refused("127.0.0.1:9000", "localhost:9000", "field 'address'");
  refused("{\"name\": \"lookup\", \"idempotent\": true}",
          "{\"name\": \"x\"}, {\"name\": \"x\"}", "duplicate element 'x'");
}
