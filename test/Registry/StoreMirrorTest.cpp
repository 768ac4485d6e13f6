#include "citronlever/Registry"

#include "test/standins/FakeKeyStore.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace citronlever;

DOCTEST_TEST_CASE(
    "an older write replaces neither a newer write nor a removal") {
  std::vector<std::string> Notified;
  StoreMirror Mirror([&](const StoreItem &Item) {
    Notified.push_back(Item.Key + (Item.Removed ? "-" : "=" + Item.Value));
  });
  Mirror.apply({"k", "new", firstEra(7), false});
  Mirror.apply({"k", "old", firstEra(6), false});
  Mirror.apply({"k", "", firstEra(8), true});
  Mirror.apply({"k", "late", firstEra(7), false});
  DOCTEST_CHECK(Mirror.find("k") == nullptr);
  Mirror.apply({"k", "again", firstEra(9), false});
  DOCTEST_CHECK(Notified == std::vector<std::string>{"k=new", "k-", "k=again"});
}

DOCTEST_TEST_CASE(
    "a removal that no watch delivered is found by the next complete read") {
  std::vector<std::string> Removed;
  StoreMirror Mirror([&](const StoreItem &Item) {
    if (Item.Removed)
      Removed.push_back(Item.Key);
  });
  Mirror.apply({"a/1", "x", firstEra(3), false});
  Mirror.apply({"a/2", "x", firstEra(4), false});
  Mirror.apply({"b/1", "x", firstEra(5), false});
  Mirror.beginRead("a/", firstEra(9));
  Mirror.applyReadItem({"a/2", "x", firstEra(4), false});
  Mirror.apply({"a/3", "written meanwhile", firstEra(10), false});
  Mirror.endRead();
  DOCTEST_CHECK(Removed == std::vector<std::string>{"a/1"});
  DOCTEST_CHECK(Mirror.find("a/3") != nullptr);
  DOCTEST_CHECK(Mirror.find("b/1") != nullptr);
}

DOCTEST_TEST_CASE("changes in any order lead to the same state") {
  const unsigned Seed = 77;
  DOCTEST_INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 100; ++Round) {
    std::vector<StoreItem> Changes;
    std::map<std::string, StoreItem> Expected;
    for (std::uint64_t Revision = 1; Revision <= 30; ++Revision) {
      StoreItem Item{"k" + std::to_string(Random() % 5),
                     std::to_string(Revision), firstEra(Revision),
                     Random() % 4 == 0};
      Expected[Item.Key] = Item;
      Changes.push_back(Item);
    }
    std::shuffle(Changes.begin(), Changes.end(), Random);
    StoreMirror Mirror([](const StoreItem &) {});
    for (const StoreItem &Item : Changes)
      Mirror.apply(Item);
    for (const auto &[Key, Item] : Expected) {
      const StoreItem *Known = Mirror.find(Key);
      DOCTEST_CHECK((Known == nullptr) == Item.Removed);
      if (Known)
        DOCTEST_CHECK(Known->Value == Item.Value);
    }
  }
}
