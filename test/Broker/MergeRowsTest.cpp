#include "citronlever/Broker"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace citronlever;

namespace {

/// Reference implementation: sorts all rows and truncates the list.
std::vector<Row> mergeNaively(const std::vector<std::vector<Row>> &Lists,
                              std::size_t Limit) {
  std::vector<Row> All;
  for (const std::vector<Row> &List : Lists)
    All.insert(All.end(), List.begin(), List.end());
  std::ranges::stable_sort(All, ranksBefore);
  All.resize(std::min(All.size(), Limit));
  return All;
}

std::vector<std::vector<Row>> randomLists() {
  std::vector<std::vector<Row>> Lists(*rc::gen::inRange(0, 12));
  for (std::vector<Row> &List : Lists) {
    const int Count = *rc::gen::inRange(0, 8);
    for (int Index = 0; Index < Count; ++Index) {
      const int Key = *rc::gen::inRange(0, 30);
      const double Score = *rc::gen::inRange(0, 5);
      List.push_back({std::to_string(Key), Score, "{}"});
    }
    std::ranges::sort(List, ranksBefore);
  }
  return Lists;
}

} // namespace

DOCTEST_TEST_CASE("merging gives the same rows as sorting them all") {
  DOCTEST_CHECK(rc::check([] {
    const std::vector<std::vector<Row>> Lists = randomLists();
    const auto Limit = static_cast<std::size_t>(*rc::gen::inRange(0, 40));
    RC_ASSERT(mergeRows(Lists, Limit) == mergeNaively(Lists, Limit));
  }));
}
