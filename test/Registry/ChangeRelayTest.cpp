#include "citronlever/Registry"

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
  Relay.advance(10, Start);
  RecordedAnswer Waiting;
  Relay.requestChanges(10, Seconds(2), Start, Waiting.callback());
  Relay.record({"a", "1", 11, false});
  DOCTEST_CHECK(Waiting.Count == 0);
  Relay.advance(12, Start);
  DOCTEST_REQUIRE(Waiting.Count == 1);
  DOCTEST_CHECK(Waiting.Changes.Items.size() == 1);
  DOCTEST_CHECK(Waiting.Changes.AsOf == 12);
  RecordedAnswer Next;
  Relay.requestChanges(11, Seconds(2), Start, Next.callback());
  DOCTEST_CHECK(Next.Count == 0);
  Relay.expire(Start + Seconds(2));
  DOCTEST_CHECK((Next.Status == StoreStatus::Done));
  DOCTEST_CHECK(Next.Changes.Items.empty());
}

DOCTEST_TEST_CASE(
    "requests are refused at once without the store or without the history") {
  ChangeRelay Relay;
  RecordedAnswer Early;
  Relay.requestChanges(1, Seconds(2), Start, Early.callback());
  DOCTEST_CHECK((Early.Status == StoreStatus::Refused));
  Relay.advance(10, Start);
  RecordedAnswer Old;
  Relay.requestChanges(9, Seconds(2), Start, Old.callback());
  DOCTEST_CHECK((Old.Status == StoreStatus::HistoryGone));
  RecordedAnswer Waiting;
  Relay.requestChanges(10, Seconds(2), Start, Waiting.callback());
  Relay.onStoreUnavailable();
  DOCTEST_CHECK((Waiting.Status == StoreStatus::Refused));
}
