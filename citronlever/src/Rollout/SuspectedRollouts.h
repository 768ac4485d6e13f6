#pragma once

#include "citronlever/src/Core/Time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace citronlever {

/// Reports that the version of a rollout may be bad
/// (MessageType::VersionSuspicion). Entries then send it as many requests as
/// their budgets allow, so that the suspicion is soon decided.
struct VersionSuspicion {
  std::string RolloutId;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->RolloutId); }
};

/// The rollouts under suspicion. A suspicion expires some time after it was
/// last forwarded. Safe to call from several threads.
class SuspectedRollouts {
public:
  /// Time for which a suspicion holds.
  static constexpr Duration Lifetime = Seconds(2);
  /// Time after which a repeated suspicion is forwarded again.
  static constexpr Duration ForwardPeriod = Seconds(1);

  /// Adds a suspicion.
  /// \returns whether it must be forwarded.
  bool add(std::string_view RolloutId, TimePoint Now);

  /// \returns whether \p RolloutId is under suspicion.
  bool contains(std::string_view RolloutId, TimePoint Now) const;

  /// Removes expired suspicions.
  void expire(TimePoint Now);

private:
  mutable std::mutex Mutex;
  /// Time at which the suspicion was last forwarded, by rollout id.
  std::map<std::string, TimePoint, std::less<>> LastForwarded;
};

} // namespace citronlever
