#include "test/Contracts/ShareSimulation.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr std::size_t Entries = 8;
constexpr double StepsPerSecond = 100;

Contract contract() {
  Contract Terms;
  Terms.Customer = "workshop-a";
  Terms.Rate = 2000;
  Terms.Burst = 100;
  Terms.Concurrency = 400;
  return Terms;
}

/// \returns the requests per second admitted under \p Load in steady state.
double admittedRate(const std::vector<double> &Load) {
  ShareSimulation Run(contract(), Entries, 7);
  constexpr int WarmUp = 300;
  constexpr int Measured = 1000;
  for (int Step = 0; Step < WarmUp; ++Step)
    Run.step(Load);
  std::size_t Admitted = 0;
  for (int Step = 0; Step < Measured; ++Step)
    Admitted += Run.step(Load);
  return static_cast<double>(Admitted) * StepsPerSecond / Measured;
}

} // namespace

DOCTEST_TEST_CASE("load on any one entry gets at least 95 % of the contract") {
  for (std::size_t Index = 0; Index < Entries; ++Index) {
    std::vector<double> Load(Entries, 0);
    Load[Index] = 2 * contract().Rate;
    const double Rate = admittedRate(Load);
    DOCTEST_INFO("entry ", Index, " rate ", Rate);
    DOCTEST_CHECK(Rate >= 0.95 * contract().Rate);
    DOCTEST_CHECK(Rate <= contract().Rate);
  }
}

DOCTEST_TEST_CASE("uneven load above the contract gets 95 % of it") {
  const std::vector<double> Load = {1500, 800, 700, 400, 300, 100, 100, 100};
  const double Rate = admittedRate(Load);
  DOCTEST_INFO("rate ", Rate);
  DOCTEST_CHECK(Rate >= 0.95 * contract().Rate);
  DOCTEST_CHECK(Rate <= contract().Rate);
}

DOCTEST_TEST_CASE(
    "the burst is available from the first contact and granted once") {
  ShareSimulation Run(contract(), Entries, 7);
  const std::vector<double> Load(Entries, 2000);
  std::size_t Admitted = 0;
  for (int Step = 1; Step <= 300; ++Step) {
    Admitted += Run.step(Load);
    const double Seconds = Step / StepsPerSecond;
    DOCTEST_REQUIRE(static_cast<double>(Admitted) <=
                    contract().Rate * Seconds + contract().Burst + Entries);
    if (Step == 10)
      DOCTEST_CHECK(static_cast<double>(Admitted) >= contract().Burst);
  }
}

DOCTEST_TEST_CASE("an entry's first callers are not refused") {
  // By the time of the second load the grantor has requested every entry's
  // promise.
  ShareSimulation Run(contract(), Entries, 7);
  std::vector<double> Load(Entries, 0);
  Load[0] = 50;
  std::size_t Admitted = 0;
  for (int Step = 0; Step < 4; ++Step)
    Admitted += Run.step(Load);
  Load[5] = 50;
  for (int Step = 0; Step < 100; ++Step)
    Admitted += Run.step(Load);
  DOCTEST_CHECK(Run.refused() == 0);
  // Few requests have to wait for a grant.
  DOCTEST_CHECK(Admitted >= 98);
}

/// \returns the fraction of the load that is admitted while the grantor leaves
/// and returns twice.
double admittedOverChanges(bool ReleasePromises) {
  ShareSettings Settings;
  Settings.ReleasePromises = ReleasePromises;
  ShareSimulation Run(contract(), Entries, 7, Settings);
  const std::vector<std::string> Names = Run.names();
  const std::string First =
      chooseEntries(contract().Customer, Names, 1).front();
  const std::vector<double> Load(Entries, 100);
  constexpr int Steps = 1200;
  std::size_t Admitted = 0;
  for (int Step = 0; Step < Steps; ++Step) {
    if (Step % 600 == 200)
      Run.loseNode(static_cast<std::size_t>(std::ranges::find(Names, First) -
                                            Names.begin()));
    if (Step % 600 == 500)
      Run.loseNode(Entries);
    Admitted += Run.step(Load);
  }
  return static_cast<double>(Admitted) / (Steps * Entries);
}

DOCTEST_TEST_CASE("a change of the grantor refuses at most 1 % of the load") {
  DOCTEST_CHECK(admittedOverChanges(true) >= 0.99);
  DOCTEST_CHECK(admittedOverChanges(false) < 0.98);
}

DOCTEST_TEST_CASE("a second entry under load gets its share within 150 ms") {
  Contract Terms = contract();
  Terms.Concurrency = 4000;
  // Covers all phases of the other entry's report period.
  for (int Before = 300; Before < 320; ++Before) {
    ShareSimulation Run(Terms, Entries, 7);
    std::vector<double> Load(Entries, 0);
    Load[0] = 0.9 * contract().Rate;
    for (int Step = 0; Step < Before; ++Step)
      Run.step(Load);
    Load[1] = 0.5 * contract().Rate;
    for (int Step = 0; Step < 15; ++Step)
      Run.step(Load);
    DOCTEST_INFO("after ", Before, " steps");
    DOCTEST_CHECK(Run.share(1).Rate >= 0.45 * contract().Rate);
  }
}

DOCTEST_TEST_CASE("load within the contract is not refused") {
  const std::vector<double> Load = {900, 300, 200, 100, 50, 50, 50, 50};
  const double Rate = admittedRate(Load);
  DOCTEST_INFO("rate ", Rate);
  DOCTEST_CHECK(Rate >= 1699);
}

DOCTEST_TEST_CASE("losing an entry changes only the sets that contained it") {
  std::vector<std::string> Live;
  Live.reserve(50);
  for (int Index = 0; Index < 50; ++Index)
    Live.push_back("entry-" + std::to_string(Index));
  std::vector<std::string> Fewer(Live.begin() + 1, Live.end());
  int Changed = 0;
  constexpr int Customers = 500;
  for (int Index = 0; Index < Customers; ++Index) {
    const std::string Customer = "customer-" + std::to_string(Index);
    const auto Before = chooseEntries(Customer, Live, 4);
    const auto After = chooseEntries(Customer, Fewer, 4);
    Changed += Before != After ? 1 : 0;
    if (std::find(Before.begin(), Before.end(), Live[0]) == Before.end())
      DOCTEST_CHECK(Before == After);
  }
  // 4 of 50 entries serve a customer.
  DOCTEST_CHECK(Changed < Customers * 16 / 100);
}
