#include "citronlever/Registry"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr TimePoint Start{Seconds(100)};

LeafEntry entry(std::string Id, std::int64_t Incarnation = 1) {
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
  Leaves.put(entry("a"), Start);
  Leaves.remove("a", Start + Seconds(1));
  DOCTEST_CHECK(Leaves.size() == 0);
}

DOCTEST_TEST_CASE(
    "entries that lapsed while the registry was away wait for its "
    "return, and are gone if they do not come back") {
  LeafRegistry Leaves;
  Leaves.put(entry("back"), Start);
  Leaves.put(entry("gone"), Start);
  const TimePoint Back = Start + Seconds(30);
  Leaves.registryBack(Back);
  Leaves.remove("back", Back);
  Leaves.remove("gone", Back);
  DOCTEST_CHECK(Leaves.size() == 2);
  Leaves.put(entry("back"), Back + Seconds(2));
  Leaves.expire(Back + Seconds(2));
  DOCTEST_CHECK(Leaves.size() == 2);
  DOCTEST_CHECK(Leaves.expire(Back + LeafRegistry::ReturnGrace));
  DOCTEST_CHECK(Leaves.find("back") != nullptr);
  DOCTEST_CHECK(Leaves.find("gone") == nullptr);
}

DOCTEST_TEST_CASE("the grace after a return ends within three seconds") {
  DOCTEST_CHECK(LeafRegistry::ReturnGrace >= Seconds(2));
  DOCTEST_CHECK(LeafRegistry::ReturnGrace < Milliseconds(2500));
}

DOCTEST_TEST_CASE("heartbeats alone change nothing; a new start does") {
  LeafRegistry Leaves;
  DOCTEST_CHECK(Leaves.put(entry("a", 1), Start));
  DOCTEST_CHECK(!Leaves.put(entry("a", 1), Start));
  DOCTEST_CHECK(Leaves.put(entry("a", 2), Start));
  LeafEntry Cold = entry("a", 2);
  Cold.ColdFor = Seconds(2);
  DOCTEST_CHECK(Leaves.put(Cold, Start));
  Cold.ColdFor = Seconds(1);
  DOCTEST_CHECK(!Leaves.put(Cold, Start));
  Cold.Draining = true;
  DOCTEST_CHECK(Leaves.put(Cold, Start));
}
