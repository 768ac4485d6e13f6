#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Membership/Ownership.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace citronlever {

/// Message (MessageType::LeavingVms) with the upstream VMs that the platform
/// lists as leaving. Repeated as long as the platform lists them.
struct LeavingVms {
  std::vector<std::string> Names;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Names); }
};

/// The VMs that were reported to this broker as leaving. A name that is not
/// reported again expires, so that a VM that stays after all gets requests
/// again.
class LeavingVmTracker {
public:
  using Names = std::set<std::string, std::less<>>;

  /// Records the names of a message and extends their expiry.
  /// \returns whether a name is new.
  bool add(const LeavingVms &Message, TimePoint Now);

  /// Removes the names that were not repeated within Retention.
  /// \returns whether a name was removed.
  bool expire(TimePoint Now);

  Names names() const;

  static constexpr Duration Retention = Seconds(10);

private:
  std::map<std::string, TimePoint, std::less<>> ExpiryTimes;
};

/// A message and the broker that receives it.
struct LeavingVmsNotice {
  Endpoint To;
  LeavingVms Message;
};

/// \returns the messages about leaving VMs, one for each broker that is the
/// owner or the first stand-by of a group with leaves on these VMs.
std::vector<LeavingVmsNotice>
leavingVmsNotices(const LeavingVmTracker::Names &Leaving,
                  const ConfigView &Config, const Ownership &Owners);

/// \returns whether \p Self is the member that reads the platform's VM list for
/// its failure domain. One member does, chosen by rendezvous hashing, so that
/// the number of calls does not grow with the fleet.
bool readsVmList(const MemberView &View, const Member &Self);

} // namespace citronlever
