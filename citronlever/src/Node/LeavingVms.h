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

/// Names upstream VMs that the platform lists as leaving
/// (MessageType::LeavingVms); sent again while the list says so.
struct LeavingVms {
  std::vector<std::string> Names;

  template <class Archive> void serialize(Archive &Ar) { Ar(this->Names); }
};

/// The VMs that this broker has been told are leaving. A name that is not
/// repeated is dropped, so that a VM that stays gets work again.
class LeavingVmTracker {
public:
  using Names = std::set<std::string, std::less<>>;

  /// Takes in one message. \returns whether the set changed.
  bool add(const LeavingVms &Message, TimePoint Now);

  /// Drops names not repeated in time. \returns whether the set changed.
  bool expire(TimePoint Now);

  Names names() const;

  static constexpr Duration Retention = Seconds(10);

private:
  std::map<std::string, TimePoint, std::less<>> ExpiryTimes;
};

/// One message to one broker.
struct LeavingVmsNotice {
  Endpoint To;
  LeavingVms Message;
};

/// \returns whom to tell about leaving VMs: the owner and the first stand-by
/// of each group that has leaves there.
std::vector<LeavingVmsNotice>
leavingVmsNotices(const LeavingVmTracker::Names &Leaving,
                  const ConfigView &Config, const Ownership &Owners);

/// \returns whether \p Self reads the platform's VM list for its failure
/// domain: one member does, so that calls do not grow with the fleet.
bool readsVmList(const MemberView &View, const Member &Self);

} // namespace citronlever
