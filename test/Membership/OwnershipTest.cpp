#include "support/Fleet.h"

#include "citronlever/src/Core/Hash.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace citronlever;

namespace {

bool isEligible(const Member &Node, const ConfigView &Config) {
  return Node.State < MemberState::Leaving &&
         !Config.DomainsOutOfService.contains(Node.Domain) &&
         !Config.VmsOutOfService.contains(Node.Vm);
}

/// Reference: determines the owner by comparing all brokers, without domain
/// tables or a cache.
const Member *referenceOwner(const MemberView &View, const ConfigView &Config,
                             const Service &ServiceConfig,
                             std::uint32_t Group) {
  const std::uint64_t Key = hashOf(ServiceConfig.Name, Group);
  const auto Rank = [&](const Member &Node) {
    std::size_t Leaves = 0;
    const auto &Shards = ServiceConfig.Snapshots.front().Shards;
    for (std::size_t Shard = 0; Shard < Shards.size(); ++Shard)
      if (Shard / ServiceConfig.GroupShards == Group)
        for (const auto Index : Shards[Shard])
          Leaves += ServiceConfig.Leaves[Index].Domain == Node.Domain;
    return std::tuple(Leaves, rendezvousScore(Key, hashOf(Node.Domain)),
                      rendezvousScore(Key, hashOf(Node.Name)));
  };
  const Member *Best = nullptr;
  for (const Member &Node : View.Members)
    if (isEligible(Node, Config) && (!Best || Rank(Node) > Rank(*Best)))
      Best = &Node;
  return Best;
}

/// A random view with members in random states, and a configuration with random
/// members taken out.
struct RandomScenario {
  std::shared_ptr<MemberView> View;
  std::shared_ptr<ConfigView> Config;
  std::shared_ptr<const Service> ServiceConfig;
};

RandomScenario randomScenario() {
  const auto Domains = *rc::gen::inRange<std::size_t>(1, 5);
  const auto Vms = *rc::gen::inRange<std::size_t>(1, 25);
  RandomScenario Result;
  Result.ServiceConfig = test::makeService(20, Domains);
  Result.Config = test::makeConfig(Result.ServiceConfig);
  Result.View =
      std::make_shared<MemberView>(test::makeBrokerView(Vms, Domains));
  for (Member &Node : Result.View->Members)
    Node.State = static_cast<MemberState>(*rc::gen::inRange(0, 3));
  if (*rc::gen::inRange(0, 2) == 1)
    Result.Config->DomainsOutOfService.insert("fd0");
  Result.Config->VmsOutOfService.insert(
      "vm" + std::to_string(*rc::gen::inRange<std::size_t>(1000, 1000 + Vms)));
  return Result;
}

} // namespace

DOCTEST_TEST_CASE(
    "owners match the reference rule, and no excluded broker is a candidate") {
  DOCTEST_CHECK(rc::check([] {
    const RandomScenario Scenario = randomScenario();
    const Ownership Owners(Scenario.View, Scenario.Config);
    for (std::uint32_t Group = 0;
         Group < Scenario.ServiceConfig->groupCount(20); ++Group) {
      const Member *Expected = referenceOwner(*Scenario.View, *Scenario.Config,
                                              *Scenario.ServiceConfig, Group);
      RC_ASSERT(Owners.owner(*Scenario.ServiceConfig, Group) == Expected);
      const auto Kept = Owners.candidates(*Scenario.ServiceConfig, Group, 3);
      const Service Copy = *Scenario.ServiceConfig;
      RC_ASSERT(Owners.candidates(Copy, Group, 3) == Kept);
      RC_ASSERT(std::set(Kept.begin(), Kept.end()).size() == Kept.size());
      for (const Member *Node : Kept)
        RC_ASSERT(isEligible(*Node, *Scenario.Config));
    }
  }));
}

DOCTEST_TEST_CASE(
    "candidates copied from an earlier view equal newly determined ones") {
  DOCTEST_CHECK(rc::check([] {
    const RandomScenario Scenario = randomScenario();
    const std::uint32_t Groups = Scenario.ServiceConfig->groupCount(20);
    Ownership Owners(Scenario.View, Scenario.Config);
    for (int Step = 0; Step < 8; ++Step) {
      for (std::uint32_t Group = 0; Group < Groups; ++Group)
        Owners.candidates(*Scenario.ServiceConfig, Group, 3);
      const auto Next = std::make_shared<MemberView>(*Owners.members());
      const auto At = *rc::gen::inRange<std::size_t>(0, Next->Members.size());
      const int Change = *rc::gen::inRange(0, 3);
      if (Change == 0 && Next->Members.size() > 1)
        Next->Members.erase(Next->Members.begin() + At);
      else if (Change == 1)
        Next->Members[At].State =
            static_cast<MemberState>(*rc::gen::inRange(0, 3));
      else {
        Member Node = Scenario.View->Members.front();
        Node.Name = "vm" + std::to_string(3000 + Step) + "/broker";
        Node.Vm = "vm" + std::to_string(3000 + Step);
        Node.Domain = Next->Members[At].Domain;
        Node.State = MemberState::Alive;
        Next->Members.push_back(Node);
      }
      Ownership Carried(Next, Scenario.Config, Owners);
      const Ownership Anew(Next, Scenario.Config);
      for (std::uint32_t Group = 0; Group < Groups; ++Group)
        RC_ASSERT(Carried.candidates(*Scenario.ServiceConfig, Group, 3) ==
                  Anew.candidates(*Scenario.ServiceConfig, Group, 3));
      Owners = Carried;
    }
  }));
}

DOCTEST_TEST_CASE("losing one of N brokers moves its groups and no others") {
  constexpr std::size_t Shards = 4000;
  constexpr std::size_t Vms = 20;
  const auto ServiceConfig = test::makeService(Shards, 4);
  const auto Config = test::makeConfig(ServiceConfig);
  const auto Full = std::make_shared<MemberView>(test::makeBrokerView(Vms, 4));
  const Ownership Before(Full, Config);
  for (std::size_t Lost = 0; Lost < Vms; ++Lost) {
    const auto Less = std::make_shared<MemberView>(*Full);
    Less->Members.erase(Less->Members.begin() + Lost);
    const Ownership After(Less, Config);
    std::size_t Moved = 0;
    for (std::uint32_t Group = 0; Group < ServiceConfig->groupCount(Shards);
         ++Group) {
      const std::string Old = Before.owner(*ServiceConfig, Group)->Name;
      if (Old == After.owner(*ServiceConfig, Group)->Name)
        continue;
      DOCTEST_CHECK(Old == Full->Members[Lost].Name);
      ++Moved;
    }
    // 2,000 groups over 20 brokers: 100 expected.
    DOCTEST_CHECK(Moved > 60);
    DOCTEST_CHECK(Moved < 150);
  }
}

DOCTEST_TEST_CASE("owner and first stand-by are in different domains") {
  const auto ServiceConfig = test::makeService(200, 3);
  const auto View = std::make_shared<MemberView>(test::makeBrokerView(9, 3));
  const Ownership Owners(View, test::makeConfig(ServiceConfig));
  for (std::uint32_t Group = 0; Group < ServiceConfig->groupCount(200);
       ++Group) {
    const auto All = Owners.candidates(*ServiceConfig, Group, 2);
    DOCTEST_CHECK(All.at(0)->Domain != All.at(1)->Domain);
    std::set<std::string> LeafDomains;
    for (const auto Index : ServiceConfig->Snapshots[0].Shards[Group * 2])
      LeafDomains.insert(ServiceConfig->Leaves[Index].Domain);
    DOCTEST_CHECK(LeafDomains.contains(All.at(0)->Domain));
    DOCTEST_CHECK(LeafDomains.contains(All.at(1)->Domain));
  }
}

DOCTEST_TEST_CASE("a suspect remains owner, but live stand-bys rank first") {
  const auto ServiceConfig = test::makeService(200, 3);
  const auto View = std::make_shared<MemberView>(test::makeBrokerView(9, 3));
  for (Member &Node : View->Members)
    if (Node.Domain != "fd0")
      Node.State = MemberState::Suspect;
  const Ownership Owners(View, test::makeConfig(ServiceConfig));
  for (std::uint32_t Group = 0; Group < ServiceConfig->groupCount(200);
       ++Group) {
    const auto All = Owners.candidates(*ServiceConfig, Group, 2);
    DOCTEST_CHECK(All.at(0) ==
                  referenceOwner(*View, ConfigView{}, *ServiceConfig, Group));
    DOCTEST_CHECK(All.at(1)->State == MemberState::Alive);
  }
}
