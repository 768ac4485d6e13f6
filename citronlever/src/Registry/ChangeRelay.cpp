#include "citronlever/src/Registry/ChangeRelay.h"

#include <algorithm>
#include <utility>

namespace citronlever {

void ChangeRelay::record(const StoreItem &Item) {
  this->Kept.push_back(Item);
  if (this->Kept.size() <= MaxKept)
    return;
  this->Floor = std::max(this->Floor, this->Kept.front().Revision);
  this->Kept.pop_front();
}

void ChangeRelay::advance(std::uint64_t NewAsOf, TimePoint Now) {
  if (!this->Available && this->AsOf == 0)
    this->Floor = std::max(this->Floor, NewAsOf);
  this->Available = true;
  this->AsOf = std::max(this->AsOf, NewAsOf);
  std::erase_if(this->Questions, [&](const Waiting &Question) {
    return this->answer(Question, false);
  });
  this->expire(Now);
}

void ChangeRelay::lost() {
  this->Available = false;
  for (const Waiting &Question : std::exchange(this->Questions, {}))
    Question.Use(StoreStatus::Refused, {});
}

void ChangeRelay::ask(std::uint64_t Revision, Duration Wait, TimePoint Now,
                      Then Use) {
  Waiting Question{Revision, Now + Wait, std::move(Use)};
  if (!this->Available)
    Question.Use(StoreStatus::Refused, {});
  else if (Revision < this->Floor)
    Question.Use(StoreStatus::HistoryGone, {});
  else if (!this->answer(Question, false))
    this->Questions.push_back(std::move(Question));
}

bool ChangeRelay::answer(const Waiting &Question, bool AlsoEmpty) const {
  RelayedChanges Result;
  for (const StoreItem &Item : this->Kept)
    if (Item.Revision > Question.Revision)
      Result.Items.push_back(Item);
  if (Result.Items.empty() && !AlsoEmpty)
    return false;
  Result.AsOf = std::max(this->AsOf, Question.Revision);
  Question.Use(StoreStatus::Done, std::move(Result));
  return true;
}

void ChangeRelay::expire(TimePoint Now) {
  std::erase_if(this->Questions, [&](const Waiting &Question) {
    return Question.Until <= Now && this->answer(Question, true);
  });
}

} // namespace citronlever
