#include "citronlever/Broker"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>

using namespace citronlever;
using Begin = RequestKeyTable::Begin;

namespace {

constexpr TimePoint Start{Seconds(10)};
constexpr std::size_t Room = 1 << 20;

RequestKeyTable ledger() { return {Seconds(60), Room}; }

KeyIntent intent(const std::string &Owner, std::uint64_t Incarnation = 1) {
  KeyIntent Result;
  Result.Service = "cards";
  Result.Key = "k";
  Result.Owner = Owner;
  Result.OwnerIncarnation = Incarnation;
  return Result;
}

KeyOutcome outcome(const std::string &Owner, Verdict Ran, std::string Body) {
  KeyOutcome Result;
  Result.Service = "cards";
  Result.Key = "k";
  Result.Owner = Owner;
  Result.OwnerIncarnation = 1;
  Result.Outcome = Ran;
  Result.Body = std::move(Body);
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a repeat waits for the first request and gets its outcome") {
  RequestKeyTable Ledger = ledger();
  DOCTEST_CHECK((Ledger.begin("cards", "k", 1, Start) == Begin::First));
  DOCTEST_CHECK((Ledger.begin("cards", "k", 2, Start) == Begin::Joined));
  const auto Waiters =
      Ledger.finish("cards", "k", {Verdict::Ran, "card 7"}, Start);
  DOCTEST_CHECK(Waiters == std::vector<RequestKeyTable::Waiter>{2});
  DOCTEST_CHECK((Ledger.begin("cards", "k", 3, Start) == Begin::Known));
  DOCTEST_CHECK(Ledger.outcome("cards", "k").Body == "card 7");
  DOCTEST_CHECK(
      (Ledger.begin("cards", "k", 4, Start + Seconds(61)) == Begin::First));
}

DOCTEST_TEST_CASE("a request that did not run may be repeated") {
  RequestKeyTable Ledger = ledger();
  Ledger.begin("cards", "k", 1, Start);
  Ledger.finish("cards", "k", {Verdict::NotRun, ""}, Start);
  DOCTEST_CHECK((Ledger.begin("cards", "k", 2, Start) == Begin::First));
}

DOCTEST_TEST_CASE("a stand-by that takes over knows intent and outcome") {
  RequestKeyTable StandBy = ledger();
  DOCTEST_CHECK(
      (StandBy.note(intent("a"), Start).Known == KeyKnowledge::Unknown));
  DOCTEST_CHECK((StandBy.begin("cards", "k", 1, Start) == Begin::Doubtful));
  DOCTEST_CHECK(
      (StandBy.note(intent("c"), Start).Known == KeyKnowledge::Intent));
  StandBy.note(outcome("a", Verdict::Ran, "card 7"), Start);
  DOCTEST_CHECK((StandBy.begin("cards", "k", 2, Start) == Begin::Known));
  const KeyIntentAck Told = StandBy.note(intent("c"), Start);
  DOCTEST_CHECK((Told.Known == KeyKnowledge::Outcome));
  DOCTEST_CHECK(Told.Body == "card 7");
}

DOCTEST_TEST_CASE("only its own process takes an intent back") {
  RequestKeyTable StandBy = ledger();
  StandBy.note(intent("a"), Start);
  StandBy.note(outcome("c", Verdict::NotRun, ""), Start);
  DOCTEST_CHECK(
      (StandBy.note(intent("a", 2), Start).Known == KeyKnowledge::Intent));
  DOCTEST_CHECK(
      (StandBy.note(intent("a"), Start).Known == KeyKnowledge::Unknown));
  StandBy.note(outcome("a", Verdict::NotRun, ""), Start);
  DOCTEST_CHECK((StandBy.begin("cards", "k", 1, Start) == Begin::First));
}

DOCTEST_TEST_CASE("memory is bounded: without room a key is refused") {
  RequestKeyTable Ledger(Seconds(60), 2000);
  int First = 0;
  for (int Key = 0; Key < 100; ++Key)
    First +=
        Ledger.begin("cards", std::to_string(Key), 1, Start) == Begin::First;
  DOCTEST_CHECK(First > 0);
  DOCTEST_CHECK(First < 100);
  DOCTEST_CHECK(Ledger.bytes() <= 2000);
  DOCTEST_CHECK((Ledger.begin("cards", "100", 1, Start) == Begin::Full));
}

namespace {

/// Three brokers, any of which may believe that it owns the key; messages get
/// lost, owners die and come back empty. Counts how often the leaf ran.
class Fleet {
public:
  explicit Fleet(bool Intents) : Intents(Intents) {
    for (int Index = 0; Index < Count; ++Index)
      this->restart(Index);
  }

  /// A caller's request reaches \p Owner; it may die after the leaf ran.
  void request(int Owner) {
    RequestKeyTable &Own = *this->Ledgers[Owner];
    if (Own.begin("cards", "k", 1, Start) != Begin::First)
      return;
    const std::string Name = std::to_string(Owner);
    const KeyIntent Sent = intent(Name, this->Incarnations[Owner]);
    IntentRound Votes(Count - 1, true);
    std::optional<IntentRound::Decision> Decided;
    for (int Other = 0; Other < Count && this->Intents; ++Other) {
      const bool Lost = *rc::gen::inRange(0, 4) == 0;
      if (Other != Owner && !Lost && !Decided)
        Decided = Votes.answered(this->Ledgers[Other]->note(Sent, Start));
    }
    if (!Decided)
      Decided = this->Intents ? Votes.timedOut() : IntentRound::Decision::Send;
    Verdict Ran = Verdict::NotRun;
    if (*Decided == IntentRound::Decision::Send) {
      ++this->Runs;
      Ran = Verdict::Ran;
    } else if (*Decided != IntentRound::Decision::Refuse) {
      Ran = Verdict::MayHaveRun;
    }
    if (*rc::gen::inRange(0, 3) == 0)
      return this->restart(Owner);
    Own.finish("cards", "k", {Ran, ""}, Start);
    KeyOutcome Ended = outcome(Name, Ran, "");
    Ended.OwnerIncarnation = this->Incarnations[Owner];
    for (int Other = 0; Other < Count; ++Other)
      if (Other != Owner && *rc::gen::inRange(0, 4) != 0)
        this->Ledgers[Other]->note(Ended, Start);
  }

  int Runs = 0;

private:
  static constexpr int Count = 3;

  void restart(int Index) {
    ++this->Incarnations[Index];
    this->Ledgers[Index] = std::make_unique<RequestKeyTable>(Seconds(60), Room);
  }

  bool Intents;
  std::uint64_t Incarnations[Count] = {};
  std::unique_ptr<RequestKeyTable> Ledgers[Count];
};

int mostRuns(bool Intents) {
  Fleet All(Intents);
  // Two brokers at most are lost within the retention of a key.
  for (int Step = 0; Step < 2; ++Step)
    All.request(*rc::gen::inRange(0, 3));
  return All.Runs;
}

} // namespace

DOCTEST_TEST_CASE("a key runs at most once over lost owners and messages") {
  DOCTEST_CHECK(rc::check([] { RC_ASSERT(mostRuns(true) <= 1); }));
  int Most = 0;
  rc::check([&Most] { Most = std::max(Most, mostRuns(false)); });
  DOCTEST_CHECK(Most > 1);
}
