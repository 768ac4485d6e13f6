#include "support/SwimNetwork.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace citronlever;
using test::SwimNetwork;

namespace {

constexpr std::uint64_t Seed = 20261204;

/// \returns the number of pairs of running processes of which one considers the
/// other dead.
std::size_t countFalseDeaths(const SwimNetwork &Net) {
  std::size_t Count = 0;
  for (std::size_t By = 0; By < Net.Processes.size(); ++By)
    for (std::size_t Subject = 0; Subject < Net.Processes.size(); ++Subject)
      Count += Net.Processes[By].Protocol && Net.Processes[Subject].Protocol &&
               Net.stateSeenBy(By, Subject) == MemberState::Dead;
  return Count;
}

bool allSeeState(const SwimNetwork &Net, std::size_t Subject,
                 MemberState State) {
  for (std::size_t By = 0; By < Net.Processes.size(); ++By)
    if (By != Subject && Net.Processes[By].Protocol &&
        Net.stateSeenBy(By, Subject) != State)
      return false;
  return true;
}

} // namespace

DOCTEST_TEST_CASE("a fleet converges on one view soon after it starts") {
  SwimNetwork Net({}, Seed);
  Net.startFleet(16, 4);
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(20)) <
                Seconds(10));
}

DOCTEST_TEST_CASE("a crash is known everywhere, and the next process of that "
                  "name replaces it") {
  SwimNetwork Net({}, Seed);
  Net.startFleet(16, 4);
  Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
  const std::uint64_t Old = Net.Processes[5].Self.Incarnation;
  Net.kill(5);
  DOCTEST_CHECK(
      Net.runUntil([&] { return allSeeState(Net, 5, MemberState::Dead); },
                   Seconds(30)) < Seconds(10));
  Net.start(5, {Net.Processes[9].Self.Peer});
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(30)) <
                Seconds(15));
  Net.run(Seconds(30));
  DOCTEST_CHECK(Net.protocol(0).table().byIncarnation(Old) == nullptr);
}

DOCTEST_TEST_CASE(
    "processes that start together accept no partial view as complete") {
  for (std::uint64_t RunSeed = Seed; RunSeed < Seed + 20; ++RunSeed) {
    SwimNetwork Net({}, RunSeed);
    Net.startFleet(16, 4);
    Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
    const std::vector<std::size_t> Lost{2, 3, 10, 11};
    for (const std::size_t Index : Lost)
      Net.kill(Index);
    Net.run(Seconds(3));
    for (const std::size_t Index : Lost)
      Net.start(Index,
                {Net.Processes[0].Self.Peer, Net.Processes[1].Self.Peer,
                 Net.Processes[2].Self.Peer, Net.Processes[3].Self.Peer});
    const auto Unknown = [&] {
      for (const std::size_t By : Lost)
        for (std::size_t Subject = 0; Subject < Net.Processes.size(); ++Subject)
          if (Net.protocol(By).isConfirmed() &&
              !std::ranges::count(Lost, Subject) &&
              Net.stateSeenBy(By, Subject) == MemberState::Dead)
            return true;
      return false;
    };
    DOCTEST_CHECK(Net.runUntil(Unknown, Seconds(3), Milliseconds(10)) ==
                  Seconds(3));
    DOCTEST_CHECK(std::ranges::all_of(Lost, [&](std::size_t Index) {
      return Net.protocol(Index).isConfirmed();
    }));
  }
}

DOCTEST_TEST_CASE("a leaving member is announced before it stops") {
  SwimNetwork Net({}, Seed);
  Net.startFleet(16, 4);
  Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
  Net.protocol(3).leave(Net.Now);
  DOCTEST_CHECK(
      Net.runUntil([&] { return allSeeState(Net, 3, MemberState::Leaving); },
                   Seconds(10)) < Seconds(3));
  Net.run(Seconds(20));
  DOCTEST_CHECK(allSeeState(Net, 3, MemberState::Leaving));
}

DOCTEST_TEST_CASE("a loss of a fifth of all datagrams causes no false death") {
  const auto Deaths = [](const MembershipSettings &Settings) {
    SwimNetwork Net(Settings, Seed);
    Net.startFleet(16, 4);
    Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
    Net.IsLost = [&](std::size_t, std::size_t) {
      return Net.Random() % 5 == 0;
    };
    std::size_t Count = 0;
    for (int Second = 0; Second < 300; ++Second) {
      Net.run(Seconds(1));
      Count += countFalseDeaths(Net);
    }
    return Count;
  };
  DOCTEST_CHECK(Deaths({}) == 0);
  MembershipSettings Off;
  Off.EnableSuspicion = false;
  DOCTEST_CHECK(Deaths(Off) > 0);
}

DOCTEST_TEST_CASE("an isolated minority keeps the other members as suspects") {
  const auto DeadSeenByMinority = [](bool Hold, std::uint64_t With) {
    MembershipSettings Settings;
    Settings.HoldWhenIsolated = Hold;
    SwimNetwork Net(Settings, With);
    Net.startFleet(32, 4);
    Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
    const auto Minority = [](std::size_t Index) { return Index / 2 % 4 == 0; };
    Net.IsLost = [&](std::size_t From, std::size_t To) {
      return Minority(From) != Minority(To);
    };
    Net.run(Seconds(40));
    std::size_t Dead = 0;
    for (std::size_t Index = 0; Index < 32; ++Index) {
      Dead +=
          !Minority(Index) && Net.stateSeenBy(0, Index) == MemberState::Dead;
      // The majority declares the minority dead.
      DOCTEST_CHECK((Net.stateSeenBy(2, Index) == MemberState::Dead) ==
                    Minority(Index));
    }
    DOCTEST_CHECK(Net.protocol(0).isIsolated(Net.Now) == Hold);
    Net.IsLost = [](std::size_t, std::size_t) { return false; };
    DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(60)) <
                  Seconds(40));
    return Dead;
  };
  DOCTEST_CHECK(DeadSeenByMinority(true, Seed) == 0);
  DOCTEST_CHECK(DeadSeenByMinority(false, Seed) == 24);
  // With these seeds some members learn late how many others are silent.
  for (std::uint64_t RunSeed = 1; RunSeed <= 20; ++RunSeed)
    DOCTEST_CHECK(DeadSeenByMinority(true, RunSeed) == 0);
}

DOCTEST_TEST_CASE(
    "a resumed process is not in its own view until another has answered") {
  const auto IsInOwnViewAfterPause = [](bool DetectPause, Duration Pause) {
    MembershipSettings Settings;
    Settings.DetectPause = DetectPause;
    SwimNetwork Net(Settings, Seed);
    Net.startFleet(16, 4);
    Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
    Net.pause(7, Pause);
    Net.run(Pause - Milliseconds(1));
    // At first no datagram gets through, so that the process decides on its
    // own.
    Net.IsLost = [](std::size_t From, std::size_t To) {
      return From == 7 || To == 7;
    };
    Net.run(Milliseconds(300));
    const auto View = Net.protocol(7).view(Net.Now);
    const bool IsInOwnView = View.find(Net.Processes[7].Self.Name) != nullptr;
    Net.IsLost = [](std::size_t, std::size_t) { return false; };
    DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(60)) <
                  Seconds(30));
    DOCTEST_CHECK(countFalseDeaths(Net) == 0);
    return IsInOwnView;
  };
  for (const int Pause : {3, 10, 30}) {
    DOCTEST_CHECK_FALSE(IsInOwnViewAfterPause(true, Seconds(Pause)));
    DOCTEST_CHECK(IsInOwnViewAfterPause(false, Seconds(Pause)));
  }
}

DOCTEST_TEST_CASE("a short pause causes no death, a long one exactly one death "
                  "and one return") {
  for (const int Pause : {1, 5, 30}) {
    SwimNetwork Net({}, Seed);
    Net.startFleet(16, 4);
    Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
    Net.pause(7, Seconds(Pause));
    bool Dead = false;
    int Changes = 0;
    for (int Step = 0; Step < 600; ++Step) {
      Net.run(Milliseconds(100));
      const bool Now = Net.stateSeenBy(0, 7) == MemberState::Dead;
      Changes += Now != Dead;
      Dead = Now;
      for (std::size_t Index = 0; Index < 16; ++Index)
        DOCTEST_CHECK(
            (Index == 7 || Net.stateSeenBy(0, Index) != MemberState::Dead));
    }
    DOCTEST_CHECK(Changes == (Pause == 1 ? 0 : 2));
    DOCTEST_CHECK(Net.isConverged());
  }
}

DOCTEST_TEST_CASE("bytes sent stay under the limit while members restart") {
  SwimNetwork Net({}, Seed);
  constexpr std::size_t Count = 48;
  constexpr int Minutes = 3;
  Net.startFleet(Count, 4);
  Net.run(Seconds(10));
  std::vector<std::uint64_t> Before;
  for (const auto &At : Net.Processes)
    Before.push_back(At.BytesOut);
  for (int Step = 0; Step < Minutes * 60 * 2; ++Step) {
    Net.start(1 + Net.Random() % (Count - 1), {Net.Processes[0].Self.Peer});
    Net.run(Milliseconds(500));
  }
  const double Bound =
      Net.Settings.BytesPerSecond * 60 * Minutes + Net.Settings.BurstBytes;
  // Process 0 runs throughout. The bytes of probes and their answers are added.
  const auto Sent = static_cast<double>(Net.Processes[0].BytesOut - Before[0]);
  DOCTEST_CHECK(Sent < Bound + 1500.0 * 60 * Minutes);
  DOCTEST_MESSAGE("bytes a second: " << Sent / (60 * Minutes));
  DOCTEST_CHECK(Net.runUntil([&] { return Net.isConverged(); }, Seconds(180)) <
                Seconds(180));
}

DOCTEST_TEST_CASE("one-way loss to one member causes no false death") {
  SwimNetwork Net({}, Seed);
  Net.startFleet(16, 4);
  Net.runUntil([&] { return Net.isConverged(); }, Seconds(20));
  Net.IsLost = [](std::size_t From, std::size_t To) {
    return From == 2 && To == 9;
  };
  for (int Second = 0; Second < 120; ++Second) {
    Net.run(Seconds(1));
    DOCTEST_CHECK(countFalseDeaths(Net) == 0);
  }
}

DOCTEST_TEST_CASE("views converge after any schedule of faults") {
  DOCTEST_CHECK(rc::check([] {
    SwimNetwork Net({}, *rc::gen::arbitrary<std::uint64_t>());
    Net.startFleet(12, 3);
    Net.run(Seconds(8));
    const int Steps = *rc::gen::inRange(1, 6);
    for (int Step = 0; Step < Steps; ++Step) {
      const auto One = *rc::gen::inRange<std::size_t>(0, 12);
      switch (*rc::gen::inRange(0, 5)) {
      case 0: {
        const auto Percent = *rc::gen::inRange<std::uint64_t>(0, 60);
        Net.IsLost = [&Net, Percent](std::size_t, std::size_t) {
          return Net.Random() % 100 < Percent;
        };
        break;
      }
      case 1: {
        const auto Mask = *rc::gen::inRange<unsigned>(0, 4096);
        Net.IsLost = [Mask](std::size_t From, std::size_t To) {
          return ((Mask >> From ^ Mask >> To) & 1U) != 0;
        };
        break;
      }
      case 2:
        Net.pause(One, Milliseconds(*rc::gen::inRange(500, 30000)));
        break;
      case 3:
        Net.kill(One);
        break;
      default:
        Net.start(One, {Net.Processes[(One + 1) % 12].Self.Peer,
                        Net.Processes[(One + 6) % 12].Self.Peer});
      }
      Net.run(Milliseconds(*rc::gen::inRange(0, 20000)));
    }
    Net.IsLost = [](std::size_t, std::size_t) { return false; };
    RC_ASSERT(Net.runUntil([&] { return Net.isConverged(); }, Seconds(180),
                           Seconds(1)) < Seconds(180));
  }));
}
