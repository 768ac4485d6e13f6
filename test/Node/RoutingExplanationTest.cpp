#include "citronlever/src/Node/RoutingExplanation.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>

using namespace citronlever;

namespace {

/// A service with a leaf "old" of version v1, which is in service, and a leaf
/// "new" of version v2, whose rollout has reached \p Share.
std::shared_ptr<ConfigView> configWith(double Share) {
  Service Bench;
  Bench.Name = "bench";
  Bench.Version = "v1";
  Bench.Leaves = {{"old", {}, "up1", "fd1", "v1"},
                  {"new", {}, "up2", "fd2", "v2"}};
  Bench.Snapshots = {{"s1", {{0, 1}}}};
  auto Result = std::make_shared<ConfigView>();
  Result->Services["bench"] = std::make_shared<const Service>(Bench);
  Result->RolloutShares["bench"] = {"r1", "v2", Share};
  return Result;
}

std::string explanation(std::string_view Kind, std::string_view Name,
                        const ConfigViewPtr &Config,
                        const BadVersionMarks &Marks) {
  const auto Answer = explainRouting(
      Kind, Name, Config, std::make_shared<const MemberView>(), Marks);
  return boost::json::serialize(Answer.at("words"));
}

} // namespace

DOCTEST_TEST_CASE("the explanation states a version's share of the calls") {
  const BadVersionMarks Marks;
  const auto Config = configWith(0.05);
  DOCTEST_CHECK(explanation("leaf", "old", Config, Marks) ==
                R"(["version v1 is in service"])");
  DOCTEST_CHECK(explanation("leaf", "new", Config, Marks) ==
                R"(["version v2 is under rollout r1 and gets at most 5 % of )"
                R"(the calls"])");
  DOCTEST_CHECK(explanation("service", "bench", configWith(0), Marks) ==
                R"(["version v1 is in service","version v2 is out: rollout r1 )"
                R"(was taken back; citronctl version status bench has the )"
                R"(reason"])");
}

DOCTEST_TEST_CASE("the explanation says who marked a version bad and why") {
  BadVersionMarks Marks;
  Marks.add({"bench", "r1", "lookup: fails more often (member)", "vm1/broker"});
  DOCTEST_CHECK(explanation("leaf", "new", configWith(0.05), Marks) ==
                R"(["version v2 is out: marked bad by vm1/broker: lookup: )"
                R"-(fails more often (member)"])-");
}

DOCTEST_TEST_CASE("the explanation lists what operators took out") {
  const BadVersionMarks Marks;
  const auto Config = configWith(0.05);
  Config->DomainsOutOfService.insert("fd1");
  Config->VmsOutOfService.insert("up1");
  DOCTEST_CHECK(explanation("leaf", "old", Config, Marks) ==
                R"(["out: operators took failure domain fd1 out","out: )"
                R"(operators took VM up1 out","version v1 is in service"])");
}
