#include "citronlever/src/Membership/internal/RumorQueue.h"

namespace citronlever {

void RumorQueue::add(Rumor Update) {
  if (this->Queue.size() >= MaxQueued)
    this->Queue.pop_back();
  this->Queue.push_front({std::move(Update), 0});
}

std::size_t RumorQueue::take(std::vector<Rumor> &Out, std::size_t Room,
                             std::size_t Limit,
                             const CurrentPredicate &IsCurrent) {
  std::size_t Used = 0;
  std::size_t Visits = this->Queue.size();
  while (Visits-- > 0 && !this->Queue.empty()) {
    Entry Next = std::move(this->Queue.front());
    this->Queue.pop_front();
    if (!IsCurrent(Next.Update))
      continue;
    const std::size_t Bytes = encodedBytes(Next.Update);
    if (Used + Bytes > Room) {
      this->Queue.push_front(std::move(Next));
      break;
    }
    Used += Bytes;
    Out.push_back(Next.Update);
    if (++Next.Sent < Limit)
      this->Queue.push_back(std::move(Next));
  }
  return Used;
}

std::size_t RumorQueue::encodedBytes(const Rumor &Update) {
  constexpr std::size_t SuspectBytes = 21;
  constexpr std::size_t ShortBytes = 13;
  constexpr std::size_t FixedBytes = 33;
  if (!Update.Full)
    return Update.State == MemberState::Suspect ? SuspectBytes : ShortBytes;
  return FixedBytes + Update.Full->Name.size() + Update.Full->Vm.size() +
         Update.Full->Domain.size() + Update.Full->Peer.Host.size() * 3;
}

} // namespace citronlever
