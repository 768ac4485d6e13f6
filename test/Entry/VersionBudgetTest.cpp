#include "citronlever/Entry"
#include "citronlever/Rollout"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

const VersionShare Canary{"r1", "v2", 0.05};
constexpr std::size_t Shards = 20;

constexpr TimePoint Now{Seconds(100)};

VersionReservation reserve(VersionBudget &Budget, VersionPreference Preference,
                           TimePoint At = Now) {
  return Budget.reserve("bench", Canary, Shards, Preference, At);
}

/// Completes \p Queries queries of the old version.
void answerOld(VersionBudget &Budget, int Queries) {
  for (int Query = 0; Query < Queries; ++Query)
    Budget.settle("bench", reserve(Budget, VersionPreference::Old), Shards);
}

/// Queries of the old version before the first one may go to the new version.
constexpr int FirstAfter = 19 * (VersionBudget::MaxCallsPerShard +
                                 VersionBudget::HeadroomCallsPerShard);

} // namespace

DOCTEST_TEST_CASE("the first query of a version waits for enough old ones") {
  VersionBudget Budget;
  DOCTEST_CHECK_FALSE(reserve(Budget, VersionPreference::New).New);
  int Old = 0;
  while (!reserve(Budget, VersionPreference::New).New) {
    answerOld(Budget, 1);
    ++Old;
  }
  // There is room for every hedge and retry of the query, and for the headroom.
  DOCTEST_CHECK(Old == FirstAfter);
}

DOCTEST_TEST_CASE(
    "probes, and first queries after HeadroomPeriod, need no headroom") {
  constexpr int ProbeAfter = 19 * VersionBudget::MaxCallsPerShard;
  const auto First = [](VersionPreference Preference, Duration Age) {
    VersionBudget Budget;
    answerOld(Budget, ProbeAfter);
    return reserve(Budget, Preference, Now + Age).New;
  };
  DOCTEST_CHECK(First(VersionPreference::Probe, Duration{}));
  DOCTEST_CHECK_FALSE(First(VersionPreference::New, Duration{}));
  DOCTEST_CHECK(First(VersionPreference::New, VersionBudget::HeadroomPeriod));
}

DOCTEST_TEST_CASE("more queries can follow the first of a version at once") {
  VersionBudget Budget;
  answerOld(Budget, FirstAfter);
  constexpr int Room = 1 + VersionBudget::HeadroomCallsPerShard;
  for (int Query = 0; Query < Room; ++Query) {
    const auto Reservation = reserve(Budget, VersionPreference::New);
    DOCTEST_REQUIRE(Reservation.New);
    Budget.settle("bench", Reservation, Shards);
  }
  DOCTEST_CHECK_FALSE(reserve(Budget, VersionPreference::New).New);
  answerOld(Budget, 20);
  DOCTEST_CHECK(reserve(Budget, VersionPreference::New).New);
}

DOCTEST_TEST_CASE("probes stay within the budget and ProbePeriod") {
  VersionBudget Budget;
  DOCTEST_CHECK_FALSE(reserve(Budget, VersionPreference::Probe).New);
  answerOld(Budget, FirstAfter);
  const auto Probe = [&](Duration After) {
    const auto Reservation =
        reserve(Budget, VersionPreference::Probe, Now + After);
    Budget.settle("bench", Reservation, Reservation.New ? Shards : 0);
    return Reservation.New;
  };
  constexpr Duration Period = VersionBudget::ProbePeriod;
  DOCTEST_CHECK(Period > RolloutAgent::Interval);
  DOCTEST_CHECK(Probe(Duration{}));
  DOCTEST_CHECK_FALSE(Probe(Period - Milliseconds(1)));
  DOCTEST_CHECK(Probe(Period));
  for (int Query = 2; Query <= 4; ++Query)
    DOCTEST_CHECK(Probe(Query * Period));
  DOCTEST_CHECK_FALSE(Probe(5 * Period));
}

DOCTEST_TEST_CASE("another rollout starts with an empty budget") {
  VersionBudget Budget;
  answerOld(Budget, FirstAfter);
  const VersionShare Next{"r2", "v3", 0.05};
  DOCTEST_CHECK_FALSE(
      Budget.reserve("bench", Next, Shards, VersionPreference::New, Now).New);
  DOCTEST_CHECK_FALSE(reserve(Budget, VersionPreference::New).New);
}

DOCTEST_TEST_CASE("no order of requests takes a version above its share") {
  DOCTEST_CHECK(rc::check([](const std::vector<std::uint8_t> &Steps) {
    VersionBudget Budget;
    std::vector<VersionReservation> Open;
    double Old = 0;
    double New = 0;
    for (const std::uint8_t Step : Steps) {
      const VersionPreference Preference =
          Step % 2 == 0 ? VersionPreference::New : VersionPreference::Old;
      Open.push_back(Budget.reserve("bench", Canary, 1, Preference, Now));
      if (Step % 4 == 0)
        continue;
      // At most as many leaf calls as one shard may cause.
      const VersionReservation Reservation = Open.front();
      Open.erase(Open.begin());
      const std::uint64_t Calls = 1 + Step % VersionBudget::MaxCallsPerShard;
      (Reservation.New ? New : Old) += static_cast<double>(Calls);
      Budget.settle("bench", Reservation, Calls);
      double Running = 0;
      for (const VersionReservation &Unsettled : Open)
        Running += static_cast<double>(Unsettled.Calls);
      RC_ASSERT(New + Running <= Canary.Share * (Old + New + Running) + 1e-9);
    }
  }));
}
