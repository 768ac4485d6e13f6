#include "citronlever/Entry"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

Member entry(int Number, MemberState State) {
  Member Result;
  Result.Name = "vm" + std::to_string(Number) + "/entry";
  Result.Vm = "vm" + std::to_string(Number);
  Result.Domain = "fd" + std::to_string(Number);
  Result.State = State;
  Result.Callers = {"127.0.0.1", static_cast<std::uint16_t>(8000 + Number)};
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("only entries that can serve are listed") {
  MemberView Members;
  Members.Members = {
      entry(1, MemberState::Alive),   entry(2, MemberState::Dead),
      entry(3, MemberState::Leaving), entry(4, MemberState::Suspect),
      entry(5, MemberState::Alive),   entry(6, MemberState::Alive),
      entry(7, MemberState::Alive)};
  Members.Members.back().Kind = Role::Broker;
  ConfigView Config;
  Config.DomainsOutOfService.insert("fd5");
  Config.VmsOutOfService.insert("vm6");
  const std::vector<std::string> Live = servingEntries(Members, Config);
  DOCTEST_CHECK(Live == std::vector<std::string>{"vm1/entry", "vm4/entry"});
  DOCTEST_CHECK(knownEntryCount(Members) == 5);
  DOCTEST_CHECK(callerAddresses(Members, Live, 7) ==
                std::vector<std::string>{"127.0.0.1:8001"});
  DOCTEST_CHECK(callerAddresses(Members, {"vm4/entry"}, 0) ==
                std::vector<std::string>{"127.0.0.1:8004"});
}

DOCTEST_TEST_CASE("callers are spread over the entries listed") {
  MemberView Members;
  for (int Number = 1; Number <= 3; ++Number)
    Members.Members.push_back(entry(Number, MemberState::Alive));
  const std::vector<std::string> Chosen = {"vm2/entry", "vm1/entry",
                                           "vm3/entry"};
  DOCTEST_CHECK(callerAddresses(Members, Chosen, 0).front() ==
                "127.0.0.1:8002");
  DOCTEST_CHECK(callerAddresses(Members, Chosen, 1).front() ==
                "127.0.0.1:8001");
  DOCTEST_CHECK(callerAddresses(Members, Chosen, 2).front() ==
                "127.0.0.1:8003");
  DOCTEST_CHECK(callerAddresses(Members, Chosen, 2).size() == 3);
}
