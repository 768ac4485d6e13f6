#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Registration of one process of the fleet, written to the store under a
/// lease.
struct FleetMember {
  std::string Name;
  std::string Domain;
  std::string Region;
  /// Address for connections of callers.
  Endpoint CallerAddress;
  /// Address for connections and probes of other members.
  Endpoint PeerAddress;
  /// The member still serves, but callers should no longer be directed to it.
  bool Leaving = false;
  /// CPU capacity of the VM, in cores.
  double Capacity = 1;
  /// Differs between two starts of the same member.
  std::uint64_t Incarnation = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Domain, this->Region, this->CallerAddress,
       this->PeerAddress, this->Leaving, this->Capacity, this->Incarnation);
  }
};

/// \returns the serialized registration.
std::string encodeMember(const FleetMember &Member);

/// \throws DecodeError if \p Text is not a serialized registration.
FleetMember decodeMember(std::string_view Text);

/// Set of the fleet's processes, as registered in the store. Tolerates outages
/// of the store: a member whose lease expired during an outage is kept until it
/// has had time to register again.
class FleetMembers {
public:
  /// Time after the end of a store outage within which live members have
  /// registered again.
  static constexpr Duration RecoveryGracePeriod = Milliseconds(2500);
  /// Time for which a departed member still counts when the fleet's limits are
  /// divided, since it may continue to use its share for a while.
  static constexpr Duration DepartedMemberRetention = Seconds(12);

  /// Adds or updates a member and cancels a pending removal.
  void put(FleetMember Member);
  /// Removes member \p Name, after the grace period if one is running.
  void remove(std::string_view Name, TimePoint Now);
  /// Starts the grace period: the store responds again after an outage.
  void onStoreRecovered(TimePoint Now);
  /// Drops members whose removal is due at \p Now.
  /// \returns whether any was dropped.
  bool expire(TimePoint Now);

  /// \returns the members that are not leaving; callers may be directed to
  /// them.
  std::vector<FleetMember> servingMembers() const;

  /// \returns the number of processes among which the fleet's limits are
  /// divided, including recently departed ones; at least 1.
  std::size_t limitShareCount(TimePoint Now) const;

  /// \returns member \p Name, or null.
  const FleetMember *find(std::string_view Name) const;

private:
  struct Record {
    FleetMember Member;
    /// When the pending removal is due; max() if there is none.
    TimePoint RemoveAt = TimePoint::max();
  };
  std::map<std::string, Record, std::less<>> Members;
  std::map<std::string, TimePoint, std::less<>> DepartedAt;
  TimePoint RemovalsTrustedFrom{};
};

/// \returns the caller addresses of at most \p MaxCount of \p Entries, those in
/// the caller's failure domain \p Domain first and otherwise in the given
/// order.
std::vector<std::string>
addressesForCaller(std::span<const FleetMember> Entries,
                   std::string_view Domain, std::size_t MaxCount);

} // namespace citronlever
