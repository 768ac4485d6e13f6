#include "citronlever/Registry"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

LeafEntry makeEntry(std::string Id, std::int64_t Incarnation = 1) {
  LeafEntry Result;
  Result.Id = std::move(Id);
  Result.Incarnation = Incarnation;
  Result.Service = "service";
  Result.Address = {"10.0.0.1", 80};
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a removal takes effect at once without a registry outage") {
  LeafRegistry Leaves;
  Leaves.put(makeEntry("a"), Start);
  Leaves.remove("a", Start + Seconds(1));
  DOCTEST_CHECK(Leaves.size() == 0);
}

DOCTEST_TEST_CASE(
    "leaves whose leases expired in a registry outage are dropped after the "
    "grace period unless they register again") {
  LeafRegistry Leaves;
  Leaves.put(makeEntry("back"), Start);
  Leaves.put(makeEntry("gone"), Start);
  const TimePoint Recovery = Start + Seconds(30);
  Leaves.onStoreRecovered(Recovery);
  Leaves.remove("back", Recovery);
  Leaves.remove("gone", Recovery);
  DOCTEST_CHECK(Leaves.size() == 2);
  Leaves.put(makeEntry("back"), Recovery + Seconds(2));
  Leaves.expire(Recovery + Seconds(2));
  DOCTEST_CHECK(Leaves.size() == 2);
  DOCTEST_CHECK(Leaves.expire(Recovery + LeafRegistry::RecoveryGracePeriod));
  DOCTEST_CHECK(Leaves.find("back") != nullptr);
  DOCTEST_CHECK(Leaves.find("gone") == nullptr);
}

DOCTEST_TEST_CASE(
    "a leaf that is back before its removal took effect counts as "
    "a change, so that members that heard of the removal hear of "
    "the return") {
  LeafRegistry Leaves;
  Leaves.put(makeEntry("a"), Start);
  Leaves.onStoreRecovered(Start);
  Leaves.remove("a", Start);
  DOCTEST_CHECK(Leaves.put(makeEntry("a"), Start + Seconds(1)));
  DOCTEST_CHECK(!Leaves.put(makeEntry("a"), Start + Seconds(1)));
}

DOCTEST_TEST_CASE(
    "the grace period ends within three seconds of the recovery") {
  DOCTEST_CHECK(LeafRegistry::RecoveryGracePeriod >= Seconds(2));
  DOCTEST_CHECK(LeafRegistry::RecoveryGracePeriod < Milliseconds(2500));
}

DOCTEST_TEST_CASE(
    "heartbeats alone are no change; restarts and state changes are") {
  LeafRegistry Leaves;
  DOCTEST_CHECK(Leaves.put(makeEntry("a", 1), Start));
  DOCTEST_CHECK(!Leaves.put(makeEntry("a", 1), Start));
  DOCTEST_CHECK(Leaves.put(makeEntry("a", 2), Start));
  LeafEntry Cold = makeEntry("a", 2);
  Cold.ColdTimeLeft = Seconds(2);
  DOCTEST_CHECK(Leaves.put(Cold, Start));
  Cold.ColdTimeLeft = Seconds(1);
  DOCTEST_CHECK(!Leaves.put(Cold, Start + Seconds(1)));
  Cold.Draining = true;
  DOCTEST_CHECK(Leaves.put(Cold, Start + Seconds(1)));
}

// Guards against a leaf that is overrun because it became cold again while it
// still was: only the first end of its cold time was kept.
DOCTEST_TEST_CASE("a cold leaf whose cold time ends later or sooner than known "
                  "is a change") {
  LeafRegistry Leaves;
  LeafEntry Cold = makeEntry("a");
  Cold.ColdTimeLeft = Seconds(3);
  DOCTEST_CHECK(Leaves.put(Cold, Start));
  const std::uint64_t Before = Leaves.generation();
  Cold.ColdTimeLeft = Milliseconds(1800);
  DOCTEST_CHECK(!Leaves.put(Cold, Start + Milliseconds(1230)));
  DOCTEST_CHECK(Leaves.generation() == Before);
  Cold.ColdTimeLeft = Seconds(3);
  DOCTEST_CHECK(Leaves.put(Cold, Start + Milliseconds(2400)));
  DOCTEST_CHECK(Leaves.generation() == Before + 1);
  Cold.ColdTimeLeft = Seconds(1);
  DOCTEST_CHECK(Leaves.put(Cold, Start + Milliseconds(2600)));
}
