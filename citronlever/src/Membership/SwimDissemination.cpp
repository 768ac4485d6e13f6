// Dissemination of rumors and state sync.
#include "citronlever/src/Membership/Swim.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace citronlever {

namespace {

/// Bytes of a datagram apart from its rumors: IP and UDP headers and the frame.
constexpr std::size_t FrameBytes = 28 + 41 + 16;
/// Maximum bytes of rumors piggybacked on a probe or its answer.
constexpr std::size_t PiggybackBytes = 320;
/// Number of queued rumors above which each is sent only a few times; state
/// sync delivers what is missed.
constexpr std::size_t LargeQueue = 64;
constexpr std::size_t LargeQueueSendLimit = 3;
/// Bytes of a page apart from its records.
constexpr std::size_t PageHeadBytes = 16;

} // namespace

bool Swim::isAboutSelf(const Rumor &Update) const {
  return Update.Incarnation == this->Self.Incarnation ||
         (Update.Full && Update.Full->Name == this->Self.Name);
}

void Swim::applyRumor(const Rumor &Update, TimePoint Now) {
  if (this->isAboutSelf(Update)) {
    this->applyRumorAboutSelf(Update, Now);
    return;
  }
  if (Update.Full) {
    if (this->Table.apply(*Update.Full, Now, this->Random))
      this->Queue.add(Update);
    return;
  }
  if (Update.State == MemberState::Suspect) {
    this->suspect(Update, Now);
    return;
  }
  if (this->Table.updateState(Update.Incarnation, Update.Generation,
                              Update.State, Now, this->Random))
    this->Queue.add(Update);
}

void Swim::applyRumorAboutSelf(const Rumor &Update, TimePoint Now) {
  const Member &Own = this->Self;
  if (Update.Incarnation != Own.Incarnation) {
    // A rumor about an earlier process of this name, or about its death.
    if (std::tuple(Update.Generation, Update.State, Update.Incarnation) >
        std::tuple(Own.Generation, Own.State, Own.Incarnation))
      this->raiseGeneration(Update.Generation, true, Now);
    return;
  }
  if (std::tuple(Update.Generation, Update.State) <=
      std::tuple(Own.Generation, Own.State))
    return;
  const bool Dead = Update.State == MemberState::Dead;
  if (Dead) {
    this->Confirmed = false;
    this->ResumedAt = Now;
    ++this->SelfVersion;
    this->NextProbe = Now;
  }
  this->raiseGeneration(Update.Generation, Dead, Now);
}

void Swim::raiseGeneration(std::uint32_t Above, bool Full, TimePoint Now) {
  this->Self.Generation = std::max(this->Self.Generation, Above) + 1;
  this->Table.apply(this->Self, Now, this->Random);
  this->enqueueRumor(this->Self, Full);
}

Rumor Swim::ownRumor() const {
  return {this->Self.Incarnation, this->Self.Generation, this->Self.State, 0,
          this->Self};
}

void Swim::enqueueRumor(const Member &Node, bool Full) {
  Rumor Update{Node.Incarnation, Node.Generation, Node.State, 0, std::nullopt};
  if (Full)
    Update.Full = Node;
  this->Queue.add(std::move(Update));
}

bool Swim::isCurrent(const Rumor &Update) const {
  const MemberRecord *Known = this->Table.byIncarnation(Update.Incarnation);
  if (!Known || Known->Node.Generation != Update.Generation ||
      Known->Node.State != Update.State)
    return false;
  // The silence report of the whole domain carries the same information in
  // fewer bytes.
  const bool Silent =
      Update.State == MemberState::Suspect || Update.State == MemberState::Dead;
  return !Silent || !this->Silences.isSilent(Known->Node.Domain);
}

std::size_t Swim::rumorLimit() const {
  const auto Members = static_cast<double>(this->Table.live().size() + 1);
  const std::size_t Limit =
      4 + static_cast<std::size_t>(std::ceil(std::log(Members)));
  return this->Queue.size() > LargeQueue ? LargeQueueSendLimit : Limit;
}

void Swim::addRumors(SwimMessage &Message, TimePoint Now) {
  if (this->Queue.empty() ||
      this->Budget.tokens(Now) < static_cast<double>(PiggybackBytes))
    return;
  const std::size_t Used = this->Queue.take(
      Message.Rumors, PiggybackBytes, this->rumorLimit(),
      [this](const Rumor &Update) { return this->isCurrent(Update); });
  this->Budget.tryTake(static_cast<double>(Used), Now);
}

void Swim::gossip(TimePoint Now, Outgoing &Out) {
  const bool Urgent = this->Silences.hasRecentReport(Now);
  if (Now < this->NextGossip || (this->Queue.empty() && !Urgent))
    return;
  this->NextGossip = Now + this->Settings.GossipPeriod;
  for (std::size_t Count = 0; Count < this->Settings.GossipFanout; ++Count) {
    const MemberRecord *Target = this->Table.randomLive(this->Random);
    if (!Target || this->Budget.tokens(Now) <
                       static_cast<double>(this->Settings.MaxDatagramBytes))
      return;
    SwimMessage Message = this->makeMessage(SwimKind::Gossip, Now);
    const std::size_t Used = this->Queue.take(
        Message.Rumors, this->Settings.MaxDatagramBytes - FrameBytes,
        this->rumorLimit(),
        [this](const Rumor &Update) { return this->isCurrent(Update); });
    if (Message.Rumors.empty() && !Urgent)
      return;
    this->Budget.tryTake(static_cast<double>(Used + FrameBytes), Now);
    send(Message, Target->Node.Peer, Target->Node.Incarnation, Out);
  }
}

void Swim::sendSyncRequest(TimePoint Now, Outgoing &Out) {
  if (Now < this->NextSync)
    return;
  const MemberRecord *Target = this->Table.randomLive(this->Random);
  if (!Target)
    return;
  const Duration Period = this->Joining ? this->Settings.SyncPeriodJoining
                                        : this->Settings.SyncPeriod;
  std::uniform_real_distribution<double> Jitter(0.75, 1.25);
  this->NextSync =
      Now + std::chrono::duration_cast<Duration>(Period * Jitter(this->Random));
  constexpr std::size_t Bytes = sizeof(BucketDigests) + FrameBytes;
  if (!this->Budget.tryTake(static_cast<double>(Bytes), Now))
    return;
  SwimMessage Message = this->makeMessage(SwimKind::SyncRequest);
  Message.Joining = this->Joining;
  Message.Digests = this->Table.digests();
  send(Message, Target->Node.Peer, Target->Node.Incarnation, Out);
}

void Swim::onSyncRequest(const SwimMessage &Message, const Endpoint &From,
                         std::uint64_t Sender, TimePoint Now, Outgoing &Out) {
  const std::size_t Most = Message.Joining ? this->Settings.SyncPagesJoining
                                           : this->Settings.SyncPages;
  const std::size_t Room =
      this->Settings.MaxDatagramBytes - FrameBytes - PageHeadBytes;
  bool More = false;
  auto Pages =
      this->Table.diffPages(Message.Digests, Most, Room, More, this->Random);
  std::vector<SwimMessage> Answers;
  for (auto &Page : Pages) {
    const auto Bytes =
        static_cast<double>(this->Settings.MaxDatagramBytes *
                            std::min<std::size_t>(Page.size(), 1));
    if (!this->Budget.tryTake(Bytes + FrameBytes, Now)) {
      More = true;
      break;
    }
    Answers.push_back(this->makeMessage(SwimKind::SyncPage));
    Answers.back().HasMore = true;
    Answers.back().Page = std::move(Page);
  }
  // Only the last page may state that the difference is complete. A member that
  // is still joining cannot know.
  if (!Answers.empty())
    Answers.back().HasMore = More || this->Joining;
  for (const SwimMessage &Answer : Answers)
    send(Answer, From, Sender, Out);
}

void Swim::onSyncPage(const SwimMessage &Message, TimePoint Now) {
  bool Changed = false;
  for (const PackedMember &Packed : Message.Page) {
    const Member &Node = Packed.Node;
    const Rumor Update{Node.Incarnation, Node.Generation, Node.State, 0, Node};
    if (this->isAboutSelf(Update))
      this->applyRumorAboutSelf(Update, Now);
    else
      Changed |= this->Table.apply(Node, Now, this->Random);
  }
  if (Changed || this->LastSyncUpdate == TimePoint{})
    this->LastSyncUpdate = Now;
  if (Changed)
    this->NextSync =
        std::min(this->NextSync, Now + this->Settings.SyncPeriodAfterUpdate);
  if (this->Joining && !Message.HasMore)
    this->confirmSelf(Now);
}

} // namespace citronlever
