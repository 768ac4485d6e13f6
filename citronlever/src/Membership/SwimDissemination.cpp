// Dissemination and comparison of states.
#include "citronlever/src/Membership/Swim.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace citronlever {

namespace {

/// Bytes of a datagram besides rumours: IP and UDP headers and the frame.
constexpr std::size_t FrameBytes = 28 + 41 + 16;
/// Bytes of rumours that ride on a probe or its answer.
constexpr std::size_t RiderBytes = 320;
/// Pieces of news above which each is sent only a few times: the comparison
/// of states brings what is missed.
constexpr std::size_t CrowdedQueue = 64;
constexpr std::size_t CrowdedLimit = 3;
/// Bytes of a page besides its records.
constexpr std::size_t PageHeadBytes = 16;

} // namespace

bool Swim::isAboutSelf(const Rumor &News) const {
  return News.Incarnation == this->Self.Incarnation ||
         (News.Full && News.Full->Name == this->Self.Name);
}

void Swim::hear(const Rumor &News, TimePoint Now) {
  if (this->isAboutSelf(News)) {
    this->hearOfSelf(News, Now);
    return;
  }
  if (News.Full) {
    if (this->Table.apply(*News.Full, Now, this->Source))
      this->Queue.add(News);
    return;
  }
  if (News.State == MemberState::Suspect) {
    this->suspect(News, Now);
    return;
  }
  if (this->Table.advance(News.Incarnation, News.Generation, News.State, Now,
                          this->Source))
    this->Queue.add(News);
}

void Swim::hearOfSelf(const Rumor &News, TimePoint Now) {
  const Member &Own = this->Self;
  if (News.Incarnation != Own.Incarnation) {
    // An earlier process of this name, or its death.
    if (std::tuple(News.Generation, News.State, News.Incarnation) >
        std::tuple(Own.Generation, Own.State, Own.Incarnation))
      this->raiseGeneration(News.Generation, true, Now);
    return;
  }
  if (std::tuple(News.Generation, News.State) <=
      std::tuple(Own.Generation, Own.State))
    return;
  const bool Dead = News.State == MemberState::Dead;
  if (Dead) {
    this->Confirmed = false;
    this->Resumed = Now;
    ++this->SelfVersion;
    this->NextProbe = Now;
  }
  this->raiseGeneration(News.Generation, Dead, Now);
}

void Swim::raiseGeneration(std::uint32_t Above, bool Full, TimePoint Now) {
  this->Self.Generation = std::max(this->Self.Generation, Above) + 1;
  this->Table.apply(this->Self, Now, this->Source);
  this->spread(this->Self, Full);
}

Rumor Swim::ownRumor() const {
  return {this->Self.Incarnation, this->Self.Generation, this->Self.State, 0,
          this->Self};
}

void Swim::spread(const Member &Node, bool Full) {
  Rumor News{Node.Incarnation, Node.Generation, Node.State, 0, std::nullopt};
  if (Full)
    News.Full = Node;
  this->Queue.add(std::move(News));
}

bool Swim::isCurrent(const Rumor &News) const {
  const MemberRecord *Known = this->Table.byIncarnation(News.Incarnation);
  if (!Known || Known->Node.Generation != News.Generation ||
      Known->Node.State != News.State)
    return false;
  // The finding about the whole domain says it in fewer bytes.
  const bool Silent =
      News.State == MemberState::Suspect || News.State == MemberState::Dead;
  return !Silent || !this->Silences.found(Known->Node.Domain);
}

std::size_t Swim::rumorLimit() const {
  const auto Members = static_cast<double>(this->Table.live().size() + 1);
  const std::size_t Limit =
      4 + static_cast<std::size_t>(std::ceil(std::log(Members)));
  return this->Queue.size() > CrowdedQueue ? CrowdedLimit : Limit;
}

void Swim::addRumors(SwimMessage &Message, TimePoint Now) {
  if (this->Queue.empty() ||
      this->Budget.tokens(Now) < static_cast<double>(RiderBytes))
    return;
  const std::size_t Used = this->Queue.take(
      Message.Rumors, RiderBytes, this->rumorLimit(),
      [this](const Rumor &News) { return this->isCurrent(News); });
  this->Budget.tryTake(static_cast<double>(Used), Now);
}

void Swim::gossip(TimePoint Now, Outgoing &Out) {
  const bool Urgent = this->Silences.urgent(Now);
  if (Now < this->NextGossip || (this->Queue.empty() && !Urgent))
    return;
  this->NextGossip = Now + this->Settings.GossipPeriod;
  for (std::size_t Count = 0; Count < this->Settings.GossipFanout; ++Count) {
    const MemberRecord *Target = this->Table.randomLive(this->Source);
    if (!Target || this->Budget.tokens(Now) <
                       static_cast<double>(this->Settings.MaxDatagramBytes))
      return;
    SwimMessage Message = this->message(SwimKind::Gossip, Now);
    const std::size_t Used = this->Queue.take(
        Message.Rumors, this->Settings.MaxDatagramBytes - FrameBytes,
        this->rumorLimit(),
        [this](const Rumor &News) { return this->isCurrent(News); });
    if (Message.Rumors.empty() && !Urgent)
      return;
    this->Budget.tryTake(static_cast<double>(Used + FrameBytes), Now);
    send(Message, Target->Node.Peer, Target->Node.Incarnation, Out);
  }
}

void Swim::sync(TimePoint Now, Outgoing &Out) {
  if (Now < this->NextSync)
    return;
  const MemberRecord *Target = this->Table.randomLive(this->Source);
  if (!Target)
    return;
  const Duration Period = this->Joining ? this->Settings.SyncPeriodJoining
                                        : this->Settings.SyncPeriod;
  std::uniform_real_distribution<double> Jitter(0.75, 1.25);
  this->NextSync =
      Now + std::chrono::duration_cast<Duration>(Period * Jitter(this->Source));
  constexpr std::size_t Bytes = sizeof(BucketDigests) + FrameBytes;
  if (!this->Budget.tryTake(static_cast<double>(Bytes), Now))
    return;
  SwimMessage Message = this->message(SwimKind::SyncRequest);
  Message.Joining = this->Joining;
  Message.Digests = this->Table.digests();
  send(Message, Target->Node.Peer, Target->Node.Incarnation, Out);
}

void Swim::answerSync(const SwimMessage &Message, const Endpoint &From,
                      std::uint64_t Sender, TimePoint Now, Outgoing &Out) {
  const std::size_t Most = Message.Joining ? this->Settings.SyncPagesJoining
                                           : this->Settings.SyncPages;
  const std::size_t Room =
      this->Settings.MaxDatagramBytes - FrameBytes - PageHeadBytes;
  bool More = false;
  auto Pages =
      this->Table.difference(Message.Digests, Most, Room, More, this->Source);
  std::vector<SwimMessage> Answers;
  for (auto &Page : Pages) {
    const auto Bytes =
        static_cast<double>(this->Settings.MaxDatagramBytes *
                            std::min<std::size_t>(Page.size(), 1));
    if (!this->Budget.tryTake(Bytes + FrameBytes, Now)) {
      More = true;
      break;
    }
    Answers.push_back(this->message(SwimKind::SyncPage));
    Answers.back().More = true;
    Answers.back().Page = std::move(Page);
  }
  // Only the last page may say that the difference is complete, and a member
  // that is joining itself cannot know.
  if (!Answers.empty())
    Answers.back().More = More || this->Joining;
  for (const SwimMessage &Answer : Answers)
    send(Answer, From, Sender, Out);
}

void Swim::takePage(const SwimMessage &Message, TimePoint Now) {
  bool Learned = false;
  for (const PackedMember &Packed : Message.Page) {
    const Member &Node = Packed.Node;
    const Rumor News{Node.Incarnation, Node.Generation, Node.State, 0, Node};
    if (this->isAboutSelf(News))
      this->hearOfSelf(News, Now);
    else
      Learned |= this->Table.apply(Node, Now, this->Source);
  }
  if (Learned || this->LastNews == TimePoint{})
    this->LastNews = Now;
  if (Learned)
    this->NextSync =
        std::min(this->NextSync, Now + this->Settings.SyncPeriodBusy);
  if (this->Joining && !Message.More)
    this->confirm(Now);
}

} // namespace citronlever
