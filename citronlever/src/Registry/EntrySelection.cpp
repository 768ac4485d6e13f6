#include "citronlever/src/Registry/EntrySelection.h"

#include <algorithm>

namespace citronlever {

namespace {

/// The connection cap never reduces the entries below this number, so that the
/// loss of a few entries is tolerable.
constexpr std::size_t MinEntries = 8;
/// Weak members are excluded only while more entries than this remain.
constexpr std::size_t MinEntriesWithoutWeak = 4;
/// Connections that an entry needs to one leaf, to keep them warm and to send
/// two calls concurrently while another connection is being opened.
constexpr int ConnectionsPerEntry = 4;
/// A member is weak if its capacity is below this fraction of the highest.
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
