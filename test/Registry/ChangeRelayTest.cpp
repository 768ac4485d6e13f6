#include "citronlever/Registry"

#include "test/standins/FakeKeyStore.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

struct RecordedAnswer {
  int Count = 0;
  StoreStatus Status = StoreStatus::Unknown;
  RelayedChanges Changes;

  ChangeRelay::Callback callback() {
    return [this](StoreStatus NewStatus, RelayedChanges NewChanges) {
      ++this->Count;
      this->Status = NewStatus;
      this->Changes = std::move(NewChanges);
    };
  }
};

} // namespace

DOCTEST_TEST_CASE(
    "a request is answered once changes are complete, with newer ones only") {
  ChangeRelay Relay;
  Relay.advance(firstEra(10), Start);
  RecordedAnswer Waiting;
  Relay.requestChanges(firstEra(10), Seconds(2), Start, Waiting.callback());
  Relay.record({"a", "1", firstEra(11), false});
  DOCTEST_CHECK(Waiting.Count == 0);
  Relay.advance(firstEra(12), Start);
  DOCTEST_REQUIRE(Waiting.Count == 1);
  DOCTEST_CHECK(Waiting.Changes.Items.size() == 1);
  DOCTEST_CHECK(Waiting.Changes.AsOf == firstEra(12));
  RecordedAnswer Next;
  Relay.requestChanges(firstEra(11), Seconds(2), Start, Next.callback());
  DOCTEST_CHECK(Next.Count == 0);
  Relay.expire(Start + Seconds(2));
  DOCTEST_CHECK((Next.Status == StoreStatus::Done));
  DOCTEST_CHECK(Next.Changes.Items.empty());
}

DOCTEST_TEST_CASE(
    "requests are refused at once without the store or without the history") {
  ChangeRelay Relay;
  RecordedAnswer Early;
  Relay.requestChanges(firstEra(1), Seconds(2), Start, Early.callback());
  DOCTEST_CHECK((Early.Status == StoreStatus::Refused));
  Relay.advance(firstEra(10), Start);
  RecordedAnswer Old;
  Relay.requestChanges(firstEra(9), Seconds(2), Start, Old.callback());
  DOCTEST_CHECK((Old.Status == StoreStatus::HistoryGone));
  RecordedAnswer Waiting;
  Relay.requestChanges(firstEra(10), Seconds(2), Start, Waiting.callback());
  Relay.onStoreUnavailable();
  DOCTEST_CHECK((Waiting.Status == StoreStatus::Refused));
}

// Guards against processes that pass their memory limit through configuration
// changes alone: every superseded version of each key was kept.
DOCTEST_TEST_CASE("only the last change of a key is kept and relayed") {
  constexpr std::size_t ValueBytes = 100 << 10;
  ChangeRelay Relay;
  Relay.advance(firstEra(10), Start);
  Relay.record({"other", "1", firstEra(11), false});
  for (std::uint64_t Revision = 12; Revision < 1000; ++Revision)
    Relay.record(
        {"config", std::string(ValueBytes, 'x'), firstEra(Revision), false});
  Relay.record({"gone", "1", firstEra(1000), false});
  Relay.record({"gone", "", firstEra(1001), true});
  Relay.advance(firstEra(1001), Start);
  DOCTEST_CHECK(Relay.keptBytes() < 2 * ValueBytes);
  RecordedAnswer All;
  Relay.requestChanges(firstEra(10), Seconds(2), Start, All.callback());
  DOCTEST_REQUIRE(All.Changes.Items.size() == 3);
  DOCTEST_CHECK(All.Changes.Items[0].Key == "other");
  DOCTEST_CHECK(All.Changes.Items[1].Revision == firstEra(999));
  DOCTEST_CHECK(All.Changes.Items[2].Removed);
  RecordedAnswer Last;
  Relay.requestChanges(firstEra(999), Seconds(2), Start, Last.callback());
  DOCTEST_CHECK(Last.Changes.Items.size() == 1);
}

DOCTEST_TEST_CASE("the kept changes are bounded in bytes; a member that needs "
                  "dropped ones reads the store") {
  constexpr std::size_t ValueBytes = 100 << 10;
  constexpr std::uint64_t Changes = 100;
  ChangeRelay Relay;
  Relay.advance(firstEra(10), Start);
  for (std::uint64_t I = 1; I <= Changes; ++I)
    Relay.record({"key-" + std::to_string(I), std::string(ValueBytes, 'x'),
                  firstEra(10 + I), false});
  Relay.advance(firstEra(10 + Changes), Start);
  DOCTEST_CHECK(Relay.keptBytes() <= ChangeRelay::MaxKeptBytes);
  RecordedAnswer Old;
  Relay.requestChanges(firstEra(10), Seconds(2), Start, Old.callback());
  DOCTEST_CHECK((Old.Status == StoreStatus::HistoryGone));
  RecordedAnswer Recent;
  Relay.requestChanges(firstEra(10 + Changes - 2), Seconds(2), Start,
                       Recent.callback());
  DOCTEST_CHECK(Recent.Changes.Items.size() == 2);
  Relay.record({"huge", std::string(2 * ChangeRelay::MaxKeptBytes, 'x'),
                firstEra(11 + Changes), false});
  Relay.advance(firstEra(11 + Changes), Start);
  DOCTEST_CHECK(Relay.keptBytes() <= ChangeRelay::MaxKeptBytes);
  RecordedAnswer BeforeHuge;
  Relay.requestChanges(firstEra(10 + Changes), Seconds(2), Start,
                       BeforeHuge.callback());
  DOCTEST_CHECK((BeforeHuge.Status == StoreStatus::HistoryGone));
}

// Guards against a member that waits for a change that is not kept.
DOCTEST_TEST_CASE("a request that waits is told at once when what it waits for "
                  "was dropped, and may ask again from its answer") {
  ChangeRelay Relay;
  Relay.advance(firstEra(10), Start);
  RecordedAnswer Again;
  int Answers = 0;
  Relay.requestChanges(firstEra(10), Seconds(2), Start,
                       [&](StoreStatus Status, const RelayedChanges &) {
                         ++Answers;
                         DOCTEST_CHECK((Status == StoreStatus::HistoryGone));
                         Relay.requestChanges(firstEra(11), Seconds(2), Start,
                                              Again.callback());
                       });
  Relay.record({"huge", std::string(2 * ChangeRelay::MaxKeptBytes, 'x'),
                firstEra(11), false});
  Relay.advance(firstEra(11), Start);
  DOCTEST_CHECK(Answers == 1);
  DOCTEST_CHECK(Again.Count == 0);
  Relay.record({"a", "1", firstEra(12), false});
  Relay.advance(firstEra(12), Start);
  DOCTEST_CHECK(Again.Changes.Items.size() == 1);
}
