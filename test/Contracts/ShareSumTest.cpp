#include "test/Contracts/ShareSimulation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

constexpr std::size_t Entries = 4;
constexpr int Steps = 1500;

/// A contract that three of the four entries serve.
Contract contract() {
  Contract Terms;
  Terms.Customer = "workshop-a";
  Terms.Rate = 600;
  Terms.Burst = 60;
  Terms.Concurrency = 100;
  return Terms;
}

/// Periods of the faults, in steps.
struct Disturbances {
  int ViewEvery = 150;
  /// An entry leaves or returns in all views, with lags, and the load moves to
  /// other entries; 0 for never.
  int LoseEvery = 0;
  int PauseEvery = 0;
  double Doubling = 0;
};

/// Frequent changes of the grantor, late, duplicated and lost messages, and
/// pauses longer than the lease.
constexpr Disturbances Changing{
    .ViewEvery = 230, .LoseEvery = 60, .PauseEvery = 170, .Doubling = 0.1};

/// \returns the highest sum of shares in one run with message loss, delays and
/// views that differ.
Share worstSum(std::uint32_t Seed, const ShareSettings &Settings,
               const Disturbances &Schedule = {}) {
  ShareSimulation Run(contract(), Entries, Seed, Settings);
  const std::size_t ExtraDelay = Run.draw(300);
  const std::size_t LossPercent = Run.draw(40);
  Run.setNetwork(static_cast<double>(LossPercent) / 100,
                 Milliseconds(1 + ExtraDelay));
  Run.setDoubling(Schedule.Doubling);
  std::vector<double> Load(Entries, 0);
  Share Worst;
  for (int Step = 0; Step < Steps; ++Step) {
    if (Step % 100 == 0)
      Load[Run.draw(Entries)] = static_cast<double>(Run.draw(1500));
    if (Step % Schedule.ViewEvery == 0)
      Run.hideRandomNode(Run.draw(Entries));
    if (Schedule.LoseEvery > 0 && Step % Schedule.LoseEvery == 0) {
      Run.loseNode(Run.draw(Entries + 1));
      std::rotate(Load.begin(), Load.begin() + 1, Load.end());
    }
    if (Schedule.PauseEvery > 0 && Step % Schedule.PauseEvery == 0) {
      const std::size_t PauseTime = Run.draw(4000);
      const std::size_t Paused = Run.draw(Entries);
      Run.pause(Paused, Milliseconds(PauseTime));
    }
    Run.step(Load);
    const Share Sum = Run.totalShare();
    Worst.Rate = std::max(Worst.Rate, Sum.Rate);
    Worst.Burst = std::max(Worst.Burst, Sum.Burst);
    Worst.Concurrency = std::max(Worst.Concurrency, Sum.Concurrency);
  }
  return Worst;
}

void checkSum(const Disturbances &Schedule) {
  DOCTEST_CHECK(rc::check([&] {
    const Share Worst = worstSum(*rc::gen::arbitrary<std::uint32_t>(),
                                 ShareSettings(), Schedule);
    RC_ASSERT(Worst.Rate <= contract().Rate + 1e-6);
    // Each entry holds room for one request beside its part.
    RC_ASSERT(Worst.Burst <= contract().Burst + Entries);
    RC_ASSERT(Worst.Concurrency <= contract().Concurrency + 1);
  }));
}

/// \returns the highest sum of rates in ten runs.
double worstRate(const ShareSettings &Settings,
                 const Disturbances &Schedule = {}) {
  double Worst = 0;
  for (std::uint32_t Seed = 1; Seed <= 10; ++Seed)
    Worst = std::max(Worst, worstSum(Seed, Settings, Schedule).Rate);
  return Worst;
}

} // namespace

DOCTEST_TEST_CASE("shares stay under the contract while views differ") {
  checkSum({});
}

DOCTEST_TEST_CASE("shares stay under the contract while grantors change") {
  checkSum(Changing);
}

DOCTEST_TEST_CASE("handovers that are not counted exceed the contract") {
  ShareSettings Settings;
  Settings.CountHandovers = false;
  DOCTEST_CHECK(worstRate(Settings, Changing) > contract().Rate * 1.2);
}

DOCTEST_TEST_CASE("without promises two grantors exceed the contract") {
  ShareSettings Settings;
  Settings.RequirePromises = false;
  DOCTEST_CHECK(worstRate(Settings) > contract().Rate * 1.2);
}
