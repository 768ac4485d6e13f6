#include "citronlever/src/Rollout/SuspectedRollouts.h"

namespace citronlever {

bool SuspectedRollouts::add(std::string_view RolloutId, TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  const auto [Found, IsNew] =
      this->LastForwarded.try_emplace(std::string(RolloutId));
  if (!IsNew && Now - Found->second < ForwardPeriod)
    return false;
  Found->second = Now;
  return true;
}

bool SuspectedRollouts::contains(std::string_view RolloutId,
                                 TimePoint Now) const {
  const std::lock_guard Lock(this->Mutex);
  const auto Found = this->LastForwarded.find(RolloutId);
  return Found != this->LastForwarded.end() && Now - Found->second < Lifetime;
}

void SuspectedRollouts::expire(TimePoint Now) {
  const std::lock_guard Lock(this->Mutex);
  std::erase_if(this->LastForwarded, [Now](const auto &Item) {
    return Now - Item.second >= Lifetime;
  });
}

} // namespace citronlever
