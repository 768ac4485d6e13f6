#include "FakeFleet.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace citronlever;

namespace {

constexpr const char *Document = "domains/fd1";
const std::string In = R"({"state":"in"})";
const std::string Out = R"({"state":"out"})";

ConfigLog storedLog(FakePlatform &Store) {
  return configLogFromText(Store.copy().Keys.at("test/log").Value);
}

/// Changes a document until the fleet is at \p Revision.
void advanceTo(FakeFleet &Fleet, std::uint64_t Revision) {
  while (Fleet.at(0)->state()->head().Revision < Revision) {
    const std::uint64_t Now = Fleet.at(0)->state()->revisionOf(Document);
    const ProposalResult Got = Fleet.put(0, Document, Now % 2 ? In : Out, Now);
    DOCTEST_REQUIRE(hasOutcome(Got, ProposalOutcome::Accepted));
  }
}

} // namespace

DOCTEST_TEST_CASE(
    "a store restored from a backup reverts no member and is repaired") {
  FakeFleet Fleet(5);
  advanceTo(Fleet, 3);
  const FakePlatform::Content Backup = Fleet.Store.copy();
  advanceTo(Fleet, 6);
  const std::string Body = Fleet.at(0)->state()->find(Document)->Body;
  DOCTEST_REQUIRE(Fleet.waitForDocument(Document, Body));
  Fleet.Store.restore(Backup);
  DOCTEST_CHECK(
      Fleet.waitUntil([&] { return storedLog(Fleet.Store).Revision >= 7; }));
  DOCTEST_CHECK(storedLog(Fleet.Store).Epoch == 2);
  DOCTEST_CHECK(Fleet.waitForDocument(Document, Body));
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index)
    DOCTEST_CHECK(Fleet.at(Index)->state()->head().Revision >= 6);
  // Changes can still be made on top of the revision before the restore.
  const ProposalResult Got = Fleet.put(2, Document, In, 6);
  DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::Accepted));
  DOCTEST_CHECK(Fleet.waitForDocument(Document, In));
}

DOCTEST_TEST_CASE("an emptied store is refilled, document bodies included") {
  FakeFleet Fleet(4);
  advanceTo(Fleet, 4);
  const std::string Body = Fleet.at(0)->state()->find(Document)->Body;
  DOCTEST_REQUIRE(Fleet.waitForDocument(Document, Body));
  Fleet.Store.restore({});
  DOCTEST_CHECK(Fleet.waitUntil(
      [&] { return Fleet.Store.copy().Keys.contains("test/log"); }));
  // A new fleet finds the complete configuration in the store.
  FakeFleet Other(1);
  Other.Store.restore(Fleet.Store.copy());
  DOCTEST_CHECK(Other.waitForDocument(Document, Body));
}

DOCTEST_TEST_CASE("with repairs disabled a restored store stays behind") {
  ConfigSettings Settings = FakeFleet::fastSettings();
  Settings.RepairStore = false;
  Settings.ProposalTimeout = Seconds(1);
  FakeFleet Fleet(5, Settings);
  advanceTo(Fleet, 3);
  const FakePlatform::Content Backup = Fleet.Store.copy();
  advanceTo(Fleet, 6);
  Fleet.Store.restore(Backup);
  const ProposalResult Got = Fleet.put(0, "vms/up1", Out);
  DOCTEST_CHECK(hasOutcome(Got, ProposalOutcome::NotAccepted));
  DOCTEST_CHECK(storedLog(Fleet.Store).Revision == 3);
}

DOCTEST_TEST_CASE("with AcceptAny an older state replaces a newer one") {
  ConfigState Unrestricted(RevisionPolicy::AcceptAny);
  ConfigState Monotonic;
  const ConfigDocument New{Document, 5, "p5", false, Out};
  const ConfigDocument Old{Document, 3, "p3", false, In};
  for (ConfigState *State : {&Unrestricted, &Monotonic}) {
    State->advance({5, 1, "p5", "l"}, {&New, 1}, {}, true);
    State->advance({3, 1, "p3", "l"}, {&Old, 1}, {}, true);
  }
  DOCTEST_CHECK(Unrestricted.find(Document)->Body == In);
  DOCTEST_CHECK(Monotonic.find(Document)->Body == Out);
}

DOCTEST_TEST_CASE("changes written to a restored store survive its repair") {
  FakeFleet Fleet(4);
  advanceTo(Fleet, 3);
  const FakePlatform::Content Backup = Fleet.Store.copy();
  advanceTo(Fleet, 6);
  DOCTEST_REQUIRE(Fleet.waitForDocument(
      Document, Fleet.at(0)->state()->find(Document)->Body));
  // An operator makes a change through a member that knows only the restored
  // store.
  FakeFleet Lone(1);
  Lone.Store.restore(Backup);
  DOCTEST_REQUIRE(Lone.waitUntil(
      [&] { return Lone.at(0)->state()->head().Revision == 3; }));
  DOCTEST_REQUIRE(
      hasOutcome(Lone.put(0, "vms/up1", Out), ProposalOutcome::Accepted));
  Fleet.Store.restore(Lone.Store.copy());
  DOCTEST_CHECK(Fleet.waitForDocument("vms/up1", Out));
  DOCTEST_CHECK(Fleet.at(1)->state()->head().Revision >= 7);
  DOCTEST_CHECK(Fleet.at(1)->state()->head().Epoch == 2);
}

DOCTEST_TEST_CASE("members without recent contact do not repair the store") {
  ConfigSettings Settings = FakeFleet::fastSettings();
  FakeFleet Fleet(4, Settings);
  advanceTo(Fleet, 3);
  DOCTEST_REQUIRE(Fleet.waitForDocument(
      Document, Fleet.at(0)->state()->find(Document)->Body));
  const FakePlatform::Content Backup = Fleet.Store.copy();
  Fleet.isolate(0);
  Fleet.isolate(1);
  Fleet.isolate(2);
  Fleet.isolate(3);
  std::this_thread::sleep_for(2 * Settings.FreshnessTimeout);
  Fleet.Store.restore({});
  std::this_thread::sleep_for(Milliseconds(1200));
  DOCTEST_CHECK(!Fleet.Store.copy().Keys.contains("test/log"));
  for (std::size_t Index = 0; Index < 4; ++Index)
    Fleet.reconnect(Index);
  DOCTEST_CHECK(Fleet.waitUntil(
      [&] { return Fleet.Store.copy().Keys.contains("test/log"); }));
}

DOCTEST_TEST_CASE("the log stays short and old bodies are removed") {
  FakeFleet Fleet(2);
  advanceTo(Fleet, 160);
  DOCTEST_CHECK(storedLog(Fleet.Store).Entries.size() <=
                ConfigLog::MaxEntries + 1);
  DOCTEST_CHECK(storedLog(Fleet.Store).CheckpointRevision >= 128);
  DOCTEST_CHECK(Fleet.waitUntil([&] {
    return Fleet.Store.copy().Keys.size() < ConfigLog::MaxEntries + 10;
  }));
  FakeFleet Other(1);
  Other.Store.restore(Fleet.Store.copy());
  DOCTEST_CHECK(Other.waitUntil(
      [&] { return Other.at(0)->state()->head().Revision == 160; }));
}
