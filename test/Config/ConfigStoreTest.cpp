#include "FakeFleet.h"

#include <doctest/doctest.h>

using namespace citronlever;

namespace {

constexpr const char *Document = "domains/fd1";
const std::string In = R"({"state":"in"})";
const std::string Out = R"({"state":"out"})";
const std::string OutWithReason = R"({"state":"out","reason":"b"})";

bool isLog(const std::string &Key) { return Key.ends_with("/log"); }

} // namespace

DOCTEST_TEST_CASE("an accepted change is in force on every member") {
  FakeFleet Fleet(6);
  const ProposalResult Got = Fleet.put(2, Document, Out);
  DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::Accepted));
  DOCTEST_CHECK(Got.Revision == 1);
  DOCTEST_CHECK(Fleet.waitForDocument(Document, Out));
  DOCTEST_CHECK(Fleet.waitUntil([&] {
    return Fleet.at(5)->view()->DomainsOutOfService.contains("fd1");
  }));
  const InForceResult InForce = Fleet.checkInForce(3, Got.Revision, Seconds(5));
  DOCTEST_CHECK(InForce.Everywhere);
  DOCTEST_CHECK(InForce.Members == 6);
}

DOCTEST_TEST_CASE("of two racing changes one is accepted and one conflicts") {
  FakeFleet Fleet(4);
  std::uint64_t Revision = 0;
  for (int Round = 0; Round < 20; ++Round) {
    auto A = Fleet.begin(0, Document, Out, Revision);
    auto B = Fleet.begin(1, Document, OutWithReason, Revision);
    ProposalResult First = A.get();
    ProposalResult Second = B.get();
    if (First.Outcome != ProposalOutcome::Accepted)
      std::swap(First, Second);
    DOCTEST_CHECK(hasOutcome(First, ProposalOutcome::Accepted));
    DOCTEST_CHECK(hasOutcome(Second, ProposalOutcome::Conflict));
    DOCTEST_CHECK(Second.Revision == First.Revision);
    Revision = First.Revision;
  }
  DOCTEST_CHECK(Revision == 20);
}

DOCTEST_TEST_CASE("changes of different documents race without conflict") {
  FakeFleet Fleet(4);
  std::vector<std::future<ProposalResult>> All;
  for (std::size_t Index = 0; Index < 12; ++Index)
    All.push_back(
        Fleet.begin(Index % 4, "vms/v" + std::to_string(Index), Out, 0));
  std::set<std::uint64_t> Revisions;
  for (auto &Pending : All) {
    const ProposalResult Got = Pending.get();
    DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::Accepted));
    Revisions.insert(Got.Revision);
  }
  DOCTEST_CHECK(Revisions.size() == 12);
}

DOCTEST_TEST_CASE("a lost reply is resolved by reading the log back") {
  FakeFleet Fleet(3);
  int Lost = 0;
  Fleet.Store.LoseReply = [&](const std::string &) { return Lost++ % 3 != 2; };
  std::uint64_t Revision = 0;
  for (int Round = 0; Round < 10; ++Round) {
    const ProposalResult Got =
        Fleet.put(0, Document, Round % 2 ? Out : In, Revision);
    DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::Accepted));
    DOCTEST_CHECK(Got.Revision == Revision + 1);
    Revision = Got.Revision;
  }
  DOCTEST_CHECK(Lost > 10);
}

DOCTEST_TEST_CASE("a lost request is sent again and takes effect once") {
  FakeFleet Fleet(3);
  int Lost = 0;
  Fleet.Store.LoseRequest = [&](const std::string &Key) {
    return isLog(Key) && Lost++ < 3;
  };
  const ProposalResult Got = Fleet.put(0, Document, Out);
  DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::Accepted));
  DOCTEST_CHECK(Got.Revision == 1);
  DOCTEST_CHECK(Lost >= 3);
}

DOCTEST_TEST_CASE(
    "in a store outage members stay fresh and changes are not accepted") {
  ConfigSettings Settings = FakeFleet::fastSettings();
  Settings.ProposalTimeout = Milliseconds(300);
  FakeFleet Fleet(4, Settings);
  DOCTEST_REQUIRE(
      hasOutcome(Fleet.put(0, Document, Out), ProposalOutcome::Accepted));
  DOCTEST_REQUIRE(Fleet.waitForDocument(Document, Out));
  Fleet.Store.Down = true;
  Fleet.Store.endWatches();
  const ProposalResult Got = Fleet.put(1, Document, In, 1);
  DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::NotAccepted));
  DOCTEST_CHECK(Got.Reason.find("does not answer") != std::string::npos);
  // A new process gets the configuration from its peers.
  Fleet.start(3);
  Fleet.sharePeers();
  DOCTEST_CHECK(Fleet.waitForDocument(Document, Out));
  std::this_thread::sleep_for(2 * Settings.FreshnessTimeout);
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    DOCTEST_CHECK(Fleet.at(Index)->hasFreshConfig(Clock::now()));
}

DOCTEST_TEST_CASE("an isolated member loses freshness until it reconnects") {
  ConfigSettings Settings = FakeFleet::fastSettings();
  FakeFleet Fleet(4, Settings);
  DOCTEST_REQUIRE(
      hasOutcome(Fleet.put(0, Document, Out), ProposalOutcome::Accepted));
  DOCTEST_REQUIRE(Fleet.waitForDocument(Document, Out));
  Fleet.Store.Down = true;
  Fleet.Store.endWatches();
  Fleet.isolate(3);
  DOCTEST_CHECK(Fleet.waitUntil(
      [&] { return !Fleet.at(3)->hasFreshConfig(Clock::now()); }));
  DOCTEST_CHECK(Fleet.at(2)->hasFreshConfig(Clock::now()));
  Fleet.Store.Down = false;
  const InForceResult InForce = Fleet.checkInForce(0, 2, Milliseconds(200));
  DOCTEST_CHECK(!InForce.Everywhere);
  Fleet.reconnect(3);
  DOCTEST_CHECK(Fleet.waitUntil(
      [&] { return Fleet.at(3)->hasFreshConfig(Clock::now()); }));
}

DOCTEST_TEST_CASE("members that lack a revision are listed by name") {
  FakeFleet Fleet(5);
  DOCTEST_REQUIRE(
      hasOutcome(Fleet.put(0, Document, Out), ProposalOutcome::Accepted));
  DOCTEST_REQUIRE(Fleet.checkInForce(0, 1, Seconds(5)).Everywhere);
  const InForceResult Ahead = Fleet.checkInForce(0, 2, Milliseconds(200));
  DOCTEST_CHECK(Ahead.LaggingCount == 5);
  DOCTEST_CHECK(Ahead.LowestRevision == 1);
  DOCTEST_CHECK(
      std::set(Ahead.LaggingMembers.begin(), Ahead.LaggingMembers.end())
          .contains(FakeFleet::name(4)));
}
