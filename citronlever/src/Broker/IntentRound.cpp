#include "citronlever/src/Broker/IntentRound.h"

namespace citronlever {

std::optional<IntentRound::Decision>
IntentRound::onAck(const KeyIntentAck &Ack) {
  ++this->AckCount;
  switch (Ack.Known) {
  case KeyKnowledge::Unknown:
    ++this->RecordedCount;
    break;
  case KeyKnowledge::Intent:
    this->OtherIntentSeen = true;
    break;
  case KeyKnowledge::Outcome:
    this->KnownOutcome = Ack;
    return Decision::Known;
  case KeyKnowledge::Full:
    break;
  }
  if (this->AckCount < this->StandByCount)
    return std::nullopt;
  return this->onTimeout();
}

IntentRound::Decision IntentRound::onTimeout() const {
  if (this->OtherIntentSeen)
    return Decision::InDoubt;
  const std::size_t Needed = this->RequireAll ? this->StandByCount : 1;
  return this->RecordedCount >= Needed ? Decision::Send : Decision::Refuse;
}

} // namespace citronlever
