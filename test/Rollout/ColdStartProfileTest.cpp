#include "citronlever/Rollout"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

const TimePoint Begin{Seconds(100)};

ConfigViewPtr configWith(const std::vector<std::string> &Leaves) {
  Service Bench;
  Bench.Name = "bench";
  for (const std::string &Id : Leaves)
    Bench.Leaves.push_back({Id, {}, "up", "fd1", "v1"});
  auto Result = std::make_shared<ConfigView>();
  Result->Services["bench"] = std::make_shared<const Service>(Bench);
  return Result;
}

/// Adds a start: 10 cold calls with a latency of \p Ms each.
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

DOCTEST_TEST_CASE(
    "the slowest start is expected once three starts were observed") {
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

DOCTEST_TEST_CASE(
    "the first call to a leaf taken over from another owner is no start") {
  ColdStartProfile Profile;
  // Leaves that are configured when the process starts may have run for long.
  Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin);
  for (const char *Leaf : {"a", "b", "c"})
    start(Profile, Leaf, LeafStartEvent::FirstContact, 5);
  DOCTEST_CHECK_FALSE(expected(Profile));
}

DOCTEST_TEST_CASE(
    "leaves of the first configuration of an empty store count as added") {
  ColdStartProfile Profile;
  Profile.noteEmptyStore();
  Profile.updateConfig(configWith({"a", "b", "c"}), true, Begin);
  Profile.noteEmptyStore();
  for (const char *Leaf : {"a", "b", "c"})
    start(Profile, Leaf, LeafStartEvent::FirstContact, 5);
  DOCTEST_CHECK(expected(Profile) == 5);
}

DOCTEST_TEST_CASE("a first call soon after a leaf was added is a start") {
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
