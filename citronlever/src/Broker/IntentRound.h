#pragma once

#include "citronlever/src/Broker/KeyMessages.h"

#include <cstddef>
#include <optional>
#include <string>

namespace citronlever {

/// Decides, from the stand-bys' replies to an intent, whether a request with a
/// key may be sent. At least one stand-by must have recorded the intent. An
/// owner that gained the group recently waits for all of them, since any one
/// may be the only broker that knows the key.
class IntentRound {
public:
  enum class Decision : std::uint8_t {
    /// The request may be sent to a leaf.
    Send,
    /// Too few stand-bys recorded the intent: refuse the request as not run.
    Refuse,
    /// A stand-by knows the outcome of the first request with this key.
    Known,
    /// Another owner may have sent a request with this key.
    InDoubt
  };

  /// \param StandByCount stand-bys that were asked. \param RequireAll each of
  /// them must record the intent, not just one.
  IntentRound(std::size_t StandByCount, bool RequireAll)
      : StandByCount(StandByCount), RequireAll(RequireAll) {}

  /// Counts a reply. \returns the decision once there is one.
  std::optional<Decision> onAck(const KeyIntentAck &Ack);

  /// \returns the decision on the replies so far; no more are awaited.
  Decision onTimeout() const;

  /// \returns the decision if there is no stand-by to ask.
  std::optional<Decision> initialDecision() const {
    if (this->StandByCount == 0)
      return Decision::Send;
    return std::nullopt;
  }

  /// \returns the reply that led to Decision::Known.
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
