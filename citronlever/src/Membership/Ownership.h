#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Membership/Member.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace citronlever {

/// Determines which broker owns a group of a service's shards: the broker with
/// the highest rendezvous score, where failure domains with more leaves of the
/// group come first and the stand-bys are spread over failure domains. Members
/// that are leaving, or that operators have taken out, own nothing. A suspect
/// remains owner until it is dead, but live stand-bys rank before suspected
/// ones.
///
/// Built for each view; thread-safe.
class Ownership {
public:
  Ownership(MemberViewPtr Members, ConfigViewPtr Config);

  /// Same, but copies from \p Previous the candidates of the groups that the
  /// difference between the two views does not affect.
  Ownership(MemberViewPtr Members, ConfigViewPtr Config,
            const Ownership &Previous);

  /// \returns up to \p Count brokers for a group, the owner first, then its
  /// stand-bys; empty if no broker may own it.
  std::vector<const Member *> candidates(const Service &ServiceConfig,
                                         std::uint32_t Group,
                                         std::size_t Count) const;

  /// \returns the owner, or null if no broker may own the group.
  const Member *owner(const Service &ServiceConfig, std::uint32_t Group) const;

  const MemberViewPtr &members() const { return this->Members; }

private:
  struct State;

  MemberViewPtr Members;
  ConfigViewPtr Config;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
