#include "citronlever/Registry"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

struct Answer {
  int Count = 0;
  StoreStatus Status = StoreStatus::Unknown;
  RelayedChanges Changes;

  ChangeRelay::Then then() {
    return [this](StoreStatus Came, RelayedChanges What) {
      ++this->Count;
      this->Status = Came;
      this->Changes = std::move(What);
    };
  }
};

} // namespace

DOCTEST_TEST_CASE("changes go on when they are complete, and only newer ones") {
  ChangeRelay Relay;
  Relay.advance(10, Start);
  Answer Waiting;
  Relay.ask(10, Seconds(2), Start, Waiting.then());
  Relay.record({"a", "1", 11, false});
  DOCTEST_CHECK(Waiting.Count == 0);
  Relay.advance(12, Start);
  DOCTEST_REQUIRE(Waiting.Count == 1);
  DOCTEST_CHECK(Waiting.Changes.Items.size() == 1);
  DOCTEST_CHECK(Waiting.Changes.AsOf == 12);
  Answer Next;
  Relay.ask(11, Seconds(2), Start, Next.then());
  DOCTEST_CHECK(Next.Count == 0);
  Relay.expire(Start + Seconds(2));
  DOCTEST_CHECK((Next.Status == StoreStatus::Done));
  DOCTEST_CHECK(Next.Changes.Items.empty());
}

DOCTEST_TEST_CASE("a member that can't prove its view refuses at once") {
  ChangeRelay Relay;
  Answer Early;
  Relay.ask(1, Seconds(2), Start, Early.then());
  DOCTEST_CHECK((Early.Status == StoreStatus::Refused));
  Relay.advance(10, Start);
  Answer Old;
  Relay.ask(9, Seconds(2), Start, Old.then());
  DOCTEST_CHECK((Old.Status == StoreStatus::HistoryGone));
  Answer Waiting;
  Relay.ask(10, Seconds(2), Start, Waiting.then());
  Relay.lost();
  DOCTEST_CHECK((Waiting.Status == StoreStatus::Refused));
}
