#include "citronlever/src/Rollout/BadVersionMarks.h"

namespace citronlever {

bool BadVersionMarks::add(const BadVersionMark &Mark) {
  const std::lock_guard Lock(this->Mutex);
  return this->Marks.emplace(Mark.RolloutId, Mark).second;
}

bool BadVersionMarks::contains(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  return this->Marks.contains(RolloutId);
}

std::string BadVersionMarks::reason(std::string_view RolloutId) const {
  const auto Found = this->find(RolloutId);
  return Found ? Found->Reason : std::string();
}

std::optional<BadVersionMark>
BadVersionMarks::find(std::string_view RolloutId) const {
  const std::lock_guard Lock(this->Mutex);
  const auto Found = this->Marks.find(RolloutId);
  if (Found == this->Marks.end())
    return std::nullopt;
  return Found->second;
}

std::vector<BadVersionMark> BadVersionMarks::all() const {
  const std::lock_guard Lock(this->Mutex);
  std::vector<BadVersionMark> Result;
  for (const auto &Item : this->Marks)
    Result.push_back(Item.second);
  return Result;
}

void BadVersionMarks::retain(
    const std::function<bool(std::string_view)> &IsReferenced) {
  const std::lock_guard Lock(this->Mutex);
  std::erase_if(this->Marks,
                [&](const auto &Item) { return !IsReferenced(Item.first); });
}

} // namespace citronlever
