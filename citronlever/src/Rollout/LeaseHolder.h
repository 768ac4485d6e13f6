#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Platform/Platform.h"

#include <memory>
#include <optional>
#include <string>

namespace citronlever {

/// Tries for, and keeps, one lease in the platform's store. The revision of
/// the key that is held under it is the fence of all that its holder writes.
/// Safe to call from any thread.
class LeaseHolder {
public:
  static constexpr Duration TimeToLive = Seconds(6);
  /// A lease that was not renewed for this long is held to be lost, well
  /// before the store drops it.
  static constexpr Duration SafeHoldTime = Seconds(4);
  static constexpr Duration RenewPeriod = Seconds(2);

  /// \param Key of the store; \param Name of this member.
  LeaseHolder(Platform &Store, std::string Key, std::string Name);

  /// Takes a step: asks for the lease, or renews it. \p ShouldHold says whether
  /// this member should hold it; if not, it is given up.
  void tick(bool ShouldHold, TimePoint Now);

  /// \returns the fence if the lease is surely held at \p Now.
  std::optional<std::uint64_t> fencingToken(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
