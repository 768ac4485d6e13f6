// Loss of whole failure domains, and faults that must not be mistaken for one.
#include "support/SwimNetwork.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace citronlever;
using test::SwimNetwork;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr std::size_t Domains = 4;

std::size_t domainOf(std::size_t Index) { return Index / 2 % Domains; }

/// Starts members that know each other.
void startKnown(SwimNetwork &Net, std::size_t Count) {
  std::vector<Member> All;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Net.add(Index / 2, Index % 2 == 0 ? Role::Entry : Role::Broker, Domains);
    Net.start(Index, {});
    All.push_back(Net.Processes[Index].Self);
    All.back().Generation = 1;
  }
  for (auto &At : Net.Processes)
    At.Protocol->load(All, Net.Now);
  Net.run(Seconds(3));
}

/// \returns the number of pairs of a running process and a process selected by
/// \p Of that it sees in state \p AtLeast or later.
template <class Predicate>
std::size_t countSeen(const SwimNetwork &Net, Predicate Of,
                      MemberState AtLeast) {
  std::size_t Count = 0;
  for (std::size_t By = 0; By < Net.Processes.size(); ++By)
    for (std::size_t At = 0; At < Net.Processes.size(); ++At)
      Count += Net.Processes[By].Protocol && Of(At) &&
               Net.stateSeenBy(By, At) >= AtLeast;
  return Count;
}

std::size_t running(const SwimNetwork &Net) {
  return static_cast<std::size_t>(
      std::count_if(Net.Processes.begin(), Net.Processes.end(),
                    [](const auto &At) { return At.Protocol != nullptr; }));
}

/// Times from the loss of a domain until all other members suspect all of it,
/// and until they declare all of it dead.
struct LossTimes {
  Duration Suspected{};
  Duration Dead{};
};

LossTimes loseDomain(std::size_t Count, std::size_t Sample) {
  MembershipSettings Settings;
  Settings.DomainSampleSize = Sample;
  SwimNetwork Net(Settings, Seed);
  startKnown(Net, Count);
  const auto Lost = [](std::size_t Index) { return domainOf(Index) == 1; };
  std::size_t Killed = 0;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Lost(Index)) {
      Net.kill(Index);
      ++Killed;
    }
  const auto All = [&](MemberState AtLeast) {
    return [&Net, &Lost, Killed, AtLeast] {
      return countSeen(Net, Lost, AtLeast) == Killed * running(Net);
    };
  };
  LossTimes Result;
  Result.Suspected = Net.runUntil(All(MemberState::Suspect), Seconds(60));
  Result.Dead =
      Result.Suspected + Net.runUntil(All(MemberState::Dead), Seconds(60));
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("all members suspect a lost domain within 3 s and declare it "
                  "dead within 5 s") {
  constexpr std::size_t Count = 480;
  const LossTimes Times =
      loseDomain(Count, MembershipSettings{}.DomainSampleSize);
  const LossTimes Off = loseDomain(Count, 0);
  const auto Ms = [](Duration Value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  };
  DOCTEST_MESSAGE("suspected " << Ms(Times.Suspected) << " ms, dead "
                               << Ms(Times.Dead) << " ms; one by one "
                               << Ms(Off.Suspected) << " and " << Ms(Off.Dead));
  DOCTEST_CHECK(Times.Suspected <= Seconds(3));
  DOCTEST_CHECK(Times.Dead <= Seconds(5));
  DOCTEST_CHECK(Off.Suspected > Seconds(3));
  DOCTEST_CHECK(Off.Dead > Seconds(5));
}

DOCTEST_TEST_CASE(
    "the live half of a domain is not declared dead with the other") {
  SwimNetwork Net({}, Seed);
  startKnown(Net, 240);
  for (std::size_t Index = 0; Index < Net.Processes.size(); ++Index)
    if (domainOf(Index) == 1 && Index / 2 / Domains % 2 == 0)
      Net.kill(Index);
  const auto IsRunning = [&](std::size_t At) {
    return !!Net.Processes[At].Protocol;
  };
  for (int Step = 0; Step < 100; ++Step) {
    Net.run(Milliseconds(200));
    DOCTEST_CHECK(countSeen(Net, IsRunning, MemberState::Dead) == 0);
  }
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(60)) <
                Seconds(60));
}

DOCTEST_TEST_CASE(
    "no member is declared dead when two domains cannot reach each other") {
  SwimNetwork Net({}, Seed);
  startKnown(Net, 240);
  Net.IsLost = [](std::size_t From, std::size_t To) {
    return domainOf(From) + domainOf(To) == 1;
  };
  const auto All = [](std::size_t) { return true; };
  for (int Step = 0; Step < 60; ++Step) {
    Net.run(Milliseconds(500));
    DOCTEST_CHECK(countSeen(Net, All, MemberState::Dead) == 0);
  }
}

DOCTEST_TEST_CASE("an isolated domain keeps the others as suspects") {
  SwimNetwork Net({}, Seed);
  startKnown(Net, 240);
  const auto IsIsolated = [](std::size_t Index) {
    return domainOf(Index) == 1;
  };
  Net.IsLost = [&](std::size_t From, std::size_t To) {
    return IsIsolated(From) != IsIsolated(To);
  };
  Net.run(Seconds(20));
  std::size_t Wrong = 0;
  for (std::size_t By = 0; By < Net.Processes.size(); ++By)
    for (std::size_t Subject = 0; Subject < Net.Processes.size(); ++Subject)
      Wrong += (Net.stateSeenBy(By, Subject) == MemberState::Dead) !=
               (!IsIsolated(By) && IsIsolated(Subject));
  DOCTEST_CHECK(Wrong == 0);
  Net.IsLost = [](std::size_t, std::size_t) { return false; };
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(60)) <
                Seconds(40));
}

DOCTEST_TEST_CASE("a short silence of a whole domain is refuted") {
  SwimNetwork Net({}, Seed);
  startKnown(Net, 240);
  bool Silent = true;
  const auto IsIsolated = [](std::size_t Index) {
    return domainOf(Index) == 1;
  };
  Net.IsLost = [&](std::size_t From, std::size_t To) {
    return Silent && IsIsolated(From) != IsIsolated(To);
  };
  Net.run(Milliseconds(1500));
  DOCTEST_CHECK(countSeen(Net, IsIsolated, MemberState::Suspect) > 0);
  DOCTEST_CHECK(countSeen(Net, IsIsolated, MemberState::Dead) == 0);
  Silent = false;
  const auto All = [](std::size_t) { return true; };
  for (int Step = 0; Step < 50; ++Step) {
    Net.run(Milliseconds(200));
    DOCTEST_CHECK(countSeen(Net, All, MemberState::Dead) == 0);
  }
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(30)) <
                Seconds(20));
}
