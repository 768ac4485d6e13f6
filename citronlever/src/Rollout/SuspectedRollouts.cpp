#include "citronlever/src/Rollout/SuspectedRollouts.h"

namespace citronlever {

bool SuspectedRollouts::add(std::string_view RolloutId, TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  const auto [Found, First] = this->Told.try_emplace(std::string(RolloutId));
  if (!First && Now - Found->second < RenewTime)
    return false;
  Found->second = Now;
  return true;
}

bool SuspectedRollouts::contains(std::string_view RolloutId,
                                 TimePoint Now) const {
  const std::lock_guard Lock(this->Mutex);
  const auto Found = this->Told.find(RolloutId);
  return Found != this->Told.end() && Now - Found->second < HoldTime;
}

void SuspectedRollouts::expire(TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Told, [Now](const auto &Item) {
    return Now - Item.second >= HoldTime;
  });
}

} // namespace citronlever
