#include "citronlever/Routing"

#include <doctest/doctest.h>

#include <random>

using namespace citronlever;

namespace {

RouteSpec makeRoute(std::string Name, std::string Host, std::string Prefix) {
  RouteSpec Result;
  Result.Name = std::move(Name);
  Result.Host = std::move(Host);
  Result.PathPrefix = std::move(Prefix);
  Result.Targets = {{"service", 1}};
  return Result;
}

RouteTablePtr makeTable(std::uint64_t Version, std::vector<RouteSpec> Routes) {
  return std::make_shared<const RouteTable>(
      Version, std::move(Routes), std::vector<ServiceSpec>{}, CallerLimits{});
}

std::string matchedName(const RouteTable &Table, std::string_view Host,
                        std::string_view Path) {
  const RouteSpec *Match = Table.match(Host, Path);
  return Match ? Match->Name : "";
}

/// Reference implementation of RouteTable::match(): a scan over all routes.
std::string matchedNameByScan(const RouteTable &Table, std::string_view Host,
                              std::string_view Path) {
  const RouteSpec *Best = nullptr;
  for (const RouteSpec &Route : Table.routes())
    if (Route.Host == Host && Path.starts_with(Route.PathPrefix) &&
        (!Best || Route.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Route;
  return Best ? Best->Name : "";
}

std::string randomPath(std::mt19937 &Random) {
  static constexpr std::string_view Letters = "ab/";
  std::string Path = "/";
  const auto Size = Random() % 8;
  for (unsigned At = 0; At < Size; ++At)
    Path += Letters[Random() % Letters.size()];
  return Path;
}

} // namespace

DOCTEST_TEST_CASE(
    "a request matches the longest prefix among the host's routes") {
  const auto Table = makeTable(1, {makeRoute("short", "h.example", "/a/"),
                                   makeRoute("long", "h.example", "/a/b/"),
                                   makeRoute("other", "g.example", "/a/b/c/")});
  DOCTEST_CHECK(matchedName(*Table, "h.example", "/a/b/c/d") == "long");
  DOCTEST_CHECK(matchedName(*Table, "h.example", "/a/x") == "short");
  DOCTEST_CHECK(matchedName(*Table, "h.example", "/a/bb") == "short");
  DOCTEST_CHECK(matchedName(*Table, "h.example", "/a") == "");
  DOCTEST_CHECK(matchedName(*Table, "f.example", "/a/b/") == "");
}

DOCTEST_TEST_CASE("matching ignores the port and the letter case of the host") {
  const auto Table = makeTable(1, {makeRoute("r", "H.example", "/")});
  DOCTEST_CHECK(matchedName(*Table, "h.EXAMPLE:8104", "/x") == "r");
}

DOCTEST_TEST_CASE(
    "the index returns the same route as a scan over all routes") {
  const unsigned Seed = 20261204;
  DOCTEST_INFO("seed " << Seed);
  std::mt19937 Random(Seed);
  for (int Round = 0; Round < 200; ++Round) {
    std::vector<RouteSpec> Routes;
    for (int At = 0; At < 12; ++At) {
      std::string Prefix = randomPath(Random);
      if (Prefix.back() != '/')
        Prefix += '/';
      // A later route of the same prefix replaces an earlier one.
      std::erase_if(Routes, [&](const RouteSpec &Route) {
        return Route.PathPrefix == Prefix;
      });
      Routes.push_back(makeRoute("r" + std::to_string(At), "h", Prefix));
    }
    const auto Table = makeTable(1, std::move(Routes));
    const std::string Path = randomPath(Random);
    DOCTEST_CHECK(matchedName(*Table, "h", Path) ==
                  matchedNameByScan(*Table, "h", Path));
  }
}

DOCTEST_TEST_CASE(
    "a table of an older or equal version never replaces the current one") {
  CurrentRoutes Current;
  DOCTEST_CHECK(Current.get() == nullptr);
  DOCTEST_CHECK(Current.replaceIfNewer(makeTable(5, {})));
  DOCTEST_CHECK(!Current.replaceIfNewer(makeTable(4, {})));
  DOCTEST_CHECK(!Current.replaceIfNewer(makeTable(5, {})));
  DOCTEST_CHECK(Current.get()->version() == 5);
  DOCTEST_CHECK(Current.replaceIfNewer(makeTable(9, {})));
}

DOCTEST_TEST_CASE("after each request, the counts are close to the weights") {
  const std::vector<WeightedService> Targets = {{"a", 7}, {"b", 2}, {"c", 1}};
  WeightedRoundRobin Rotation(0.95);
  std::map<std::string, int> Count;
  for (int At = 1; At <= 300; ++At) {
    ++Count[Rotation.next(Targets).Name];
    for (const WeightedService &Target : Targets)
      DOCTEST_CHECK(std::abs(Count[Target.Name] - At * Target.Weight / 10) < 2);
  }
}

DOCTEST_TEST_CASE(
    "processes with evenly spread phases and one request each match the "
    "weights") {
  const std::vector<WeightedService> Targets = {{"a", 3}, {"b", 1}};
  int LighterServiceCount = 0;
  for (int Process = 0; Process < 1000; ++Process) {
    WeightedRoundRobin Rotation(Process / 1000.0);
    if (Rotation.next(Targets).Name == "b")
      ++LighterServiceCount;
  }
  DOCTEST_CHECK(LighterServiceCount == 250);
}
