#include "citronlever/src/Entry/VersionBudget.h"

namespace citronlever {

VersionReservation VersionBudget::reserve(std::string_view Service,
                                          const VersionShare &Share,
                                          std::size_t Shards,
                                          VersionPreference Preference,
                                          TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  RolloutUsage &Usage = this->UsageByService[std::string(Service)];
  if (Usage.RolloutId != Share.RolloutId) {
    Usage = {};
    Usage.RolloutId = Share.RolloutId;
    Usage.StartedAt = Now;
  }
  VersionReservation Result{Share.RolloutId, false, 0};
  if (Preference == VersionPreference::Old)
    return Result;
  if (Preference == VersionPreference::Probe && Usage.LastNewAt &&
      Now - *Usage.LastNewAt < ProbePeriod)
    return Result;
  const bool KeepsHeadroom = Preference == VersionPreference::New &&
                             !Usage.LastNewAt &&
                             Now - Usage.StartedAt < HeadroomPeriod;
  const std::uint64_t Headroom = KeepsHeadroom ? HeadroomCallsPerShard : 0;
  if (!hasRoom(Usage, Share.Share, (MaxCallsPerShard + Headroom) * Shards))
    return Result;
  Usage.LastNewAt = Now;
  Result.New = true;
  Result.Calls = MaxCallsPerShard * Shards;
  Usage.ReservedCalls += Result.Calls;
  return Result;
}

bool VersionBudget::hasRoom(const RolloutUsage &Usage, double Share,
                            std::uint64_t Calls) {
  const std::uint64_t New = Usage.NewCalls + Usage.ReservedCalls + Calls;
  const auto All = static_cast<double>(Usage.OldCalls + New);
  return Share >= 1 || static_cast<double>(New) <= Share * All;
}

void VersionBudget::settle(std::string_view Service,
                           const VersionReservation &Reservation,
                           std::uint64_t LeafCalls) {
  if (Reservation.RolloutId.empty())
    return;
  const std::lock_guard Lock(this->Mutex);
  const auto Found = this->UsageByService.find(Service);
  if (Found == this->UsageByService.end() ||
      Found->second.RolloutId != Reservation.RolloutId)
    return;
  RolloutUsage &Usage = Found->second;
  (Reservation.New ? Usage.NewCalls : Usage.OldCalls) += LeafCalls;
  Usage.ReservedCalls -= Reservation.Calls;
}

} // namespace citronlever
