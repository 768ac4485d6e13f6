#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// What one process of the fleet says of itself in the store, under a lease.
struct FleetMember {
  std::string Name;
  std::string Domain;
  std::string Region;
  /// Where callers connect.
  Endpoint CallerAddress;
  /// Where other members connect.
  Endpoint PeerAddress;
  /// Serves, but callers are no longer to be sent there.
  bool Leaving = false;
  /// Processor power of the VM, in cores.
  double Capacity = 1;
  /// Differs between two starts of the same process.
  std::uint64_t Incarnation = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Domain, this->Region, this->CallerAddress,
       this->PeerAddress, this->Leaving, this->Capacity, this->Incarnation);
  }
};

/// \returns the bytes of a member's registration.
std::string encodeMember(const FleetMember &Member);

/// \throws DecodeError if \p Text is none.
FleetMember decodeMember(std::string_view Text);

/// The processes of the fleet as their leases in the store show them. A member
/// whose lease lapsed while the store was away counts until it could have
/// registered again.
class FleetMembers {
public:
  /// Time after the store's return in which live members have registered again.
  static constexpr Duration RecoveryGracePeriod = Milliseconds(2500);
  /// Time for which a member that has gone still counts where the fleet's
  /// limits are divided, since it may go on with its part for a while.
  static constexpr Duration DepartedMemberRetention = Seconds(12);

  void put(FleetMember Member);
  void remove(std::string_view Name, TimePoint Now);
  void onStoreRecovered(TimePoint Now);
  void expire(TimePoint Now);

  /// \returns members to which callers may be sent.
  std::vector<FleetMember> servingMembers() const;

  /// \returns how many processes the fleet's limits are divided by; at least 1.
  std::size_t limitShareCount(TimePoint Now) const;

  const FleetMember *find(std::string_view Name) const;

private:
  struct Record {
    FleetMember Member;
    TimePoint RemoveAt = TimePoint::max();
  };
  std::map<std::string, Record, std::less<>> Members;
  std::map<std::string, TimePoint, std::less<>> DepartedAt;
  TimePoint RemovalsTrustedFrom{};
};

/// \returns the addresses to tell a caller of \p Domain, at most \p MaxCount:
/// those that serve, in a fixed order that starts with the caller's domain.
std::vector<std::string>
addressesForCaller(std::span<const FleetMember> Entries,
                   std::string_view Domain, std::size_t MaxCount);

} // namespace citronlever
