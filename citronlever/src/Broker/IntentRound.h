#pragma once

#include "citronlever/src/Broker/KeyMessages.h"

#include <cstddef>
#include <optional>
#include <string>

namespace citronlever {

/// Decides, from the stand-bys' answers to an intent, whether a request with a
/// key may be sent. One answer must have come before anything is sent; an
/// owner that is new to the group waits for all, since any one of them may be
/// the only one that knows the key.
class IntentRound {
public:
  enum class Decision : std::uint8_t {
    Send,
    /// Too few answered: not run.
    Refuse,
    /// The first outcome is known to a stand-by.
    Known,
    /// Another owner may have sent it.
    InDoubt
  };

  /// \param Asked live stand-bys; \param NeedAll each of them must answer.
  IntentRound(std::size_t StandByCount, bool RequireAll)
      : StandByCount(StandByCount), RequireAll(RequireAll) {}

  /// \returns the decision once there is one.
  std::optional<Decision> onAck(const KeyIntentAck &Ack);

  /// The wait is over, or a stand-by cannot be reached.
  Decision onTimeout() const;

  std::optional<Decision> initialDecision() const {
    if (this->StandByCount == 0)
      return Decision::Send;
    return std::nullopt;
  }

  const KeyIntentAck &knownOutcome() const { return this->KnownOutcome; }

private:
  std::size_t StandByCount;
  bool RequireAll;
  std::size_t AckCount = 0;
  std::size_t RecordedCount = 0;
  bool OtherIntentSeen = false;
  KeyIntentAck KnownOutcome;
};

} // namespace citronlever
