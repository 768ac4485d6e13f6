#include "citronlever/Rollout"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

const TimePoint Begin{Seconds(100)};

ConfigPtr configWith(const std::vector<std::string> &Leaves) {
  Service Bench;
  Bench.Name = "bench";
  for (const std::string &Id : Leaves)
    Bench.Leaves.push_back({Id, {}, "up", "fd1", "v1"});
  auto Result = std::make_shared<ConfigView>();
  Result->Services["bench"] = std::make_shared<const Service>(Bench);
  return Result;
}

/// A start of 10 cold calls of \p Ms each.
void start(ColdStartProfile &Profile, std::string_view Leaf,
           LeafStartEvent StartEvent, double Ms, TimePoint Now = Begin) {
  ColdStartCall Call{"bench", "lookup", Leaf, LeafStage::Cold, StartEvent, Ms};
  for (int Count = 0; Count < 10; ++Count) {
    Profile.add(Call, Now);
    Call.StartEvent = LeafStartEvent::None;
  }
}

std::optional<double> expected(const ColdStartProfile &Profile) {
  return Profile.expectedMs("bench", "lookup", LeafStage::Cold);
}

} // namespace

DOCTEST_TEST_CASE("the slowest of enough restarts is expected") {
  ColdStartProfile Profile;
  start(Profile, "a", LeafStartEvent::Restarted, 5);
  start(Profile, "b", LeafStartEvent::Restarted, 15);
  DOCTEST_CHECK_FALSE(expected(Profile));
  start(Profile, "c", LeafStartEvent::Restarted, 6);
  DOCTEST_CHECK(expected(Profile) == 15);
  DOCTEST_CHECK_FALSE(
      Profile.expectedMs("bench", "gauges", LeafStage::Cold).has_value());
  DOCTEST_CHECK_FALSE(
      Profile.expectedMs("bench", "lookup", LeafStage::Ramping).has_value());
}

DOCTEST_TEST_CASE("a leaf that was taken over shows no start") {
  ColdStartProfile Profile;
  // What was in force when this process came up may have run for long.
  Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin);
  for (const char *Leaf : {"a", "b", "c"})
    start(Profile, Leaf, LeafStartEvent::FirstContact, 5);
  DOCTEST_CHECK_FALSE(expected(Profile));
}

DOCTEST_TEST_CASE("the first configuration of all adds its leaves") {
  ColdStartProfile Profile;
  Profile.noteEmptyStore();
  Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin);
  Profile.noteEmptyStore();
  for (const char *Leaf : {"a", "b", "c"})
    start(Profile, Leaf, LeafStartEvent::FirstContact, 5);
  DOCTEST_CHECK(expected(Profile) == 5);
}

DOCTEST_TEST_CASE("a leaf called soon after it was added shows its start") {
  const auto Expected = [](bool IsCurrent, Duration Later) {
    ColdStartProfile Profile;
    Profile.updateConfig(std::make_shared<const ConfigView>(), IsCurrent,
                         Begin);
    Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin);
    Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin + Later);
    for (const char *Leaf : {"a", "b", "c"})
      start(Profile, Leaf, LeafStartEvent::FirstContact, 5, Begin + Later);
    return expected(Profile);
  };
  DOCTEST_CHECK(Expected(true, Seconds(1)) == 5);
  DOCTEST_CHECK_FALSE(Expected(true, 2 * ColdStartProfile::StartWindow));
  DOCTEST_CHECK_FALSE(Expected(false, Seconds(1)));
}
