#include "citronlever/Rollout"

#include <doctest/doctest.h>

using namespace citronlever;

DOCTEST_TEST_CASE("the first mark of a rollout is kept") {
  BadVersionMarks Marks;
  DOCTEST_CHECK(Marks.add({"bench", "r1", "fails", "vm1/broker"}));
  DOCTEST_CHECK(!Marks.add({"bench", "r1", "again", "vm2/broker"}));
  DOCTEST_CHECK(Marks.contains("r1"));
  DOCTEST_CHECK(Marks.reason("r1") == "fails");
  DOCTEST_CHECK(Marks.all().size() == 1);
}

DOCTEST_TEST_CASE(
    "marks of rollouts that the configuration no longer names are removed") {
  BadVersionMarks Marks;
  Marks.add({"bench", "r1", "fails", ""});
  Marks.add({"bench", "r2", "fails", ""});
  Marks.retain([](std::string_view Id) { return Id == "r2"; });
  DOCTEST_CHECK(!Marks.contains("r1"));
  DOCTEST_CHECK(Marks.contains("r2"));
}
