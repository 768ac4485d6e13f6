#include "test/Entry/UnlimitedBudget.h"

#include <doctest/doctest.h>

using namespace citronlever;
using namespace citronlever::test;

DOCTEST_TEST_CASE("a query stays on the new version while the share grows") {
  Service ServiceConfig;
  ServiceConfig.Name = "bench";
  ServiceConfig.Version = "v1";
  ConfigView Config;
  constexpr int Queries = 5000;
  std::vector<bool> OnNew(Queries, false);
  for (const double Share : {0.0, 0.05, 0.5, 1.0}) {
    Config.RolloutShares["bench"] = {"rollout-1", "v2", Share};
    int Count = 0;
    UnlimitedBudget Budget(Config, "bench");
    for (int Index = 0; Index < Queries; ++Index) {
      const std::string Query = "query-" + std::to_string(Index);
      const bool New = chooseVersion(Config, ServiceConfig, Query, 1, {},
                                     Budget.CallBudget, {})
                           .Version == "v2";
      Count += New ? 1 : 0;
      if (OnNew[static_cast<std::size_t>(Index)])
        DOCTEST_CHECK(New);
      OnNew[static_cast<std::size_t>(Index)] = New;
    }
    DOCTEST_CHECK(Count >= Queries * (Share - 0.02));
    DOCTEST_CHECK(Count <= Queries * (Share + 0.02));
  }
}

DOCTEST_TEST_CASE("a rollout marked bad gets no queries") {
  Service ServiceConfig;
  ServiceConfig.Name = "bench";
  ServiceConfig.Version = "v1";
  ConfigView Config;
  Config.RolloutShares["bench"] = {"rollout-1", "v2", 1.0};
  UnlimitedBudget Budget(Config, "bench");
  const auto Choose = [&](std::string_view BadId) {
    return chooseVersion(Config, ServiceConfig, "q", 1,
                         [BadId](std::string_view Id, TimePoint) {
                           return Id == BadId ? VersionHealth::Bad
                                              : VersionHealth::Unproven;
                         },
                         Budget.CallBudget, {})
        .Version;
  };
  DOCTEST_CHECK(Choose("rollout-1") == "v1");
  DOCTEST_CHECK(Choose("rollout-0") == "v2");
}
