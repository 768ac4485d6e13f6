#include "citronlever/Gateway"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace citronlever;

namespace {

std::string sortAll(const std::vector<std::string> &Parts,
                    std::size_t MaxRecords) {
  std::vector<std::string> Records;
  for (const std::string &Part : Parts)
    for (std::size_t At = 0; At + 16 <= Part.size(); At += 16)
      Records.push_back(Part.substr(At, 16));
  std::sort(Records.rbegin(), Records.rend());
  std::string Result;
  for (std::size_t At = 0; At < std::min(MaxRecords, Records.size()); ++At)
    Result += Records[At];
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("the merge equals sorting all records") {
  const unsigned Seed = 11;
  DOCTEST_INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 300; ++Round) {
    std::vector<std::string> Parts(Random() % 6);
    for (std::string &Part : Parts) {
      const auto Size = Random() % 100;
      for (unsigned At = 0; At < Size; ++At)
        Part += static_cast<char>(Random() % 3 * 127);
    }
    const std::size_t MaxRecords = Random() % 12;
    DOCTEST_CHECK(mergeRecords(Parts, MaxRecords) ==
                  sortAll(Parts, MaxRecords));
  }
}

DOCTEST_TEST_CASE("bytes compare as unsigned, and duplicate records are kept") {
  const std::string Low(16, '\x01');
  const std::string High(16, '\xf0');
  const std::vector<std::string> Parts = {Low + High, High + "short"};
  DOCTEST_CHECK(mergeRecords(Parts, 3) == High + High + Low);
}
