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

DOCTEST_TEST_CASE("a removal counts at once while the registry is there") {
  LeafRegistry Leaves;
  Leaves.put(makeEntry("a"), Start);
  Leaves.remove("a", Start + Seconds(1));
  DOCTEST_CHECK(Leaves.size() == 0);
}

DOCTEST_TEST_CASE(
    "entries that lapsed while the registry was away wait for its "
    "return, and are gone if they do not come back") {
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

DOCTEST_TEST_CASE("the grace after a return ends within three seconds") {
  DOCTEST_CHECK(LeafRegistry::RecoveryGracePeriod >= Seconds(2));
  DOCTEST_CHECK(LeafRegistry::RecoveryGracePeriod < Milliseconds(2500));
}

DOCTEST_TEST_CASE("heartbeats alone change nothing; a new start does") {
  LeafRegistry Leaves;
  DOCTEST_CHECK(Leaves.put(makeEntry("a", 1), Start));
  DOCTEST_CHECK(!Leaves.put(makeEntry("a", 1), Start));
  DOCTEST_CHECK(Leaves.put(makeEntry("a", 2), Start));
  LeafEntry Cold = makeEntry("a", 2);
  Cold.ColdTimeLeft = Seconds(2);
  DOCTEST_CHECK(Leaves.put(Cold, Start));
  Cold.ColdTimeLeft = Seconds(1);
  DOCTEST_CHECK(!Leaves.put(Cold, Start));
  Cold.Draining = true;
  DOCTEST_CHECK(Leaves.put(Cold, Start));
}
