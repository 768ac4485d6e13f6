#include "citronlever/Config"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>

using namespace citronlever;

namespace {

/// \returns a random history of changes with consecutive revisions.
std::vector<ConfigDocument> randomChanges(int Count) {
  std::vector<ConfigDocument> Result;
  for (int Index = 1; Index <= Count; ++Index) {
    const auto Revision = static_cast<std::uint64_t>(Index);
    ConfigDocument Next{"vms/v" + std::to_string(*rc::gen::inRange(0, 6)),
                        Revision, "p" + std::to_string(Index), false,
                        std::string(*rc::gen::inRange(1u, 40u), 'x')};
    Next.Removed = *rc::gen::inRange(0, 5) == 0;
    Result.push_back(Next);
  }
  return Result;
}

void accept(ConfigState &State, const ConfigDocument &Change) {
  const ConfigLogEntry Entry{Change.Revision, Change.Name, Change.ProposalId,
                             Change.Removed,  "m",         0};
  RC_ASSERT(State.advance({Change.Revision, 1, Change.ProposalId, "l"},
                          {&Change, 1}, {&Entry, 1}, false));
}

/// Pulls from \p Holder, whose state is \p From, until \p Asker has received
/// all parts.
void pull(ConfigGossip &Asker, const ConfigGossip &Holder,
          const ConfigState &From) {
  const TimePoint Now{};
  ConfigMessages Out =
      Asker.onDigest({"holder", "v2", From.head(), false, false}, Now);
  while (!Out.empty() && Out.front().Type == MessageType::ConfigPull) {
    const auto Reply = Holder.onPull(decode<ConfigPull>(Out.front().Body));
    if (Reply.empty())
      return;
    Out = Asker.onDelta("holder", decode<ConfigDelta>(Reply.front().Body), Now)
              .Messages;
  }
}

bool same(const ConfigState &A, const ConfigState &B) {
  if (A.head() != B.head() || A.documents().size() != B.documents().size())
    return false;
  for (const auto &[Name, Document] : A.documents()) {
    const auto Other = B.documents().find(Name);
    if (Other == B.documents().end() || !(*Other->second == *Document))
      return false;
  }
  return A.history() == B.history();
}

GossipSettings named(std::string Name) {
  GossipSettings Result;
  Result.Name = std::move(Name);
  Result.Vm = Result.Name;
  Result.MaxPartBytes = 50;
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a pull from any earlier revision ends at the same state") {
  DOCTEST_CHECK(rc::check([] {
    const int Count = *rc::gen::inRange(1, 200);
    const int Known = *rc::gen::inRange(0, Count);
    ConfigState Holder;
    ConfigState Asker;
    int Applied = 0;
    for (const ConfigDocument &Change : randomChanges(Count)) {
      accept(Holder, Change);
      if (Applied++ < Known)
        accept(Asker, Change);
    }
    const ConfigGossip From(named("holder"), Holder);
    ConfigGossip To(named("asker"), Asker);
    pull(To, From, Holder);
    RC_ASSERT(same(Asker, Holder));
  }));
}

DOCTEST_TEST_CASE("no order of deltas lowers a member's revision") {
  DOCTEST_CHECK(rc::check([] {
    const auto Changes = randomChanges(*rc::gen::inRange(2, 40));
    std::vector<ConfigState> Versions(1);
    for (const ConfigDocument &Change : Changes) {
      Versions.push_back(Versions.back());
      accept(Versions.back(), Change);
    }
    ConfigState Asker;
    ConfigGossip To(named("asker"), Asker);
    for (int Step = 0; Step < 30; ++Step) {
      const std::uint64_t Before = Asker.head().Revision;
      ConfigState &From =
          Versions[*rc::gen::inRange<std::size_t>(0, Versions.size())];
      pull(To, ConfigGossip(named("holder"), From), From);
      RC_ASSERT(Asker.head().Revision >= Before);
    }
  }));
}

DOCTEST_TEST_CASE("a diverged history is adopted only after a repair") {
  ConfigState Asker;
  ConfigState Other;
  for (std::uint64_t Revision = 1; Revision <= 5; ++Revision) {
    const std::string Id = std::to_string(Revision);
    accept(Asker, {"vms/a", Revision, "mine" + Id, false, "x"});
    accept(Other, {"vms/a", Revision, "other" + Id, false, "y"});
  }
  accept(Other, {"vms/b", 6, "other6", false, "y"});
  ConfigGossip To(named("asker"), Asker);
  pull(To, ConfigGossip(named("holder"), Other), Other);
  DOCTEST_CHECK(Asker.head().ProposalId == "mine5");
  // A repaired log contains both histories and has a higher epoch.
  const ConfigDocument Repaired{"vms/b", 7, "r", false, "z"};
  Other.advance({7, 2, "r", "l"}, {&Repaired, 1}, {}, false);
  pull(To, ConfigGossip(named("holder"), Other), Other);
  DOCTEST_CHECK(Asker.head().Epoch == 2);
}

DOCTEST_TEST_CASE(
    "watcher selection is limited, order-independent and stable") {
  DOCTEST_CHECK(rc::check([] {
    std::vector<ConfigPeer> Peers;
    const int Count = *rc::gen::inRange(3, 200);
    Peers.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Peers.push_back({"m" + std::to_string(Index), "v", "fd", {}});
    const auto Before = choosePeers(Peers, "watch", 2);
    RC_ASSERT(Before.size() == 2u);
    const int Gone = *rc::gen::inRange(0, Count);
    const ConfigPeer Lost = Peers[static_cast<std::size_t>(Gone)];
    Peers.erase(Peers.begin() + Gone);
    std::reverse(Peers.begin(), Peers.end());
    const auto After = choosePeers(Peers, "watch", 2);
    for (const ConfigPeer &Peer : Before)
      if (!(Peer == Lost))
        RC_ASSERT(std::find(After.begin(), After.end(), Peer) != After.end());
  }));
}

DOCTEST_TEST_CASE("contact with the store and with peers expires") {
  FreshnessTracker Tracker(Seconds(5));
  const TimePoint Start{Seconds(100)};
  DOCTEST_CHECK(!Tracker.hasFreshConfig(Start));
  Tracker.onHeadChanged({1, 1, "p", "l"});
  DOCTEST_CHECK(Tracker.hasFreshConfig(Start)); // no other member is known
  Tracker.setRemotePeers(2, std::array<std::string_view, 2>{"a", "b"});
  DOCTEST_CHECK(!Tracker.hasFreshConfig(Start));
  Tracker.onPeerAnswered("near", false, {1, 1, "p", "l"}, Start);
  DOCTEST_CHECK(!Tracker.hasFreshConfig(Start));
  Tracker.onPeerAnswered("a", true, {1, 1, "p", "l"}, Start);
  DOCTEST_CHECK(Tracker.hasFreshConfig(Start + Seconds(5)));
  DOCTEST_CHECK(!Tracker.hasFreshConfig(Start + Seconds(6)));
  Tracker.onStoreAnswered(Start + Seconds(6));
  DOCTEST_CHECK(Tracker.hasFreshConfig(Start + Seconds(6)));
  Tracker.onHigherHeadSeen({2, 1, "q", "l"}, Start + Seconds(7));
  Tracker.onStoreAnswered(Start + Seconds(13));
  DOCTEST_CHECK(!Tracker.hasFreshConfig(Start + Seconds(13)));
  Tracker.onHeadChanged({2, 1, "q", "l"});
  DOCTEST_CHECK(Tracker.hasFreshConfig(Start + Seconds(13)));
  Tracker.onPeerAnswered("b", true, {2, 1, "q", "l"}, Start + Seconds(13));
  DOCTEST_CHECK(Tracker.hasRemoteContact(Start + Seconds(13)));
  Tracker.setRemotePeers(1, std::array<std::string_view, 1>{"a"});
  DOCTEST_CHECK(!Tracker.hasRemoteContact(Start + Seconds(13))); // "b" has left
}
