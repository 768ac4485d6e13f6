#pragma once

#include "citronlever/src/Config/ConfigView.h"
#include "citronlever/src/Contracts/Admission.h"
#include "citronlever/src/Contracts/ShareGrantor.h"
#include "citronlever/src/Core/ShardedMap.h"
#include "citronlever/src/Membership/Member.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <functional>
#include <map>
#include <string>

namespace citronlever {

/// Exchanges demand reports and share grants with other entries, for the share
/// holders and share grantors of this entry. Thread-safe.
class ShareController {
public:
  ShareController(PeerHub &Hub, Admission &AdmissionControl, ProcessId Self,
                  std::function<ConfigViewPtr()> Config,
                  std::function<MemberViewPtr()> Members);

  /// Sends the reports that are due, and releases the customers whose grantor
  /// is now another entry.
  void tick(TimePoint Now);

  /// Handles a demand report from another entry. \throws if \p Body cannot be
  /// decoded.
  void onReport(const PeerLinkPtr &From, ByteView Body, TimePoint Now);
  /// Handles share grants from another entry. \throws if \p Body cannot be
  /// decoded.
  void onGrant(const PeerLinkPtr &From, ByteView Body, TimePoint Now);

private:
  using Grants = std::map<ProcessId, ShareGrant>;
  using Reports = std::map<ProcessId, DemandReport>;

  void reportDemand(TimePoint Now);
  void relinquishReassigned(TimePoint Now);
  std::vector<AddressedGrant>
  handleDemand(ShareGrantor &Grantor, const Contract &Terms,
               const ProcessId &From, const DemandItem &Item, TimePoint Now);
  void handleReport(const ProcessId &From, const DemandReport &Report,
                    TimePoint Now);
  void handleGrant(const ProcessId &From, const ShareGrant &Grant,
                   TimePoint Now);
  void send(const ProcessId &To, MessageType Type, Bytes Body);
  void deliver(const Reports &Out, TimePoint Now);
  void deliver(const Grants &Out, TimePoint Now);
  /// \returns whether this entry ranks first among \p Entries, and so divides
  /// the contract.
  bool isGrantor(const CustomerEntries &Entries) const;
  const Contract *findTerms(const ConfigView &Config,
                            const std::string &Customer) const;

  PeerHub &Hub;
  Admission &AdmissionControl;
  ProcessId Self;
  std::function<ConfigViewPtr()> Config;
  std::function<MemberViewPtr()> Members;
  ShardedMap<std::string, ShareGrantor> Grantors;
  /// Fleet and configuration at the last check for reassigned customers.
  std::uint64_t LastFleetVersion = 0;
  ConfigViewPtr LastConfig;
};

} // namespace citronlever
