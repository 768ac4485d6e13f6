#include "test/standins/LeafData.h"
#include "tools/citronload/AnswerCheck.h"
#include "tools/citronload/EntryDirectory.h"
#include "tools/citronload/LoadResult.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>

using namespace citronlever;
using namespace citronlever::load;

namespace {

RequestClass benchClass() {
  RequestClass Class;
  Class.Service = "bench";
  Class.Route = "lookup";
  Class.Customer = "a";
  return Class;
}

/// The body of a complete answer of three shards to query 5.
std::string completeBody() {
  std::string Rows;
  for (const standin::LeafRow &Row :
       standin::mergedRows("bench", "s1", 3, queryText(5), 10)) {
    // The key names the shard: "bench-<shard>-...".
    const auto Shard =
        static_cast<std::uint32_t>(std::stoul(Row.Key.substr(6)));
    Rows += (Rows.empty() ? "" : ",") + standin::leafRowJson(Row, "s1", Shard);
  }
  return "{\"coverage\":{\"answered\":3,\"total\":3,\"missing\":[]},"
         "\"partial\":false,\"snapshot\":\"s1\",\"version\":\"v1\",\"rows\":[" +
         Rows + "]}";
}

std::string replaced(std::string Text, std::string_view Old,
                     std::string_view New) {
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

const AnswerHeaders CompleteAnswer{200, "ran", "s1", "3/3"};

} // namespace

DOCTEST_TEST_CASE("equal seeds give equal schedules with the requested rate") {
  const std::vector<RequestClass> Classes(3, benchClass());
  LoadSchedule Schedule(Classes, 1000, 42);
  LoadSchedule Repeated(Classes, 1000, 42);
  Duration Last{};
  for (int Index = 0; Index < 10000; ++Index) {
    const PlannedRequest First = Schedule.next();
    const PlannedRequest Second = Repeated.next();
    DOCTEST_REQUIRE(First.SendOffset == Second.SendOffset);
    DOCTEST_REQUIRE(First.Query == Second.Query);
    DOCTEST_REQUIRE(First.Class == Second.Class);
    DOCTEST_REQUIRE(First.SendOffset >= Last);
    Last = First.SendOffset;
  }
  const double Seconds = std::chrono::duration<double>(Last).count();
  DOCTEST_CHECK(Seconds > 9.5);
  DOCTEST_CHECK(Seconds < 10.5);
}

DOCTEST_TEST_CASE(
    "a correct answer passes and each kind of wrong answer is detected") {
  const RequestClass Class = benchClass();
  const std::string Body = completeBody();
  DOCTEST_CHECK(!checkAnswer(Class, 5, CompleteAnswer, Body));
  DOCTEST_CHECK(checkAnswer(Class, 6, CompleteAnswer, Body));
  DOCTEST_CHECK(checkAnswer(Class, 5, {206, "ran", "s1", "3/3"}, Body));
  DOCTEST_CHECK(checkAnswer(Class, 5, {200, "ran", "s2", "3/3"}, Body));
  DOCTEST_CHECK(checkAnswer(Class, 5, {200, "ran", "s1", "2/3"}, Body));
  DOCTEST_CHECK(checkAnswer(Class, 5, {200, "not_run", "s1", "3/3"}, Body));
  DOCTEST_CHECK(checkAnswer(Class, 5, CompleteAnswer,
                            replaced(Body, "\"snapshot\":\"s1\",\"shard\"",
                                     "\"snapshot\":\"s2\",\"shard\"")));
  DOCTEST_CHECK(
      checkAnswer(Class, 5, CompleteAnswer, replaced(Body, "[]", "[1]")));
  DOCTEST_CHECK(
      checkAnswer(Class, 5, CompleteAnswer,
                  replaced(Body, "\"partial\":false", "\"partial\":true")));
  DOCTEST_CHECK(checkAnswer(Class, 5, CompleteAnswer, Body.substr(0, 100)));
}

DOCTEST_TEST_CASE("quantiles and counts are exact") {
  ClassResult Result;
  for (int Index = 100; Index >= 1; --Index) {
    RequestOutcome Outcome;
    Outcome.Status = 200;
    Outcome.Latency = Milliseconds(Index);
    Outcome.Answered = 1;
    Outcome.Total = 2;
    Result.add(Outcome);
  }
  Result.add(RequestOutcome());
  DOCTEST_CHECK(Result.quantileMs(0.5) == 50);
  DOCTEST_CHECK(Result.quantileMs(0.99) == 99);
  DOCTEST_CHECK(Result.quantileMs(1) == 100);
  const boost::json::value Json = Result.toJson();
  DOCTEST_CHECK(Json.at("sent").to_number<int>() == 101);
  DOCTEST_CHECK(Json.at("lost").to_number<int>() == 1);
  DOCTEST_CHECK(Json.at("coverage_mean").to_number<double>() == 0.5);
}

DOCTEST_TEST_CASE("discovery answers are kept for their time to live") {
  EntryDirectory Directory({"127.0.0.1:1"});
  const TimePoint Now{Seconds(10)};
  DOCTEST_CHECK(Directory.nextEntry("a") == "127.0.0.1:1");
  DOCTEST_CHECK(Directory.claimRefresh("a", Now));
  DOCTEST_CHECK(!Directory.claimRefresh("a", Now));
  Directory.onDiscoveryAnswer("a",
                              "{\"entries\":[\"127.0.0.1:2\",\"127.0.0.1:3\"],"
                              "\"ttl_ms\":5000}",
                              Now);
  DOCTEST_CHECK(!Directory.claimRefresh("a", Now + Milliseconds(4999)));
  DOCTEST_CHECK(Directory.claimRefresh("a", Now + Milliseconds(5000)));
  DOCTEST_CHECK(Directory.nextEntry("a") != Directory.nextEntry("a"));
  Directory.setEntries("a", "127.0.0.1:4");
  DOCTEST_CHECK(Directory.nextEntry("a") == "127.0.0.1:4");
}

DOCTEST_TEST_CASE("the error of a mix with an unknown field names the field") {
  const auto Read = [](const char *Text) {
    return mixFromJson(parseJson(Text, "mix"), "mix");
  };
  DOCTEST_CHECK(Read("{\"classes\":[{\"customer\":\"a\",\"service\":\"s\","
                     "\"route\":\"r\"}]}")
                    .size() == 1);
  DOCTEST_CHECK_THROWS_WITH_AS(
      Read("{\"classes\":[{\"customer\":\"a\",\"service\":\"s\","
           "\"route\":\"r\",\"wieght\":1}]}"),
      "mix: classes[0]: field 'wieght': unknown", SettingsError);
  DOCTEST_CHECK_THROWS_AS(Read("{\"classes\":[]}"), SettingsError);
}
