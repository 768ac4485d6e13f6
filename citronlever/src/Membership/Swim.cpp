#include "citronlever/src/Membership/Swim.h"

#include <algorithm>

namespace citronlever {

namespace {

/// Time over which probe results indicate whether this process is isolated.
constexpr Duration SampleWindow = Seconds(3);

/// Number of addresses pinged at once by a process that knows no live member.
constexpr std::size_t JoinSeedCount = 4;

/// Maximum number of corrections sent at once to a sender of outdated rumors.
constexpr std::size_t MaxCorrections = 4;

} // namespace

Swim::Swim(Member Self, const MembershipSettings &Settings, std::uint64_t Seed,
           TimePoint Now)
    : Settings(Settings), Self(std::move(Self)), Random(Seed),
      Table(this->Self.Incarnation), Silences(Settings.DomainSamplePeriod),
      Budget(Settings.BytesPerSecond, Settings.BurstBytes), StartedAt(Now),
      ResumedAt(Now), LastTick(Now), NextProbe(Now), NextGossip(Now),
      NextSync(Now), NextSeed(Now) {
  this->Self.Generation = std::max<std::uint32_t>(this->Self.Generation, 1);
  this->Table.apply(this->Self, Now, this->Random);
  this->enqueueRumor(this->Self, true);
}

std::vector<SwimDatagram> Swim::tick(TimePoint Now) {
  Outgoing Out;
  this->checkForPause(Now);
  this->pingSeeds(Now, Out);
  this->startProbes(Now);
  this->advanceProbes(Now, Out);
  this->resolveSilentDomains(Now);
  this->resolveSuspicions(Now);
  this->gossip(Now, Out);
  this->sendSyncRequest(Now, Out);
  this->Probes.discardResultsBefore(Now - SampleWindow);
  this->Table.expire(Now, this->Settings.DeadRetention);
  const bool KnowsNoMember = this->Table.live().empty();
  const bool JoinTimedOut = Now - std::max(this->StartedAt, this->ResumedAt) >
                            2 * this->Settings.FailureTimeout;
  if (KnowsNoMember && (this->Seeds.empty() || JoinTimedOut))
    this->confirmSelf(Now);
  // When several processes start together, none has a complete state to offer.
  const bool Synced = this->LastSyncUpdate != TimePoint{};
  if (this->Joining && Synced &&
      Now - this->LastSyncUpdate >= this->Settings.JoinSettleTime)
    this->confirmSelf(Now);
  return Out;
}

void Swim::checkForPause(TimePoint Now) {
  const Duration Gap = Now - this->LastTick;
  this->LastTick = std::max(Now, this->LastTick);
  if (Gap > this->Settings.FailureTimeout && this->Settings.DetectPause) {
    this->onPauseDetected(Gap, Now);
    return;
  }
  // Answers may be waiting in the socket, so a late tick does not prove
  // silence.
  if (Gap > this->Settings.ProbeRetry && this->Settings.DetectPause)
    for (Probe &Current : this->Probes.openProbes()) {
      Current.StartedAt += Gap;
      Current.NextStep += Gap;
    }
}

void Swim::onPauseDetected(Duration Gap, TimePoint Now) {
  this->DetectedPause = Gap;
  this->Confirmed = false;
  this->ResumedAt = Now;
  ++this->SelfVersion;
  this->Probes.clear();
  this->Probes.clearResults();
  this->Silences.clear();
  this->Table.restartSuspicions(Now);
  this->raiseGeneration(this->Self.Generation, false, Now);
  this->NextProbe = Now;
  this->NextGossip = Now;
  this->NextSync = Now;
  this->probeHealthSample(Now);
}

void Swim::confirmSelf(TimePoint Now) {
  (void)Now;
  this->Joining = false;
  if (this->Confirmed)
    return;
  this->Confirmed = true;
  ++this->SelfVersion;
}

std::optional<Duration> Swim::takeDetectedPause() {
  return std::exchange(this->DetectedPause, std::nullopt);
}

void Swim::addSeeds(std::span<const Endpoint> Addresses) {
  for (const Endpoint &Address : Addresses) {
    if (Address == this->Self.Peer ||
        std::find(this->Seeds.begin(), this->Seeds.end(), Address) !=
            this->Seeds.end())
      continue;
    if (this->Seeds.size() < this->Settings.MaxSeeds)
      this->Seeds.push_back(Address);
    else
      this->Seeds[this->Random() % this->Seeds.size()] = Address;
  }
}

void Swim::load(std::span<const Member> Members, TimePoint Now) {
  for (const Member &Node : Members)
    if (Node.Name != this->Self.Name)
      this->Table.apply(Node, Now, this->Random);
  this->confirmSelf(Now);
}

void Swim::leave(TimePoint Now) {
  this->Self.State = MemberState::Leaving;
  this->Table.apply(this->Self, Now, this->Random);
  this->enqueueRumor(this->Self, false);
  this->NextGossip = Now;
  ++this->SelfVersion;
}

MemberView Swim::view(TimePoint Now) const {
  MemberView Result;
  Result.Members = this->Table.members(this->Confirmed);
  Result.Digest = digestOf(Result.Members);
  Result.Isolated = this->isIsolated(Now);
  return Result;
}

std::uint64_t Swim::version() const {
  return this->Table.version() + this->SelfVersion;
}

void Swim::pingSeeds(TimePoint Now, Outgoing &Out) {
  if (Now < this->NextSeed)
    return;
  this->NextSeed = Now + this->Settings.SeedPeriod;
  const auto &Live = this->Table.live();
  std::vector<Endpoint> Chosen;
  const std::size_t Wanted = Live.empty() ? JoinSeedCount : 1;
  if (const MemberRecord *Dead = this->Table.randomDead(this->Random);
      Dead && (this->Seeds.empty() || this->Random() % 2 == 0))
    Chosen.push_back(Dead->Node.Peer);
  else
    std::sample(this->Seeds.begin(), this->Seeds.end(),
                std::back_inserter(Chosen), Wanted, this->Random);
  for (const Endpoint &Address : Chosen) {
    if (std::any_of(Live.begin(), Live.end(), [&](const MemberRecord *Record) {
          return Record->Node.Peer == Address;
        }))
      continue;
    SwimMessage Message = this->makeMessage(SwimKind::Ping);
    Message.Rumors.push_back(this->ownRumor());
    send(Message, Address, 0, Out);
  }
}

SwimMessage Swim::makeMessage(SwimKind Kind) const {
  SwimMessage Result;
  Result.Kind = Kind;
  Result.Generation = this->Self.Generation;
  return Result;
}

SwimMessage Swim::makeMessage(SwimKind Kind, TimePoint Now) const {
  SwimMessage Result = this->makeMessage(Kind);
  Result.Silences = this->Silences.reports(this->Self.Incarnation, Now);
  return Result;
}

void Swim::send(const SwimMessage &Message, const Endpoint &To,
                std::uint64_t Incarnation, Outgoing &Out) {
  Out.push_back({To, Incarnation, encode(Message)});
}

std::vector<SwimDatagram> Swim::receive(ByteView Body, const Endpoint &From,
                                        std::uint64_t Sender, TimePoint Now) {
  const auto Message = decode<SwimMessage>(Body);
  Outgoing Out;
  if (Now - this->LastTick > this->Settings.FailureTimeout)
    this->checkForPause(Now);
  this->refuteSilence(Sender, Now);
  for (const SilenceReport &Report : Message.Silences)
    this->onSilenceReport(Report, Now);
  // The sender's own statement of its generation invalidates suspicions against
  // earlier generations.
  if (const MemberRecord *Known = this->Table.byIncarnation(Sender);
      Known && Message.Generation > Known->Node.Generation)
    this->applyRumor(
        {Sender, Message.Generation, MemberState::Alive, 0, std::nullopt}, Now);
  for (const Rumor &Update : Message.Rumors)
    this->applyRumor(Update, Now);
  std::vector<Rumor> Corrections = this->corrections(Message, Sender);
  if (Message.ReceiverUnknown)
    Corrections.push_back(this->ownRumor());
  switch (Message.Kind) {
  case SwimKind::Ping:
    this->onPing(Message, std::move(Corrections), From, Sender, Now, Out);
    return Out;
  case SwimKind::Ack:
    this->onAck(Message, Now, Out);
    break;
  case SwimKind::PingRequest:
    this->onPingRequest(Message, Sender, Now);
    break;
  case SwimKind::Gossip:
    break;
  case SwimKind::SyncRequest:
    this->onSyncRequest(Message, From, Sender, Now, Out);
    break;
  case SwimKind::SyncPage:
    this->onSyncPage(Message, Now);
    break;
  }
  const bool Unknown = !this->Table.byIncarnation(Sender);
  if (!Corrections.empty() || (Unknown && Message.Kind != SwimKind::Gossip)) {
    SwimMessage Answer = this->makeMessage(SwimKind::Gossip);
    Answer.ReceiverUnknown = Unknown;
    Answer.Rumors = std::move(Corrections);
    send(Answer, From, Sender, Out);
  }
  return Out;
}

/// \returns the suspicion or death known of the sender, so that it can refute
/// it, and newer records for outdated rumors in its message.
std::vector<Rumor> Swim::corrections(const SwimMessage &Message,
                                     std::uint64_t Sender) const {
  std::vector<Rumor> Result;
  const MemberRecord *Known = this->Table.byIncarnation(Sender);
  if (Known) {
    const Member &Node = Known->Node;
    const bool SuspectOrDead =
        Node.State == MemberState::Suspect || Node.State == MemberState::Dead;
    if (SuspectOrDead && Node.Generation >= Message.Generation)
      Result.push_back({Sender, Node.Generation, Node.State,
                        this->Self.Incarnation, std::nullopt});
  }
  for (const Rumor &Update : Message.Rumors) {
    const MemberRecord *About = this->Table.byIncarnation(Update.Incarnation);
    if (About && About->Node.Generation > Update.Generation &&
        Result.size() < MaxCorrections)
      Result.push_back({Update.Incarnation, About->Node.Generation,
                        About->Node.State, this->Self.Incarnation,
                        std::nullopt});
    if (Update.Incarnation != Sender || !Update.Full)
      continue;
    const MemberRecord *Other = this->Table.byName(Update.Full->Name);
    if (Other && Other->Node.Incarnation != Sender) {
      const Member &Node = Other->Node;
      Result.push_back(
          {Node.Incarnation, Node.Generation, Node.State, 0, Node});
    }
  }
  return Result;
}

void Swim::onPing(const SwimMessage &Message, std::vector<Rumor> Corrections,
                  const Endpoint &From, std::uint64_t Sender, TimePoint Now,
                  Outgoing &Out) {
  SwimMessage Answer = this->makeMessage(SwimKind::Ack, Now);
  Answer.ProbeId = Message.ProbeId;
  Answer.Target = this->Self.Incarnation;
  Answer.ReceiverUnknown = !this->Table.byIncarnation(Sender);
  Answer.Rumors = std::move(Corrections);
  if (Message.Target != this->Self.Incarnation)
    Answer.Rumors.push_back(this->ownRumor());
  this->addRumors(Answer, Now);
  send(Answer, From, Sender, Out);
}

void Swim::onAck(const SwimMessage &Message, TimePoint Now, Outgoing &Out) {
  const Probe *Found = this->Probes.find(Message.ProbeId);
  if (!Found || Found->Target != Message.Target)
    return;
  const Probe Done = *Found;
  this->Probes.remove(Done.Id);
  this->refuteSilence(Done.Target, Now);
  if (Done.Purpose != ProbePurpose::Relay) {
    if (Done.Purpose == ProbePurpose::Regular)
      this->Probes.recordResult(Done.Target, true, Now);
    if (!this->Joining && Done.StartedAt >= this->ResumedAt)
      this->confirmSelf(Now);
    return;
  }
  const MemberRecord *Asker = this->Table.byIncarnation(Done.Requester);
  if (!Asker)
    return;
  SwimMessage Answer = this->makeMessage(SwimKind::Ack);
  Answer.ProbeId = Done.RequesterId;
  Answer.Target = Done.Target;
  send(Answer, Asker->Node.Peer, Done.Requester, Out);
}

void Swim::onPingRequest(const SwimMessage &Message, std::uint64_t Sender,
                         TimePoint Now) {
  if (!this->Table.byIncarnation(Message.Target))
    return;
  if (Probe *Added =
          this->Probes.start(Message.Target, ProbePurpose::Relay, Now)) {
    Added->Requester = Sender;
    Added->RequesterId = Message.ProbeId;
  }
}

} // namespace citronlever
