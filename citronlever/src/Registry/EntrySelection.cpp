#include "citronlever/src/Registry/EntrySelection.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace citronlever {

namespace {

/// The connection cap never reduces the entries below this number, so that the
/// loss of a few entries is tolerable.
constexpr std::size_t MinEntries = 8;
/// Weak members are excluded only while more entries than this remain.
constexpr std::size_t MinEntriesWithoutWeak = 4;
/// Connections to one leaf that an entry can open. The fewer entries share a
/// leaf, the more often each uses its connections and observes the leaf.
constexpr int ConnectionsPerEntry = 12;
/// A member is weak if its capacity is below this fraction of the highest.
constexpr double WeakCapacityRatio = 0.5;

/// Orders members by capacity, highest first, and those of the same capacity so
/// that failure domains take turns.
void orderByCapacity(std::vector<FleetMember> &Members) {
  std::ranges::stable_sort(Members, std::greater(), &FleetMember::Capacity);
  std::map<std::pair<double, std::string>, std::size_t> Ranks;
  std::vector<std::pair<std::size_t, FleetMember>> Ranked;
  for (FleetMember &Member : Members) {
    const std::size_t Rank = Ranks[{Member.Capacity, Member.Domain}]++;
    Ranked.emplace_back(Rank, std::move(Member));
  }
  std::ranges::stable_sort(Ranked, {}, [](const auto &Item) {
    return std::pair(-Item.second.Capacity, Item.first);
  });
  std::ranges::transform(Ranked, Members.begin(),
                         [](auto &Item) { return std::move(Item.second); });
}

} // namespace

std::vector<FleetMember> selectEntryMembers(std::vector<FleetMember> Serving,
                                            int ConnectionCap) {
  orderByCapacity(Serving);
  const auto MaxByConnections = static_cast<std::size_t>(
      std::max(1, ConnectionCap / ConnectionsPerEntry));
  const std::size_t MaxEntries = std::max(MinEntries, MaxByConnections);
  if (Serving.size() > MaxEntries)
    Serving.resize(MaxEntries);
  while (Serving.size() > MinEntriesWithoutWeak &&
         Serving.back().Capacity < WeakCapacityRatio * Serving.front().Capacity)
    Serving.pop_back();
  return Serving;
}

} // namespace citronlever
