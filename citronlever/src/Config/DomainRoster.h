#pragma once

#include "citronlever/src/Config/ConfigPeer.h"
#include "citronlever/src/Config/MemberSetHash.h"
#include "citronlever/src/Core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace citronlever {

/// The live members of one failure domain in this process's view, split into
/// groups, and the members that collect revisions: one for each group and one
/// for the domain. Collectors are selected by rendezvous hashing, so members
/// with equal views agree without exchanging messages.
class DomainRoster {
public:
  /// \param MinGroupSize minimum average group size once there is more than one
  /// group.
  explicit DomainRoster(std::size_t MinGroupSize = 32)
      : MinGroupSize(MinGroupSize) {}

  /// Sets the live members. \returns those that have left.
  std::vector<ConfigPeer> update(std::vector<ConfigPeer> Live, TimePoint Now);

  std::span<const ConfigPeer> members() const { return this->Live; }
  /// \returns the hash of the set of live members.
  const MemberSetHash &memberSet() const { return this->AllMembers; }

  std::size_t groupCount() const { return this->Groups.size(); }
  /// \returns the group of a member, which depends on its name only.
  std::size_t groupOf(std::string_view Name) const;
  /// \returns the indices into members() of a group's members.
  std::span<const std::uint32_t> group(std::size_t Group) const {
    return this->Groups[Group].Members;
  }
  /// \returns the identity of members()[\p Member].
  std::uint64_t identity(std::uint32_t Member) const {
    return this->Identities[Member];
  }

  /// \returns the domain's collector, or null if the domain is empty.
  const ConfigPeer *collector() const;
  /// \returns the collector of a group; the domain's collector if there is only
  /// one group.
  const ConfigPeer *groupCollector(std::size_t Group) const;

  /// Compares the members that another process counted with this roster. Views
  /// differ briefly after each change: a difference of one member that the
  /// other process does not know yet, and one that has left in this view, is
  /// recognised.
  /// \returns the members that \p Counted lacks, or nullopt if the difference
  /// cannot be determined.
  std::optional<std::vector<const ConfigPeer *>>
  missingFrom(const MemberSetHash &Counted) const;
  std::optional<std::vector<const ConfigPeer *>>
  missingFrom(const MemberSetHash &Counted, std::size_t Group) const;

  /// \returns the live member with that identity, or null.
  const ConfigPeer *find(std::uint64_t Identity) const;

  /// Time for which departed members are remembered, and their maximum number.
  static constexpr Duration DepartedRetention = Seconds(30);
  static constexpr std::size_t MaxDeparted = 64;

private:
  struct GroupMembers {
    MemberSetHash Set;
    std::vector<std::uint32_t> Members;
  };
  struct Departure {
    std::uint64_t Identity = 0;
    TimePoint At;
  };
  std::vector<ConfigPeer>
  recordDepartures(std::span<const ConfigPeer> Before,
                   std::span<const std::uint64_t> Identities, TimePoint Now);
  void rebuildIndex();
  const ConfigPeer *selectCollector(std::string_view Key) const;
  std::optional<std::vector<const ConfigPeer *>>
  difference(const MemberSetHash &Seen, const MemberSetHash &Counted) const;

  std::size_t MinGroupSize;
  std::vector<ConfigPeer> Live;
  std::vector<std::uint64_t> Identities;
  std::vector<std::uint64_t> NameHashes;
  std::vector<GroupMembers> Groups{1};
  MemberSetHash AllMembers;
  std::deque<Departure> Departed;
  /// Collectors by group, filled on demand.
  mutable std::map<std::size_t, const ConfigPeer *> Collectors;
};

/// Result of a roster update.
struct RosterChange {
  std::vector<ConfigPeer> Left;
  /// Failure domains whose members changed.
  std::vector<std::string> Domains;
};

/// The rosters of all failure domains.
class FleetRoster {
public:
  explicit FleetRoster(std::size_t MinGroupSize) : MinGroupSize(MinGroupSize) {}

  /// Sets the live members of all domains.
  RosterChange update(std::span<const ConfigPeer> Live, TimePoint Now);

  const std::map<std::string, DomainRoster, std::less<>> &domains() const {
    return this->Domains;
  }

private:
  std::size_t MinGroupSize;
  std::map<std::string, DomainRoster, std::less<>> Domains;
};

} // namespace citronlever
