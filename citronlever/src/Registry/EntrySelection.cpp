#include "citronlever/src/Registry/EntrySelection.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Entries below which none is left out: the loss of some must not matter.
constexpr std::size_t MinEntries = 8;
/// Entries below which also weak members serve callers.
constexpr std::size_t MinEntriesWithoutWeak = 4;
/// Connections to one leaf that an entry needs to keep them warm and to send
/// two calls at once while another connection is opened.
constexpr int ConnectionsPerEntry = 4;
/// A member below this part of the strongest one's capacity is weak.
constexpr double WeakCapacityRatio = 0.5;

} // namespace

std::vector<FleetMember> selectEntryMembers(std::vector<FleetMember> Serving,
                                            int ConnectionCap) {
  std::stable_sort(Serving.begin(), Serving.end(),
                   [](const FleetMember &A, const FleetMember &B) {
                     return A.Capacity > B.Capacity;
                   });
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
