#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Platform/Platform.h"

#include <memory>
#include <optional>
#include <string>

namespace citronlever {

/// Acquires and renews one lease in the platform's store. The revision of the
/// key that is attached to the lease is the fencing token of everything that
/// its holder writes. Safe to call from any thread.
class LeaseHolder {
public:
  /// The store expires the lease if it is not renewed for this long.
  static constexpr Duration TimeToLive = Seconds(6);
  /// A lease counts as lost if it was not renewed for this long, well before
  /// the store expires it.
  static constexpr Duration SafeHoldTime = Seconds(4);
  static constexpr Duration RenewPeriod = Seconds(2);

  /// \param Key key in the store that is attached to the lease.
  /// \param Name name of this member, stored as the key's value.
  LeaseHolder(Platform &Store, std::string Key, std::string Name);

  /// Acquires or renews the lease if \p ShouldHold is set; releases it
  /// otherwise.
  void tick(bool ShouldHold, TimePoint Now);

  /// \returns the fencing token; nothing unless the lease is certainly held at
  /// \p Now.
  std::optional<std::uint64_t> fencingToken(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
