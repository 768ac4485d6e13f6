// Probing and suspicion.
#include "citronlever/src/Membership/Swim.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Number of members probed at once, in addition to the regular probes, after a
/// probe has failed.
constexpr std::size_t HealthSampleSize = 6;
constexpr Duration HealthSamplePeriod = Seconds(1);

/// Number of suspects probed again in each probe period.
constexpr std::size_t SuspectProbesPerPeriod = 3;

/// Maximum number of random picks made to find suitable helpers.
constexpr int MaxHelperPicks = 24;

/// Step in which a probe is sent for the last time.
constexpr int LastStep = 3;

/// While more than one in this many members are suspects, and one of them
/// became a suspect recently, no suspect is declared dead.
constexpr std::size_t SpreadingSuspectRatio = 3;

} // namespace

void Swim::probe(std::uint64_t Target, ProbePurpose Purpose, TimePoint Now) {
  if (!this->Probes.isProbing(Target))
    this->Probes.start(Target, Purpose, Now);
}

void Swim::probeSoon(std::string_view Name, TimePoint Now) {
  const MemberRecord *Known = this->Table.byName(std::string(Name));
  if (Known && Known->LiveIndex != MemberRecord::NotLive)
    this->probe(Known->Node.Incarnation, ProbePurpose::Confirm, Now);
}

void Swim::startProbes(TimePoint Now) {
  if (Now < this->NextProbe)
    return;
  this->NextProbe = Now + this->Settings.ProbePeriod;
  if (const MemberRecord *Next = this->Table.nextToProbe(this->Random))
    this->probe(Next->Node.Incarnation, ProbePurpose::Regular, Now);
  std::vector<std::uint64_t> Rechecked;
  const auto &Suspects = this->Table.suspects();
  std::sample(Suspects.begin(), Suspects.end(), std::back_inserter(Rechecked),
              SuspectProbesPerPeriod, this->Random);
  for (const std::uint64_t Target : Rechecked)
    if (this->Table.byIncarnation(Target)->SuspectedHere)
      this->probe(Target, ProbePurpose::Repeat, Now);
}

void Swim::probeHealthSample(TimePoint Now) {
  if (Now - this->LastSample < HealthSamplePeriod)
    return;
  this->LastSample = Now;
  for (std::size_t Count = 0; Count < HealthSampleSize; ++Count)
    if (const MemberRecord *Next = this->Table.randomLive(this->Random))
      this->probe(Next->Node.Incarnation, ProbePurpose::Regular, Now);
}

void Swim::advanceProbes(TimePoint Now, Outgoing &Out) {
  std::vector<Probe> Failed;
  for (Probe &Current : this->Probes.openProbes()) {
    if (Now < Current.NextStep)
      continue;
    if (Current.Step == LastStep)
      Failed.push_back(Current);
    else
      this->advanceProbe(Current, Now, Out);
  }
  for (const Probe &Current : Failed)
    this->Probes.remove(Current.Id);
  for (const Probe &Current : Failed)
    this->onProbeFailure(Current, Now);
}

/// Sends a probe; repeats it after ProbeRetry; then repeats it once more
/// together with indirect probe requests. The probe fails at the end of
/// ProbePeriod.
void Swim::advanceProbe(Probe &Current, TimePoint Now, Outgoing &Out) {
  // One answer refutes a whole sample, so its lost datagrams need no
  // repetition.
  Current.Step = Current.Purpose == ProbePurpose::DirectSample
                     ? LastStep
                     : Current.Step + 1;
  Current.NextStep = Current.Step == LastStep
                         ? Current.StartedAt + this->Settings.ProbePeriod
                         : Now + this->Settings.ProbeRetry;
  const MemberRecord *Target = this->Table.byIncarnation(Current.Target);
  if (!Target)
    return;
  SwimMessage Message = this->makeMessage(SwimKind::Ping, Now);
  Message.ProbeId = Current.Id;
  Message.Target = Current.Target;
  const Member &Node = Target->Node;
  if (Node.State == MemberState::Suspect)
    Message.Rumors.push_back({Node.Incarnation, Node.Generation, Node.State,
                              this->Self.Incarnation, std::nullopt});
  this->addRumors(Message, Now);
  send(Message, Node.Peer, Current.Target, Out);
  const bool AllowsIndirect = Current.Purpose == ProbePurpose::Regular ||
                              Current.Purpose == ProbePurpose::Confirm ||
                              Current.Purpose == ProbePurpose::Sample;
  if (Current.Step == LastStep && AllowsIndirect)
    this->requestIndirectProbes(Current, *Target, Out);
}

/// Asks members of different failure domains, first one in the target's own
/// domain. For a sample it asks only members outside both domains: the others
/// may be affected by the same loss between this domain and the target's.
void Swim::requestIndirectProbes(const Probe &Current,
                                 const MemberRecord &Target, Outgoing &Out) {
  std::vector<const MemberRecord *> Helpers;
  const bool OutsideBothDomains = Current.Purpose == ProbePurpose::Sample;
  const auto IsSuitable = [&](const MemberRecord &Node, bool SameDomain) {
    const bool InTargetDomain = Node.Node.Domain == Target.Node.Domain;
    if (OutsideBothDomains && Node.Node.Domain == this->Self.Domain)
      return false;
    return Node.Node.State == MemberState::Alive &&
           Node.Node.Vm != Target.Node.Vm && InTargetDomain == SameDomain &&
           std::find(Helpers.begin(), Helpers.end(), &Node) == Helpers.end();
  };
  const auto Pick = [&](bool SameDomain, std::size_t Wanted) {
    for (int Count = 0; Count < MaxHelperPicks && Helpers.size() < Wanted;
         ++Count) {
      const MemberRecord *Node = this->Table.randomLive(this->Random);
      if (Node && IsSuitable(*Node, SameDomain))
        Helpers.push_back(Node);
    }
  };
  if (!OutsideBothDomains)
    Pick(true, std::min<std::size_t>(1, this->Settings.IndirectProbes));
  Pick(false, this->Settings.IndirectProbes);
  for (const MemberRecord *Helper : Helpers) {
    SwimMessage Request = this->makeMessage(SwimKind::PingRequest);
    Request.ProbeId = Current.Id;
    Request.Target = Current.Target;
    send(Request, Helper->Node.Peer, Helper->Node.Incarnation, Out);
  }
}

void Swim::onProbeFailure(const Probe &Current, TimePoint Now) {
  if (Current.Purpose == ProbePurpose::Relay)
    return;
  if (Current.Purpose == ProbePurpose::Regular)
    this->Probes.recordResult(Current.Target, false, Now);
  const bool Sampled = Current.Purpose == ProbePurpose::Sample ||
                       Current.Purpose == ProbePurpose::DirectSample;
  if (Sampled && this->onSampleFailure(Current, Now))
    return;
  const MemberRecord *Target = this->Table.byIncarnation(Current.Target);
  if (!Target || Target->LiveIndex == MemberRecord::NotLive)
    return;
  this->probeHealthSample(Now);
  this->sampleDomain(std::string(Target->Node.Domain), Now);
  const Member &Node = Target->Node;
  if (Node.State == MemberState::Leaving || !this->Settings.EnableSuspicion) {
    this->Table.updateState(Node.Incarnation, Node.Generation,
                            MemberState::Dead, Now, this->Random);
    this->enqueueRumor(Node, false);
    return;
  }
  this->suspect({Node.Incarnation, Node.Generation, MemberState::Suspect,
                 this->Self.Incarnation, std::nullopt},
                Now);
}

void Swim::suspect(const Rumor &Update, TimePoint Now) {
  const bool IsNew = this->Table.updateState(
      Update.Incarnation, Update.Generation, Update.State, Now, this->Random);
  const MemberRecord *Target = this->Table.byIncarnation(Update.Incarnation);
  if (!Target || Target->Node.Generation != Update.Generation)
    return;
  if (this->Table.addSuspecter(Update.Incarnation, Update.By,
                               this->Settings.Confirmations + 1, Now) &&
      !this->Silences.isSilent(Target->Node.Domain))
    this->Queue.add(Update);
  if (!IsNew || Update.By == this->Self.Incarnation)
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, this->Table.live().size());
  if (Pick(this->Random) < this->Settings.ConfirmationProbes)
    this->probe(Update.Incarnation, ProbePurpose::Confirm, Now);
}

std::size_t Swim::reachableCount() const {
  return this->Table.live().size() - this->Table.suspects().size() + 1;
}

std::size_t Swim::requiredSuspecters() const {
  return std::min(this->Settings.Confirmations + 1, this->reachableCount());
}

bool Swim::isIsolated(TimePoint Now) const {
  if (!this->Settings.HoldWhenIsolated)
    return false;
  const std::size_t Lost =
      this->Table.suspects().size() +
      this->Table.deathsSince(Now - this->Settings.IsolationWindow);
  return Lost > this->reachableCount() || this->isMajoritySilent();
}

/// \returns whether many members became silent together, the last of them so
/// recently that it cannot be determined yet which side is isolated.
bool Swim::isSilenceSpreading(TimePoint Now) const {
  const auto &Suspects = this->Table.suspects();
  const bool ManySuspects =
      Suspects.size() * SpreadingSuspectRatio > this->Table.live().size();
  const Duration RecentAge =
      this->Settings.FailureTimeout - this->Settings.ProbePeriod;
  return this->Settings.HoldWhenIsolated && ManySuspects &&
         std::ranges::any_of(Suspects, [&](std::uint64_t Incarnation) {
           return Now - this->Table.byIncarnation(Incarnation)->StateSince <
                  RecentAge;
         });
}

void Swim::resolveSuspicions(TimePoint Now) {
  if (this->Table.suspects().empty())
    return;
  const bool Spreading = this->isSilenceSpreading(Now);
  const bool ExtendTimeout =
      this->isIsolated(Now) ||
      (this->Settings.HoldWhenIsolated && this->Probes.isMajorityFailing());
  const std::size_t Needed = this->requiredSuspecters();
  std::vector<Member> Silent;
  for (const std::uint64_t Incarnation : this->Table.suspects()) {
    const MemberRecord &Target = *this->Table.byIncarnation(Incarnation);
    const bool DomainSilent = this->isSilent(Target.Node.Domain, Now);
    const bool Confirmed = DomainSilent || Target.Suspecters.size() >= Needed;
    Duration Timeout =
        Confirmed ? this->Settings.FailureTimeout - this->Settings.ProbePeriod
                  : this->Settings.UnconfirmedTimeout;
    if (Spreading && !DomainSilent)
      continue;
    // Members that detected the silence themselves decide first; the others
    // learn of the death from them.
    if (!DomainSilent && !Target.SuspectedHere)
      Timeout += this->Settings.UnconfirmedTimeout;
    // After the last confirmation the suspect has time to refute the suspicion.
    const bool CanContradict =
        Now - Target.LastSuspected < this->Settings.ProbePeriod;
    const Duration Waited = Now - Target.StateSince;
    if (Waited >=
            (ExtendTimeout ? this->Settings.IsolationHoldTime : Timeout) &&
        !CanContradict)
      Silent.push_back(Target.Node);
  }
  for (Member &Node : Silent) {
    Node.State = MemberState::Dead;
    this->Table.apply(Node, Now, this->Random);
    if (!this->isSilent(Node.Domain, Now))
      this->enqueueRumor(Node, false);
  }
}

} // namespace citronlever
