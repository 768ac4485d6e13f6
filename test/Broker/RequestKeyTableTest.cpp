#include "citronlever/Broker"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <optional>

using namespace citronlever;
using BeginResult = RequestKeyTable::BeginResult;

namespace {

constexpr TimePoint Start{Seconds(10)};
constexpr std::size_t MemoryLimitBytes = 1 << 20;

RequestKeyTable makeTable() { return {Seconds(60), MemoryLimitBytes}; }

KeyIntent intent(const std::string &Owner, std::uint64_t Incarnation = 1) {
  KeyIntent Result;
  Result.Service = "cards";
  Result.Key = "k";
  Result.Owner = Owner;
  Result.OwnerIncarnation = Incarnation;
  return Result;
}

KeyOutcome outcome(const std::string &Owner, Verdict Execution,
                   std::string Body) {
  KeyOutcome Result;
  Result.Service = "cards";
  Result.Key = "k";
  Result.Owner = Owner;
  Result.OwnerIncarnation = 1;
  Result.Outcome = Execution;
  Result.Body = std::move(Body);
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a repeat waits for the first request and gets its outcome") {
  RequestKeyTable Table = makeTable();
  DOCTEST_CHECK((Table.begin("cards", "k", 1, Start) == BeginResult::First));
  DOCTEST_CHECK((Table.begin("cards", "k", 2, Start) == BeginResult::Joined));
  const auto Waiters =
      Table.finish("cards", "k", {Verdict::Ran, "card 7"}, Start);
  DOCTEST_CHECK(Waiters == std::vector<RequestKeyTable::WaiterId>{2});
  DOCTEST_CHECK((Table.begin("cards", "k", 3, Start) == BeginResult::Known));
  DOCTEST_CHECK(Table.outcome("cards", "k").Body == "card 7");
  DOCTEST_CHECK((Table.begin("cards", "k", 4, Start + Seconds(61)) ==
                 BeginResult::First));
}

DOCTEST_TEST_CASE("a request that did not run may be repeated") {
  RequestKeyTable Table = makeTable();
  Table.begin("cards", "k", 1, Start);
  Table.finish("cards", "k", {Verdict::NotRun, ""}, Start);
  DOCTEST_CHECK((Table.begin("cards", "k", 2, Start) == BeginResult::First));
}

DOCTEST_TEST_CASE("a stand-by that takes over knows intent and outcome") {
  RequestKeyTable StandBy = makeTable();
  DOCTEST_CHECK((StandBy.recordIntent(intent("a"), Start).Known ==
                 KeyKnowledge::Unknown));
  DOCTEST_CHECK(
      (StandBy.begin("cards", "k", 1, Start) == BeginResult::InDoubt));
  DOCTEST_CHECK(
      (StandBy.recordIntent(intent("c"), Start).Known == KeyKnowledge::Intent));
  StandBy.recordOutcome(outcome("a", Verdict::Ran, "card 7"), Start);
  DOCTEST_CHECK((StandBy.begin("cards", "k", 2, Start) == BeginResult::Known));
  const KeyIntentAck Ack = StandBy.recordIntent(intent("c"), Start);
  DOCTEST_CHECK((Ack.Known == KeyKnowledge::Outcome));
  DOCTEST_CHECK(Ack.Body == "card 7");
}

DOCTEST_TEST_CASE("only the process that announced an intent withdraws it") {
  RequestKeyTable StandBy = makeTable();
  StandBy.recordIntent(intent("a"), Start);
  StandBy.recordOutcome(outcome("c", Verdict::NotRun, ""), Start);
  DOCTEST_CHECK((StandBy.recordIntent(intent("a", 2), Start).Known ==
                 KeyKnowledge::Intent));
  DOCTEST_CHECK((StandBy.recordIntent(intent("a"), Start).Known ==
                 KeyKnowledge::Unknown));
  StandBy.recordOutcome(outcome("a", Verdict::NotRun, ""), Start);
  DOCTEST_CHECK((StandBy.begin("cards", "k", 1, Start) == BeginResult::First));
}

DOCTEST_TEST_CASE("a key beyond the memory limit is refused") {
  RequestKeyTable Table(Seconds(60), 2000);
  int First = 0;
  for (int Key = 0; Key < 100; ++Key)
    First += Table.begin("cards", std::to_string(Key), 1, Start) ==
             BeginResult::First;
  DOCTEST_CHECK(First > 0);
  DOCTEST_CHECK(First < 100);
  DOCTEST_CHECK(Table.bytes() <= 2000);
  DOCTEST_CHECK((Table.begin("cards", "100", 1, Start) == BeginResult::Full));
}

namespace {

/// Three brokers, each of which may take itself for the owner of the key.
/// Messages get lost, and owners restart with empty tables. Counts how often
/// the leaf ran the request.
class SimulatedBrokers {
public:
  explicit SimulatedBrokers(bool Intents) : Intents(Intents) {
    for (int Index = 0; Index < Count; ++Index)
      this->restart(Index);
  }

  /// A caller's request arrives at \p Owner, which may fail after the leaf ran.
  void request(int Owner) {
    RequestKeyTable &OwnTable = *this->Tables[Owner];
    if (OwnTable.begin("cards", "k", 1, Start) != BeginResult::First)
      return;
    const std::string Name = std::to_string(Owner);
    const KeyIntent Sent = intent(Name, this->Incarnations[Owner]);
    IntentRound Round(Count - 1, true);
    std::optional<IntentRound::Decision> Decision;
    for (int Other = 0; Other < Count && this->Intents; ++Other) {
      const bool Lost = *rc::gen::inRange(0, 4) == 0;
      if (Other != Owner && !Lost && !Decision)
        Decision = Round.onAck(this->Tables[Other]->recordIntent(Sent, Start));
    }
    if (!Decision)
      Decision =
          this->Intents ? Round.onTimeout() : IntentRound::Decision::Send;
    Verdict Execution = Verdict::NotRun;
    if (*Decision == IntentRound::Decision::Send) {
      ++this->Runs;
      Execution = Verdict::Ran;
    } else if (*Decision != IntentRound::Decision::Refuse) {
      Execution = Verdict::MayHaveRun;
    }
    if (*rc::gen::inRange(0, 3) == 0)
      return this->restart(Owner);
    OwnTable.finish("cards", "k", {Execution, ""}, Start);
    KeyOutcome Outcome = outcome(Name, Execution, "");
    Outcome.OwnerIncarnation = this->Incarnations[Owner];
    for (int Other = 0; Other < Count; ++Other)
      if (Other != Owner && *rc::gen::inRange(0, 4) != 0)
        this->Tables[Other]->recordOutcome(Outcome, Start);
  }

  int Runs = 0;

private:
  static constexpr int Count = 3;

  void restart(int Index) {
    ++this->Incarnations[Index];
    this->Tables[Index] =
        std::make_unique<RequestKeyTable>(Seconds(60), MemoryLimitBytes);
  }

  bool Intents;
  std::uint64_t Incarnations[Count] = {};
  std::unique_ptr<RequestKeyTable> Tables[Count];
};

int runsAfterFailures(bool Intents) {
  SimulatedBrokers Brokers(Intents);
  // At most two brokers are lost within the retention of a key.
  for (int Step = 0; Step < 2; ++Step)
    Brokers.request(*rc::gen::inRange(0, 3));
  return Brokers.Runs;
}

} // namespace

DOCTEST_TEST_CASE("a key runs at most once despite lost owners and messages") {
  DOCTEST_CHECK(rc::check([] { RC_ASSERT(runsAfterFailures(true) <= 1); }));
  int MaxRuns = 0;
  rc::check(
      [&MaxRuns] { MaxRuns = std::max(MaxRuns, runsAfterFailures(false)); });
  DOCTEST_CHECK(MaxRuns > 1);
}
