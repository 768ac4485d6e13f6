#include "test/Entry/QueryFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace citronlever;

DOCTEST_TEST_CASE("a create of which no byte was sent may go to the stand-by") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.notSent(Query.Calls[0]);
  DOCTEST_REQUIRE(Query.Calls.size() == 2);
  DOCTEST_CHECK(Query.Calls[1].To.StandBy);
  Query.notSent(Query.Calls[1]);
  Query.notSent(Query.Calls[2]);
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::NotRun));
  DOCTEST_CHECK(httpStatus(Query.answer()) == 503);
}

DOCTEST_TEST_CASE("a create on a lost link is not sent again") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.claim(Query.Calls[0]);
  Query.linkDown(QueryFixture::linkOf(Query.Calls[0].To));
  DOCTEST_CHECK(Query.Calls.size() == 1);
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::MayHaveRun));
}

DOCTEST_TEST_CASE("at the deadline the owner says whether a create was sent") {
  for (const Verdict Said : {Verdict::NotRun, Verdict::MayHaveRun}) {
    QueryFixture Query(3, 8, false);
    Query.start();
    const auto Message = Query.claim(Query.Calls[0]);
    Query.advance(Milliseconds(100));
    DOCTEST_REQUIRE(Query.Cancels.size() == 1);
    DOCTEST_CHECK(Query.Answers.empty());
    Query.cancelled(QueryFixture::linkOf(Query.Calls[0].To),
                    {Message->Id, Message->Group, Said});
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK((Query.answer().Outcome == Said));
    DOCTEST_CHECK(httpStatus(Query.answer()) == 504);
  }
}

DOCTEST_TEST_CASE("without a reply to the cancellation a create may have run") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.claim(Query.Calls[0]);
  Query.advance(Milliseconds(100));
  Query.advance(Milliseconds(250));
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::MayHaveRun));
}

DOCTEST_TEST_CASE("overload is reported only if the create has not run") {
  for (const Verdict Said : {Verdict::NotRun, Verdict::MayHaveRun}) {
    QueryFixture Query(3, 8, false);
    Query.start();
    const auto Message = Query.claim(Query.Calls[0]);
    Query.reply(QueryFixture::linkOf(Query.Calls[0].To),
                refusalOf(*Message, BrokerStatus::Overloaded, Said));
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK((Query.answer().Outcome == Said));
    DOCTEST_CHECK(httpStatus(Query.answer()) ==
                  (Said == Verdict::NotRun ? 429 : 503));
  }
}

DOCTEST_TEST_CASE("equal request keys reach the same shard of any snapshot") {
  int Moved = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    const std::string Key = "key-" + std::to_string(Index);
    DOCTEST_CHECK(shardOfKey(Key, 20) == shardOfKey(Key, 20));
    Moved += shardOfKey(Key, 20) != shardOfKey(Key, 21) ? 1 : 0;
  }
  DOCTEST_CHECK(Moved < 100);
}

namespace {

/// Random brokers: they may run a create or not, and reply late, twice, over
/// the wrong link, with a wrong snapshot or id, with missing shards, or not at
/// all.
class RandomBrokers {
public:
  RandomBrokers(std::uint32_t Seed, bool Idempotent)
      : Random(Seed), Query(3, 8, Idempotent) {
    this->Query.Spec.LowestCoverage = 0.3;
    this->Query.Spec.Preference =
        this->oneIn(2) ? AnswerPreference::Time : AnswerPreference::Coverage;
    this->Query.start();
  }

  void run() {
    for (int Step = 0; Step < 400 && this->Query.Answers.empty(); ++Step)
      this->step();
    if (this->Query.Answers.empty())
      this->Query.advance(Seconds(10));
  }

  bool ran() const { return this->Effects > 0; }
  int effects() const { return this->Effects; }
  const QueryFixture &query() const { return this->Query; }
  /// \returns whether an accepted reply contained the shard.
  bool answered(std::uint32_t Shard) const {
    return std::find(this->AcceptedShards.begin(), this->AcceptedShards.end(),
                     Shard) != this->AcceptedShards.end();
  }

private:
  struct Delivery {
    std::uint64_t Link;
    BrokerReply Reply;
    bool Genuine;
  };

  /// Added to a link id to get a link without calls of this request.
  static constexpr std::uint64_t OtherLinkOffset = 100;

  bool oneIn(std::uint32_t Count) { return this->Random() % Count == 0; }

  void step() {
    for (; this->HandledCalls < this->Query.Calls.size(); ++this->HandledCalls)
      this->receive(this->Query.Calls[this->HandledCalls]);
    if (!this->PendingReplies.empty() && !this->oneIn(3))
      this->deliver();
    if (this->oneIn(20) && !this->Query.Calls.empty())
      this->Query.linkDown(QueryFixture::linkOf(
          this->Query.Calls[this->Random() % this->Query.Calls.size()].To));
    if (this->oneIn(4))
      this->Query.advance(Milliseconds(this->Random() % 12));
  }

  void receive(const SendCall &Call) {
    if (this->oneIn(6)) {
      this->Query.notSent(Call);
      return;
    }
    const auto Message = this->Query.claim(Call);
    if (!Message || this->oneIn(6))
      return;
    const std::uint64_t Link = QueryFixture::linkOf(Call.To);
    BrokerReply Reply = this->replyTo(*Message);
    this->PendingReplies.push_back({Link, Reply, true});
    if (this->oneIn(3))
      this->PendingReplies.push_back({Link, Reply, true});
    if (this->oneIn(3))
      this->PendingReplies.push_back({Link + OtherLinkOffset, Reply, false});
    if (this->oneIn(3)) {
      Reply.Snapshot = "s0";
      this->PendingReplies.push_back({Link, Reply, false});
    }
    if (this->oneIn(3)) {
      Reply = answerTo(*Message);
      Reply.Id.Counter += 1000;
      this->PendingReplies.push_back({Link, Reply, false});
    }
  }

  BrokerReply replyTo(const BrokerCall &Call) {
    if (this->oneIn(4))
      return refusalOf(Call, BrokerStatus::NotOwner);
    if (!Call.Idempotent) {
      const bool Runs = this->oneIn(2);
      this->Effects += Runs ? 1 : 0;
      if (Runs && this->oneIn(2))
        return refusalOf(Call, BrokerStatus::Failed, Verdict::MayHaveRun);
      return Runs ? answerTo(Call) : refusalOf(Call, BrokerStatus::Overloaded);
    }
    std::vector<std::uint32_t> Missing;
    for (const std::uint32_t Shard : Call.Shards)
      if (this->oneIn(4))
        Missing.push_back(Shard);
    return answerTo(Call, Missing);
  }

  void deliver() {
    const std::size_t Index = this->Random() % this->PendingReplies.size();
    const Delivery Next = this->PendingReplies[Index];
    this->PendingReplies.erase(this->PendingReplies.begin() +
                               static_cast<std::ptrdiff_t>(Index));
    const bool Taken = this->Query.reply(Next.Link, Next.Reply);
    // An accepted reply that is not genuine fails the check of effects().
    if (Taken && !Next.Genuine)
      this->Effects += 1000;
    if (Taken)
      this->AcceptedShards.insert(this->AcceptedShards.end(),
                                  Next.Reply.Answered.begin(),
                                  Next.Reply.Answered.end());
  }

  std::mt19937 Random;
  QueryFixture Query;
  std::vector<Delivery> PendingReplies;
  std::vector<std::uint32_t> AcceptedShards;
  std::size_t HandledCalls = 0;
  int Effects = 0;
};

} // namespace

DOCTEST_TEST_CASE("verdicts are true under any order of events") {
  DOCTEST_CHECK(rc::check([] {
    RandomBrokers Brokers(*rc::gen::arbitrary<std::uint32_t>(), false);
    Brokers.run();
    RC_ASSERT(Brokers.query().Answers.size() == 1U);
    RC_ASSERT(Brokers.effects() <= 1);
    const Verdict Told = Brokers.query().answer().Outcome;
    if (Brokers.ran())
      RC_ASSERT((Told != Verdict::NotRun));
    if (Told == Verdict::Ran)
      RC_ASSERT(Brokers.ran());
  }));
}

DOCTEST_TEST_CASE("coverage is true under any order of events") {
  DOCTEST_CHECK(rc::check([] {
    RandomBrokers Brokers(*rc::gen::arbitrary<std::uint32_t>(), true);
    Brokers.run();
    RC_ASSERT(Brokers.query().Answers.size() == 1U);
    RC_ASSERT(Brokers.effects() == 0);
    const Answer &Told = Brokers.query().answer();
    if (Told.Error != EntryError::None)
      return;
    RC_ASSERT(Told.TotalShards == 8U);
    RC_ASSERT(Told.AnsweredShards + Told.MissingShards.size() ==
              Told.TotalShards);
    for (std::uint32_t Shard = 0; Shard < Told.TotalShards; ++Shard) {
      const bool Missing =
          std::find(Told.MissingShards.begin(), Told.MissingShards.end(),
                    Shard) != Told.MissingShards.end();
      RC_ASSERT(Missing || Brokers.answered(Shard));
    }
    std::vector<Row> Sorted = Told.Rows;
    for (std::size_t Index = 1; Index < Sorted.size(); ++Index)
      RC_ASSERT(ranksBefore(Sorted[Index - 1], Sorted[Index]));
  }));
}
