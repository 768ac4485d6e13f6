#include "test/Entry/QueryFixture.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

/// Answers all shards of every call made so far, starting with call \p First.
void answerAll(QueryFixture &Query, std::size_t First = 0) {
  const std::vector<SendCall> Calls = Query.Calls;
  for (std::size_t Index = First; Index < Calls.size(); ++Index)
    if (const auto Message = Query.claim(Calls[Index]))
      Query.reply(QueryFixture::linkOf(Calls[Index].To), answerTo(*Message));
}

} // namespace

DOCTEST_TEST_CASE("a query asks each owner once and merges the answers") {
  QueryFixture Query(3, 10);
  Query.Spec.Limit = 7;
  Query.start();
  DOCTEST_REQUIRE(Query.Calls.size() == 3);
  answerAll(Query);
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  std::vector<std::vector<Row>> All;
  for (std::uint32_t Shard = 0; Shard < 10; ++Shard)
    All.push_back(rowsOf(Shard, "s1"));
  DOCTEST_CHECK(Query.answer().Rows == mergeRows(All, 7));
  DOCTEST_CHECK(Query.answer().AnsweredShards == 10);
  DOCTEST_CHECK(httpStatus(Query.answer()) == 200);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::Ran));
}

DOCTEST_TEST_CASE("the deadline given to a broker leaves time for the merge") {
  QueryFixture Query(1, 1);
  Query.start();
  Query.Now += Milliseconds(30);
  const auto Message = Query.claim(Query.Calls[0]);
  DOCTEST_REQUIRE(Message);
  DOCTEST_CHECK(Message->TimeLeftMs == 66);
}

DOCTEST_TEST_CASE("after a lost link the stand-by is called at once") {
  for (const bool UseStandBys : {true, false}) {
    QueryFixture Query(3, 8);
    QueryPolicy Policy;
    Policy.UseStandBys = UseStandBys;
    Query.start({}, Policy);
    const SendCall Second = Query.Calls[1];
    answerAll(Query, 1);
    Query.claim(Query.Calls[0]);
    Query.linkDown(QueryFixture::linkOf(Query.Calls[0].To));
    DOCTEST_CHECK((Query.Calls.size() == 3) == UseStandBys);
    if (UseStandBys) {
      DOCTEST_CHECK(Query.Calls[2].To.StandBy);
      answerAll(Query, 2);
    }
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK(httpStatus(Query.answer()) == (UseStandBys ? 200 : 206));
  }
}

DOCTEST_TEST_CASE("a NotOwner reply sends the call to the broker it names") {
  QueryFixture Query(5, 4);
  Query.start();
  const auto Message = Query.claim(Query.Calls[0]);
  BrokerReply Refusal = refusalOf(*Message, BrokerStatus::NotOwner);
  Refusal.OwnerHint = "vm4/broker";
  DOCTEST_CHECK(Query.reply(QueryFixture::linkOf(Query.Calls[0].To), Refusal));
  DOCTEST_REQUIRE(Query.Calls.size() == 2);
  DOCTEST_CHECK(Query.Calls[1].To.Name == "vm4/broker");
  DOCTEST_CHECK(!Query.Calls[1].To.StandBy);
  answerAll(Query, 1);
  DOCTEST_CHECK(httpStatus(Query.answer()) == 200);
}

DOCTEST_TEST_CASE("brokers that name each other as owner are called again") {
  for (const bool Idempotent : {true, false}) {
    QueryFixture Query(2, 4, Idempotent);
    Query.start();
    for (std::size_t Index = 0; Index < 2; ++Index) {
      const auto Message = Query.claim(Query.Calls[Index]);
      BrokerReply Refusal = refusalOf(*Message, BrokerStatus::NotOwner);
      Refusal.OwnerHint = Query.Owners.Brokers[1 - Index].Name;
      const auto Link = QueryFixture::linkOf(Query.Calls[Index].To);
      DOCTEST_CHECK(Query.reply(Link, Refusal));
    }
    DOCTEST_CHECK(Query.Answers.empty());
    // By then only the second broker is left in the view of the entry.
    Query.Owners.Brokers.erase(Query.Owners.Brokers.begin());
    Query.advance(QueryTimes().OwnerRetryDelay);
    DOCTEST_REQUIRE(Query.Calls.size() == 3);
    DOCTEST_CHECK(Query.Calls[2].To.Name == "vm1/broker");
    answerAll(Query, 2);
    DOCTEST_CHECK(httpStatus(Query.answer()) == 200);
  }
}

DOCTEST_TEST_CASE(
    "a group without brokers ends before the deadline as not run") {
  QueryFixture Query(0, 4);
  Query.start();
  while (Query.Answers.empty() && Query.Now < Query.Spec.Deadline)
    Query.advance(QueryTimes().OwnerRetryDelay);
  DOCTEST_CHECK(Query.Now < Query.Spec.Deadline);
  DOCTEST_CHECK((Query.answer().Error == EntryError::NoBroker));
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::NotRun));
}

DOCTEST_TEST_CASE("at the deadline the answer has the coverage reached") {
  QueryFixture Query(3, 10);
  Query.start();
  for (const SendCall &Call : std::vector(Query.Calls)) {
    const auto Message = Query.claim(Call);
    if (Call.Group == 0)
      Query.reply(QueryFixture::linkOf(Call.To), answerTo(*Message, {1, 3}));
    if (Call.Group == 1)
      Query.reply(QueryFixture::linkOf(Call.To), answerTo(*Message));
  }
  DOCTEST_CHECK(Query.Answers.empty());
  Query.advance(Milliseconds(100));
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK(Query.answer().MissingShards ==
                std::vector<std::uint32_t>{1, 3, 8, 9});
  DOCTEST_CHECK(Query.answer().AnsweredShards == 6);
  DOCTEST_CHECK(httpStatus(Query.answer()) == 206);
  DOCTEST_CHECK(jsonBody(Query.answer()).find("\"partial\":true") !=
                std::string::npos);
  DOCTEST_CHECK(Query.Cancels.size() == 1);
  DOCTEST_REQUIRE(Query.Run->unansweredCalls().size() == 1);
  DOCTEST_CHECK(Query.Run->unansweredCalls()[0].Broker == "vm2/broker");
  DOCTEST_CHECK(Query.Run->unansweredCalls()[0].Due == Query.Spec.Deadline);
}

DOCTEST_TEST_CASE("coverage below the contract's is an error without rows") {
  QueryFixture Query(3, 10);
  Query.Spec.LowestCoverage = 0.7;
  Query.start();
  const auto Message = Query.claim(Query.Calls[0]);
  Query.reply(QueryFixture::linkOf(Query.Calls[0].To), answerTo(*Message));
  Query.advance(Milliseconds(100));
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK(httpStatus(Query.answer()) == 503);
  DOCTEST_CHECK((Query.answer().Error == EntryError::CoverageBelowContract));
  DOCTEST_CHECK(Query.answer().Rows.empty());
  DOCTEST_CHECK(Query.answer().AnsweredShards == 4);
}

DOCTEST_TEST_CASE("failed shards are retried if coverage is preferred") {
  for (const AnswerPreference First :
       {AnswerPreference::Time, AnswerPreference::Coverage}) {
    QueryFixture Query(2, 4);
    Query.Spec.Preference = First;
    Query.start();
    const auto Message = Query.claim(Query.Calls[0]);
    Query.reply(QueryFixture::linkOf(Query.Calls[0].To),
                answerTo(*Message, {2}));
    if (First == AnswerPreference::Time) {
      DOCTEST_CHECK(httpStatus(Query.answer()) == 206);
      continue;
    }
    DOCTEST_CHECK(Query.Answers.empty());
    Query.advance(Milliseconds(10));
    DOCTEST_REQUIRE(Query.Calls.size() == 2);
    const auto Again = Query.claim(Query.Calls[1]);
    DOCTEST_REQUIRE(Again);
    DOCTEST_CHECK(Again->Shards == std::vector<std::uint32_t>{2});
    Query.reply(QueryFixture::linkOf(Query.Calls[1].To), answerTo(*Again));
    DOCTEST_CHECK(httpStatus(Query.answer()) == 200);
    DOCTEST_CHECK(Query.answer().AnsweredShards == 4);
  }
}

DOCTEST_TEST_CASE("a query restarts as a whole on a newer snapshot") {
  for (const bool Restart : {true, false}) {
    QueryFixture Query(3, 8);
    Query.Spec.LowestCoverage = 0.9;
    QueryPolicy Policy;
    Policy.RestartOnNewer = Restart;
    Query.start({}, Policy);
    const auto First = Query.claim(Query.Calls[0]);
    const auto Second = Query.claim(Query.Calls[1]);
    Query.reply(QueryFixture::linkOf(Query.Calls[0].To), answerTo(*First));
    Query.addSnapshot("s2", 12);
    const std::size_t Before = Query.Calls.size();
    Query.reply(QueryFixture::linkOf(Query.Calls[1].To),
                refusalOf(*Second, BrokerStatus::SnapshotGone));
    if (!Restart) {
      DOCTEST_CHECK(httpStatus(Query.answer()) == 409);
      continue;
    }
    DOCTEST_CHECK(Query.Calls.size() == Before + 3);
    answerAll(Query, Before);
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK(Query.answer().Snapshot == "s2");
    DOCTEST_CHECK(Query.answer().TotalShards == 12);
    for (const Row &ResultRow : Query.answer().Rows)
      DOCTEST_CHECK(ResultRow.Key.starts_with("s2-"));
    DOCTEST_CHECK(!Query.reply(9000, answerTo(*First)));
  }
}

DOCTEST_TEST_CASE(
    "there is no restart if time is preferred and coverage suffices") {
  QueryFixture Query(3, 8);
  Query.start();
  const auto First = Query.claim(Query.Calls[0]);
  const auto Second = Query.claim(Query.Calls[1]);
  Query.addSnapshot("s2", 12);
  Query.reply(QueryFixture::linkOf(Query.Calls[1].To),
              refusalOf(*Second, BrokerStatus::SnapshotGone));
  Query.reply(QueryFixture::linkOf(Query.Calls[0].To), answerTo(*First));
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK(Query.answer().Snapshot == "s1");
  DOCTEST_CHECK(Query.answer().TotalShards == 8);
  DOCTEST_CHECK(Query.answer().MissingShards ==
                std::vector<std::uint32_t>{4, 5, 6, 7});
}
