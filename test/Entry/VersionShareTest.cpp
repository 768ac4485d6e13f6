#include "test/Entry/UnlimitedBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;
using namespace citronlever::test;

namespace {

std::string choose(double Share, std::string_view Query,
                   VersionHealth Health = VersionHealth::Unproven) {
  ConfigView Config;
  Service Bench;
  Bench.Name = "bench";
  Bench.Version = "v1";
  Config.RolloutShares["bench"] = {"r1", "v2", Share};
  UnlimitedBudget Budget(Config, "bench");
  return chooseVersion(Config, Bench, Query, 1,
                       [Health](std::string_view, TimePoint) { return Health; },
                       Budget.CallBudget, {})
      .Version;
}

} // namespace

DOCTEST_TEST_CASE("a growing share only moves queries to the new version") {
  DOCTEST_CHECK(rc::check([](const std::string &Query) {
    if (choose(0.05, Query) == "v2")
      RC_ASSERT(choose(0.4, Query) == "v2");
    RC_ASSERT(choose(0, Query) == "v1");
    RC_ASSERT(choose(1, Query) == "v2");
  }));
}

DOCTEST_TEST_CASE("a suspected rollout gets any query unless its share is 0") {
  DOCTEST_CHECK(choose(1e-7, "query") == "v1");
  DOCTEST_CHECK(choose(1e-7, "query", VersionHealth::Suspected) == "v2");
  DOCTEST_CHECK(choose(0, "query", VersionHealth::Suspected) == "v1");
}

DOCTEST_TEST_CASE("a rollout marked bad gets no queries at any share") {
  DOCTEST_CHECK(choose(1, "query", VersionHealth::Bad) == "v1");
}
