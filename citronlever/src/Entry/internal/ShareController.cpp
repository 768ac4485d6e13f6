#include "citronlever/src/Entry/internal/ShareController.h"

namespace citronlever {

ShareController::ShareController(PeerHub &Hub, Admission &AdmissionControl,
                                 ProcessId Self,
                                 std::function<ConfigViewPtr()> Config,
                                 std::function<MemberViewPtr()> Members)
    : Hub(Hub), AdmissionControl(AdmissionControl), Self(std::move(Self)),
      Config(std::move(Config)), Members(std::move(Members)) {}

const Contract *ShareController::findTerms(const ConfigView &View,
                                           const std::string &Customer) const {
  const auto Found = View.Contracts.find(Customer);
  return Found == View.Contracts.end() ? nullptr : &Found->second;
}

void ShareController::tick(TimePoint Now) {
  this->relinquishReassigned(Now);
  this->reportDemand(Now);
}

void ShareController::relinquishReassigned(TimePoint Now) {
  const ConfigViewPtr View = this->Config();
  const std::uint64_t Version = this->AdmissionControl.fleetVersion();
  if (View == this->LastConfig && Version == this->LastFleetVersion)
    return;
  this->LastConfig = View;
  this->LastFleetVersion = Version;
  Grants Out;
  this->Grantors.forEach(
      [&](const std::string &Customer, ShareGrantor &Grantor) {
        const Contract *Terms = this->findTerms(*View, Customer);
        if (!Terms || this->isGrantor(this->AdmissionControl.entriesOf(*Terms)))
          return;
        for (AddressedGrant &Release : Grantor.relinquish(Now))
          Out[Release.To].Items.push_back(std::move(Release.Item));
      });
  this->deliver(Out, Now);
}

bool ShareController::isGrantor(const CustomerEntries &Entries) const {
  return !Entries.Names.empty() && Entries.Names.front() == this->Self.Name;
}

void ShareController::reportDemand(TimePoint Now) {
  const ConfigViewPtr View = this->Config();
  const MemberViewPtr Seen = this->Members();
  Reports Out;
  for (const std::string &Customer :
       this->AdmissionControl.activeCustomers(Now)) {
    const Contract *Terms = this->findTerms(*View, Customer);
    if (!Terms)
      continue;
    this->AdmissionControl.withHolder(
        *Terms, Now, [&](ShareHolder &Holder, std::uint32_t InFlight) {
          if (!Holder.isReportDue(Now) || Holder.entries().Names.empty())
            return;
          const std::string &Name = Holder.entries().Names.front();
          ProcessId Preferred = this->Self;
          if (Name != this->Self.Name) {
            const Member *Found = Seen->find(Name);
            if (!Found)
              return;
            Preferred = {Name, Found->Incarnation};
          }
          const ProcessId Grantor = Holder.currentGrantor(Preferred, Now);
          if (auto Item = Holder.makeReport(Grantor, InFlight, Now))
            Out[Grantor].Items.push_back(std::move(*Item));
        });
  }
  this->deliver(Out, Now);
}

void ShareController::send(const ProcessId &To, MessageType Type, Bytes Body) {
  const MemberViewPtr Seen = this->Members();
  const Member *Found = Seen->find(To.Name);
  if (!Found)
    return;
  const std::uint64_t ExpectedIncarnation = To.Incarnation;
  this->Hub.withLink(
      Found->Peer, [Type, ExpectedIncarnation,
                    Body = std::move(Body)](const PeerLinkPtr &Link) mutable {
        // Sequence numbers are valid only for one incarnation of the process.
        if (Link && (ExpectedIncarnation == 0 ||
                     ExpectedIncarnation == Link->peerIncarnation()))
          Link->send(Type, std::move(Body));
      });
}

void ShareController::deliver(const Reports &Out, TimePoint Now) {
  for (const auto &[To, Report] : Out)
    if (To == this->Self)
      this->handleReport(this->Self, Report, Now);
    else
      this->send(To, MessageType::DemandReport, encode(Report));
}

void ShareController::deliver(const Grants &Out, TimePoint Now) {
  for (const auto &[To, Grant] : Out)
    if (To.Name == this->Self.Name)
      this->handleGrant(this->Self, Grant, Now);
    else
      this->send(To, MessageType::ShareGrant, encode(Grant));
}

void ShareController::handleReport(const ProcessId &From,
                                   const DemandReport &Report, TimePoint Now) {
  const ConfigViewPtr View = this->Config();
  Grants Out;
  for (const DemandItem &Item : Report.Items) {
    const Contract *Terms = this->findTerms(*View, Item.Customer);
    if (!Terms)
      continue;
    this->Grantors.with(Item.Customer, [&](auto &Map) {
      ShareGrantor &Grantor = Map.try_emplace(Item.Customer, this->Self,
                                              this->AdmissionControl.settings())
                                  .first->second;
      for (AddressedGrant &Granted :
           this->handleDemand(Grantor, *Terms, From, Item, Now))
        Out[Granted.To].Items.push_back(std::move(Granted.Item));
    });
  }
  this->deliver(Out, Now);
}

std::vector<AddressedGrant>
ShareController::handleDemand(ShareGrantor &Grantor, const Contract &Terms,
                              const ProcessId &From, const DemandItem &Item,
                              TimePoint Now) {
  CustomerEntries Entries = this->AdmissionControl.entriesOf(Terms);
  if (this->isGrantor(Entries)) {
    Grantor.configure(Terms, std::move(Entries));
    return Grantor.onReport(From, Item, Now);
  }
  // The sender still considers this entry to be the grantor.
  std::vector<AddressedGrant> Out = Grantor.relinquish(Now);
  return Out.empty() ? Grantor.repeatRelease(From, Now) : Out;
}

void ShareController::handleGrant(const ProcessId &From,
                                  const ShareGrant &Grant, TimePoint Now) {
  const ConfigViewPtr View = this->Config();
  Reports Out;
  for (const GrantItem &Item : Grant.Items) {
    const Contract *Terms = this->findTerms(*View, Item.Customer);
    if (!Terms)
      continue;
    this->AdmissionControl.withHolder(
        *Terms, Now, [&](ShareHolder &Holder, std::uint32_t InFlight) {
          if (!Holder.onGrant(From, Item, Now))
            return;
          if (auto Report = Holder.makeReport(From, InFlight, Now))
            Out[From].Items.push_back(std::move(*Report));
        });
  }
  this->deliver(Out, Now);
}

void ShareController::onReport(const PeerLinkPtr &From, ByteView Body,
                               TimePoint Now) {
  this->handleReport({From->peerName(), From->peerIncarnation()},
                     decode<DemandReport>(Body), Now);
}

void ShareController::onGrant(const PeerLinkPtr &From, ByteView Body,
                              TimePoint Now) {
  this->handleGrant({From->peerName(), From->peerIncarnation()},
                    decode<ShareGrant>(Body), Now);
}

} // namespace citronlever
