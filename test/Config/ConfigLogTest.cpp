#include "citronlever/Config"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace citronlever;

namespace {

ConfigLogEntry entry(std::uint64_t Revision, const std::string &ProposalId) {
  return {Revision, "vms/" + ProposalId, ProposalId, false, "m", 1};
}

ConfigLog logOf(std::initializer_list<const char *> Proposals) {
  ConfigLog Result;
  Result.Lineage = "l";
  for (const char *ProposalId : Proposals)
    append(Result, entry(Result.Revision + 1, ProposalId));
  return Result;
}

ConfigState stateOf(const ConfigLog &Log) {
  ConfigState Result;
  std::vector<ConfigDocument> Documents;
  for (const ConfigLogEntry &Entry : Log.Entries)
    Documents.push_back(
        {Entry.Document, Entry.Revision, Entry.ProposalId, false, "{}"});
  Result.advance(Log.head(), Documents, Log.Entries, true);
  return Result;
}

} // namespace

DOCTEST_TEST_CASE("a log round-trips through text") {
  DOCTEST_CHECK(rc::check([] {
    ConfigLog Log;
    Log.Lineage = "l";
    Log.Epoch = *rc::gen::inRange<std::uint64_t>(1, 9);
    const int Count = *rc::gen::inRange(0, 200);
    for (int Index = 0; Index < Count; ++Index)
      append(Log, entry(Log.Revision + 1, std::to_string(Index)));
    const ConfigLog Back = configLogFromText(toText(Log));
    RC_ASSERT(Back.head() == Log.head());
    RC_ASSERT(Back.Entries == Log.Entries);
  }));
}

DOCTEST_TEST_CASE("a log is classified as same, ahead, behind or diverged") {
  const ConfigState State = stateOf(logOf({"a", "b"}));
  DOCTEST_CHECK(compareLog(State, logOf({"a", "b"})) == LogRelation::Same);
  DOCTEST_CHECK(compareLog(State, logOf({"a", "b", "c"})) ==
                LogRelation::Ahead);
  DOCTEST_CHECK(compareLog(State, logOf({"a"})) == LogRelation::Behind);
  DOCTEST_CHECK(compareLog(State, std::nullopt) == LogRelation::Behind);
  DOCTEST_CHECK(compareLog(State, logOf({"a", "x", "y"})) ==
                LogRelation::Diverged);
  ConfigLog Emptied = logOf({"p", "q", "r"});
  Emptied.Lineage = "other";
  DOCTEST_CHECK(compareLog(State, Emptied) == LogRelation::Diverged);
  DOCTEST_CHECK(compareLog(ConfigState(), std::nullopt) == LogRelation::Same);
}

DOCTEST_TEST_CASE("a lost reply is resolved only from the log") {
  const ConfigLog With = logOf({"a", "b"});
  const ConfigLog Without = logOf({"a", "x"});
  DOCTEST_CHECK(resolveSwap(With, 9, 8, 2, "b") == SwapOutcome::Accepted);
  DOCTEST_CHECK(resolveSwap(Without, 9, 8, 2, "b") == SwapOutcome::NotAccepted);
  DOCTEST_CHECK(resolveSwap(logOf({"a"}), 8, 8, 2, "b") ==
                SwapOutcome::Pending);
  DOCTEST_CHECK(resolveSwap(std::nullopt, 0, 8, 2, "b") ==
                SwapOutcome::Indeterminate);
  ConfigLog Long = logOf({"a"});
  Long.CheckpointRevision = 1000;
  for (int Index = 0; Index < 300; ++Index)
    append(Long, entry(Long.Revision + 1, "n" + std::to_string(Index)));
  DOCTEST_CHECK(resolveSwap(Long, 9, 8, 2, "b") == SwapOutcome::Indeterminate);
}

DOCTEST_TEST_CASE(
    "a repair keeps changes in force and changes made to the store since") {
  DOCTEST_CHECK(rc::check([] {
    const int Fleet = *rc::gen::inRange(2, 100);
    const int Restored = *rc::gen::inRange(0, Fleet);
    const int Written = *rc::gen::inRange(0, 20);
    ConfigLog InForce;
    InForce.Lineage = "l";
    ConfigLog Store = InForce;
    for (int Index = 0; Index < Fleet; ++Index) {
      const auto Next =
          entry(InForce.Revision + 1, "f" + std::to_string(Index));
      append(InForce, Next);
      if (Index < Restored)
        append(Store, Next);
    }
    for (int Index = 0; Index < Written; ++Index)
      append(Store, entry(Store.Revision + 1, "w" + std::to_string(Index)));
    const ConfigState State = stateOf(InForce);
    const auto StoreOnly = storeOnlyEntries(State, Store);
    RC_ASSERT(StoreOnly.size() == static_cast<std::size_t>(Written));
    const ConfigLog Repaired =
        repairedLog(State, "c", Store, StoreOnly, entry(0, "mark"));
    RC_ASSERT(Repaired.head() > State.head());
    RC_ASSERT(Repaired.head() > Store.head());
    RC_ASSERT(compareLog(State, Repaired) == LogRelation::Ahead);
    for (int Index = 0; Index < Written; ++Index)
      RC_ASSERT(Repaired.find("w" + std::to_string(Index)) != nullptr);
  }));
}
