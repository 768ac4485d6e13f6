#include "citronlever/Broker"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

/// Ranks the candidates in the order of the member view.
class FakeOwners {
public:
  FakeOwners(MemberViewPtr Members, const ConfigViewPtr &)
      : Members(std::move(Members)) {}
  FakeOwners(MemberViewPtr Members, const ConfigViewPtr &, const FakeOwners &)
      : Members(std::move(Members)) {}
  std::vector<const Member *> candidates(const Service &, std::uint32_t,
                                         std::size_t Count) const {
    std::vector<const Member *> Result;
    for (const Member &Candidate : this->Members->Members)
      if (Result.size() < Count)
        Result.push_back(&Candidate);
    return Result;
  }

private:
  MemberViewPtr Members;
};

MemberViewPtr view(std::vector<std::string> Names) {
  auto Result = std::make_shared<MemberView>();
  for (std::string &Name : Names) {
    Member NewMember;
    NewMember.Name = std::move(Name);
    Result->Members.push_back(NewMember);
  }
  return Result;
}

struct Fixture {
  Fixture() : Table("b", 3, Seconds(60)) {
    auto View = std::make_shared<ConfigView>();
    auto ServiceConfig = std::make_shared<Service>();
    ServiceConfig->Name = "bench";
    View->Services["bench"] = ServiceConfig;
    this->Config = View;
    this->Call.Service = "bench";
  }
  void applyMembers(std::vector<std::string> Names) {
    this->Table.update(view(std::move(Names)), this->Config, this->Now);
  }
  auto decide(bool Draining = false) {
    return this->Table.decide(*this->Config->Services.at("bench"), this->Call,
                              Draining, this->Now);
  }

  GroupTable<FakeOwners> Table;
  ConfigViewPtr Config;
  BrokerCall Call;
  TimePoint Now{Seconds(100)};
};

} // namespace

DOCTEST_TEST_CASE("the owner serves a group, other brokers name the owner") {
  Fixture F;
  F.applyMembers({"a", "b", "c"});
  DOCTEST_CHECK(!F.decide().Serve);
  DOCTEST_CHECK(F.decide().OwnerHint == "a");
  F.applyMembers({"b", "c"});
  DOCTEST_CHECK(F.decide().Serve);
}

DOCTEST_TEST_CASE("the next candidate serves while the owner is suspected") {
  Fixture F;
  auto Suspecting = std::make_shared<MemberView>(*view({"a", "b", "c"}));
  Suspecting->Members[0].State = MemberState::Suspect;
  F.Table.update(Suspecting, F.Config, F.Now);
  DOCTEST_CHECK(F.decide().Serve);
  // The owner may be alive and have recorded keys.
  DOCTEST_CHECK(F.decide().RecentlyGained);
  DOCTEST_CHECK(F.decide().OtherCandidates.front().Name == "a");
}

DOCTEST_TEST_CASE("a group is gained once, and again after it was released") {
  Fixture F;
  F.applyMembers({"b", "c"});
  DOCTEST_CHECK(F.decide().Gained);
  DOCTEST_CHECK(!F.decide().Gained);
  F.applyMembers({"b", "c", "d"});
  DOCTEST_CHECK(!F.decide().Gained);
  // Served until the new owner claims it.
  F.applyMembers({"a", "b", "c"});
  DOCTEST_CHECK(F.decide().Serve);
  DOCTEST_CHECK(!F.decide().Gained);
  DOCTEST_CHECK(F.Table.release("bench", 0, "a", F.Now));
  DOCTEST_CHECK(!F.decide().Serve);
  DOCTEST_CHECK(!F.Table.release("bench", 0, "a", F.Now));
  F.applyMembers({"b", "c"});
  F.Now += Seconds(1);
  DOCTEST_CHECK(F.decide().Gained);
}

DOCTEST_TEST_CASE("calls of a claimed group are redirected to the claimer") {
  Fixture F;
  F.applyMembers({"b", "c"});
  DOCTEST_CHECK(F.decide().Serve);
  F.Table.release("bench", 0, "a", F.Now);
  DOCTEST_CHECK(!F.decide().Serve);
  DOCTEST_CHECK(F.decide().OwnerHint == "a");
  // An entry that cannot reach the claimer asks for a stand-by.
  F.Call.AsStandBy = true;
  DOCTEST_CHECK(F.decide().Gained);
}

DOCTEST_TEST_CASE("a stand-by serves only calls that ask for a stand-by") {
  Fixture F;
  F.applyMembers({"a", "b", "c"});
  F.Call.AsStandBy = true;
  const auto First = F.decide();
  DOCTEST_CHECK(First.Serve);
  DOCTEST_CHECK(First.Gained);
  // The owner may be cut off only from the entry, so it is asked about keys
  // too.
  DOCTEST_CHECK(First.RecentlyGained);
  DOCTEST_CHECK(First.OtherCandidates.front().Name == "a");
  F.Now += Seconds(120);
  DOCTEST_CHECK(F.decide().RecentlyGained);
}

DOCTEST_TEST_CASE("a stand-by that gets no calls stops serving the group") {
  Fixture F;
  F.applyMembers({"a", "b", "c"});
  F.Call.AsStandBy = true;
  const auto Served = [&F] {
    int Result = 0;
    F.Table.forEachServed(
        F.Now, [&Result](const std::string &, std::uint32_t) { ++Result; });
    return Result;
  };
  DOCTEST_CHECK(F.decide().Gained);
  F.Now += Seconds(4);
  DOCTEST_CHECK(!F.decide().Gained);
  DOCTEST_CHECK(Served() == 1);
  // The member view does not change meanwhile.
  F.Now += Seconds(6);
  DOCTEST_CHECK(Served() == 0);
  DOCTEST_CHECK(F.decide().Gained);
}

DOCTEST_TEST_CASE("a new owner asks all brokers that may know a key") {
  Fixture F;
  F.applyMembers({"b", "c", "d", "e", "f", "g"});
  DOCTEST_CHECK(F.decide().RecentlyGained);
  DOCTEST_CHECK(F.decide().OtherCandidates.size() == 4);
  F.Now += Seconds(61);
  DOCTEST_CHECK(!F.decide().RecentlyGained);
  DOCTEST_CHECK(F.decide().OtherCandidates.size() == 2);
}

DOCTEST_TEST_CASE("a draining owner refuses calls and names the next owner") {
  Fixture F;
  F.applyMembers({"b", "c"});
  DOCTEST_CHECK(F.decide().Serve);
  const auto Refused = F.decide(true);
  DOCTEST_CHECK(!Refused.Serve);
  DOCTEST_CHECK(Refused.OwnerHint == "c");
}

DOCTEST_TEST_CASE(
    "a gained group is marked as handed over by the previous owner") {
  Fixture F;
  F.applyMembers({"b", "c"});
  F.Table.recordHandover("bench", 0, F.Now);
  DOCTEST_CHECK(F.decide().HandedOver);
}
