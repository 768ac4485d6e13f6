#pragma once

#include "citronlever/src/Core/Time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace citronlever {

/// Says that a rollout's version may be bad (MessageType::VersionSuspicion).
/// Entries then send it what their budgets allow, so that it is soon decided.
struct VersionSuspicion {
  std::string RolloutId;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->RolloutId); }
};

/// The rollouts under suspicion, each for some time after it was last told.
/// Safe to call from several threads.
class SuspectedRollouts {
public:
  /// Time for which a suspicion holds, and after which it is passed on again.
  static constexpr Duration Lifetime = Seconds(2);
  static constexpr Duration ForwardPeriod = Seconds(1);

  /// Adds a suspicion. \returns whether it is to be passed on.
  bool add(std::string_view RolloutId, TimePoint Now);

  /// \returns whether \p RolloutId is under suspicion.
  bool contains(std::string_view RolloutId, TimePoint Now) const;

  /// Forgets what has ended.
  void expire(TimePoint Now);

private:
  mutable std::mutex Mutex;
  /// By rollout, when the suspicion was last passed on.
  std::map<std::string, TimePoint, std::less<>> LastForwarded;
};

} // namespace citronlever
