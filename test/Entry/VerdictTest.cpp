#include "test/Entry/QueryFixture.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <random>

using namespace citronlever;

DOCTEST_TEST_CASE("a create that left no byte may go to the stand-by") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.notSent(Query.Calls[0]);
  DOCTEST_REQUIRE(Query.Calls.size() == 2);
  DOCTEST_CHECK(Query.Calls[1].To.StandBy);
  Query.notSent(Query.Calls[1]);
  Query.notSent(Query.Calls[2]);
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::NotRun));
  DOCTEST_CHECK(statusOf(Query.answer()) == 503);
}

DOCTEST_TEST_CASE("a create on a cut link is not sent again") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.hand(Query.Calls[0]);
  Query.linkDown(QueryFixture::linkOf(Query.Calls[0].To));
  DOCTEST_CHECK(Query.Calls.size() == 1);
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::MayHaveRun));
}

DOCTEST_TEST_CASE("at the deadline the owner says whether a create was sent") {
  for (const Verdict Said : {Verdict::NotRun, Verdict::MayHaveRun}) {
    QueryFixture Query(3, 8, false);
    Query.start();
    const auto Message = Query.hand(Query.Calls[0]);
    Query.advance(Milliseconds(100));
    DOCTEST_REQUIRE(Query.Cancels.size() == 1);
    DOCTEST_CHECK(Query.Answers.empty());
    Query.cancelled(QueryFixture::linkOf(Query.Calls[0].To),
                    {Message->Id, Message->Group, Said});
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK((Query.answer().Outcome == Said));
    DOCTEST_CHECK(statusOf(Query.answer()) == 504);
  }
}

DOCTEST_TEST_CASE("an owner that says nothing leaves may-have-run") {
  QueryFixture Query(3, 8, false);
  Query.start();
  Query.hand(Query.Calls[0]);
  Query.advance(Milliseconds(100));
  Query.advance(Milliseconds(250));
  DOCTEST_REQUIRE(Query.Answers.size() == 1);
  DOCTEST_CHECK((Query.answer().Outcome == Verdict::MayHaveRun));
}

DOCTEST_TEST_CASE("an overloaded owner is refused as not run only if it is") {
  for (const Verdict Said : {Verdict::NotRun, Verdict::MayHaveRun}) {
    QueryFixture Query(3, 8, false);
    Query.start();
    const auto Message = Query.hand(Query.Calls[0]);
    Query.reply(QueryFixture::linkOf(Query.Calls[0].To),
                refusalOf(*Message, BrokerStatus::Overloaded, Said));
    DOCTEST_REQUIRE(Query.Answers.size() == 1);
    DOCTEST_CHECK((Query.answer().Outcome == Said));
    DOCTEST_CHECK(statusOf(Query.answer()) ==
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

/// A broker that the test plays: it may or may not run a create, and says so
/// late, crossed, doubled, truncated or not at all.
class Adversary {
public:
  Adversary(std::uint32_t Seed, bool Idempotent)
      : Random(Seed), Query(3, 8, Idempotent) {
    this->Query.Spec.LowestCoverage = 0.3;
    this->Query.Spec.First =
        this->one(2) ? AnswerPreference::Time : AnswerPreference::Coverage;
    this->Query.start();
  }

  void play() {
    for (int Step = 0; Step < 400 && this->Query.Answers.empty(); ++Step)
      this->step();
    if (this->Query.Answers.empty())
      this->Query.advance(Seconds(10));
  }

  bool ran() const { return this->Effects > 0; }
  int effects() const { return this->Effects; }
  const QueryFixture &query() const { return this->Query; }
  /// Shards that some reply of the pinned snapshot truly answered.
  bool answered(std::uint32_t Shard) const {
    return std::find(this->Truth.begin(), this->Truth.end(), Shard) !=
           this->Truth.end();
  }

private:
  struct Delivery {
    std::uint64_t Link;
    BrokerReply Reply;
    bool True;
  };

  /// Added to a link's number: a link that carries no call of this request.
  static constexpr std::uint64_t CrossedLink = 100;

  bool one(std::uint32_t In) { return this->Random() % In == 0; }

  void step() {
    for (; this->Seen < this->Query.Calls.size(); ++this->Seen)
      this->receive(this->Query.Calls[this->Seen]);
    if (!this->Wire.empty() && !this->one(3))
      this->deliver();
    if (this->one(20) && !this->Query.Calls.empty())
      this->Query.linkDown(QueryFixture::linkOf(
          this->Query.Calls[this->Random() % this->Query.Calls.size()].To));
    if (this->one(4))
      this->Query.advance(Milliseconds(this->Random() % 12));
  }

  void receive(const SendCall &Call) {
    if (this->one(6)) {
      this->Query.notSent(Call);
      return;
    }
    const auto Message = this->Query.hand(Call);
    if (!Message || this->one(6))
      return;
    const std::uint64_t Link = QueryFixture::linkOf(Call.To);
    BrokerReply Reply = this->replyTo(*Message);
    this->Wire.push_back({Link, Reply, true});
    if (this->one(3))
      this->Wire.push_back({Link, Reply, true});
    if (this->one(3))
      this->Wire.push_back({Link + CrossedLink, Reply, false});
    if (this->one(3)) {
      Reply.Snapshot = "s0";
      this->Wire.push_back({Link, Reply, false});
    }
    if (this->one(3)) {
      Reply = answerTo(*Message);
      Reply.Id.Counter += 1000;
      this->Wire.push_back({Link, Reply, false});
    }
  }

  BrokerReply replyTo(const BrokerCall &Call) {
    if (this->one(4))
      return refusalOf(Call, BrokerStatus::NotOwner);
    if (!Call.Idempotent) {
      const bool Runs = this->one(2);
      this->Effects += Runs ? 1 : 0;
      if (Runs && this->one(2))
        return refusalOf(Call, BrokerStatus::Failed, Verdict::MayHaveRun);
      return Runs ? answerTo(Call) : refusalOf(Call, BrokerStatus::Overloaded);
    }
    std::vector<std::uint32_t> Missing;
    for (const std::uint32_t Shard : Call.Shards)
      if (this->one(4))
        Missing.push_back(Shard);
    return answerTo(Call, Missing);
  }

  void deliver() {
    const std::size_t Index = this->Random() % this->Wire.size();
    const Delivery Next = this->Wire[Index];
    this->Wire.erase(this->Wire.begin() + static_cast<std::ptrdiff_t>(Index));
    const bool Taken = this->Query.reply(Next.Link, Next.Reply);
    if (Taken && !Next.True)
      this->Effects += 1000;
    if (Taken)
      this->Truth.insert(this->Truth.end(), Next.Reply.Answered.begin(),
                         Next.Reply.Answered.end());
  }

  std::mt19937 Random;
  QueryFixture Query;
  std::vector<Delivery> Wire;
  std::vector<std::uint32_t> Truth;
  std::size_t Seen = 0;
  int Effects = 0;
};

} // namespace

DOCTEST_TEST_CASE("verdicts are true under any order of events") {
  DOCTEST_CHECK(rc::check([] {
    Adversary Game(*rc::gen::arbitrary<std::uint32_t>(), false);
    Game.play();
    RC_ASSERT(Game.query().Answers.size() == 1U);
    RC_ASSERT(Game.effects() <= 1);
    const Verdict Told = Game.query().answer().Outcome;
    if (Game.ran())
      RC_ASSERT((Told != Verdict::NotRun));
    if (Told == Verdict::Ran)
      RC_ASSERT(Game.ran());
  }));
}

DOCTEST_TEST_CASE("coverage is true under any order of events") {
  DOCTEST_CHECK(rc::check([] {
    Adversary Game(*rc::gen::arbitrary<std::uint32_t>(), true);
    Game.play();
    RC_ASSERT(Game.query().Answers.size() == 1U);
    RC_ASSERT(Game.effects() == 0);
    const Answer &Told = Game.query().answer();
    if (Told.Error != EntryError::None)
      return;
    RC_ASSERT(Told.Total == 8U);
    RC_ASSERT(Told.Answered + Told.Missing.size() == Told.Total);
    for (std::uint32_t Shard = 0; Shard < Told.Total; ++Shard) {
      const bool Missing = std::find(Told.Missing.begin(), Told.Missing.end(),
                                     Shard) != Told.Missing.end();
      RC_ASSERT(Missing || Game.answered(Shard));
    }
    std::vector<Row> Sorted = Told.Rows;
    for (std::size_t Index = 1; Index < Sorted.size(); ++Index)
      RC_ASSERT(ranksBefore(Sorted[Index - 1], Sorted[Index]));
  }));
}
