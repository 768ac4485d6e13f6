#include "citronlever/src/Broker/internal/BrokerState.h"

#include "citronlever/src/Broker/KeyMessages.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronlever {

namespace {

constexpr Duration DrainPoll = Milliseconds(20);
constexpr Duration ReleasePoll = Milliseconds(2);

} // namespace

void BrokerServer::State::claim(const BrokerCall &Call,
                                const std::shared_ptr<ServiceDispatcher> &Lane,
                                const Plan &Decided) {
  this->Claims->claim(
      {Call.Service, Call.Group}, Decided.Others,
      [Lane, Group = Call.Group, Vouched = Decided.Vouched](const auto &Said) {
        Lane->taken(Group, Vouched, Said);
      });
}

/// Lets go of a group: new calls are sent on, and the answer follows once
/// nothing is in work on its leaves any more. A repeated claim gets the same
/// answer over its own link.
void BrokerServer::State::onClaim(const PeerLinkPtr &From,
                                  const GroupClaim &Wanted) {
  const TimePoint Now = Clock::now();
  this->noticeGap(Now);
  GroupRelease Answer;
  Answer.Id = Wanted.Id;
  std::shared_ptr<ServiceDispatcher> Lane;
  bool Held = false;
  bool Again = false;
  {
    const std::lock_guard Lock(this->Mutex);
    this->refresh(Now);
    const auto Known = this->Releasing.find(Wanted.Id);
    Again = Known != this->Releasing.end();
    if (Again)
      Answer = Known->second;
    Held = !Again && this->Groups.release(Wanted.Service, Wanted.Group,
                                          From->peerName(), Now);
    const auto Found = this->Services.find(Wanted.Service);
    if (Found != this->Services.end())
      Lane = Found->second;
  }
  if (!Lane) {
    From->send(MessageType::GroupRelease, encode(Answer));
    return;
  }
  if (!Again) {
    Lane->release(Wanted.Group, From->peerName(), Answer);
    if (!Held)
      Answer.Warm.clear();
    const std::lock_guard Lock(this->Mutex);
    this->Releasing[Wanted.Id] = Answer;
  }
  this->pollRelease(From, std::move(Lane), Wanted.Group, std::move(Answer),
                    Now + this->Settings.ReleaseMost);
}

void BrokerServer::State::pollRelease(const PeerLinkPtr &To,
                                      std::shared_ptr<ServiceDispatcher> Lane,
                                      std::uint32_t Group, GroupRelease Answer,
                                      TimePoint Until) {
  if (Lane->quiet(Group) || Clock::now() >= Until) {
    {
      const std::lock_guard Lock(this->Mutex);
      this->Releasing.erase(Answer.Id);
    }
    // After the closing of idle connections, which is posted as well.
    boost::asio::post(this->Context, [To, Answer = std::move(Answer)] {
      To->send(MessageType::GroupRelease, encode(Answer));
    });
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(ReleasePoll);
  Timer->async_wait([Self = this->shared_from_this(), Timer, To,
                     Lane = std::move(Lane), Group, Answer = std::move(Answer),
                     Until](boost::system::error_code) {
    Self->pollRelease(To, Lane, Group, Answer, Until);
  });
}

void BrokerServer::State::watchClock() {
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(LoopDelay::Period);
  Timer->async_wait(
      [Weak = this->weak_from_this(), Timer](boost::system::error_code) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const TimePoint Now = Clock::now();
        Self->Sender->Delay.note(Timer->expiry(), Now);
        Self->noticeGap(Now);
        Self->watchClock();
      });
}

/// After a pause of its own, however short, another broker may serve what this
/// one served: it has to be claimed anew.
void BrokerServer::State::noticeGap(TimePoint Now) {
  {
    const std::lock_guard Lock(this->Mutex);
    const Duration Gap = Now - this->LastLook;
    this->LastLook = std::max(Now, this->LastLook);
    if (Gap <= this->Settings.OwnPause || !this->Settings.ClaimGroups)
      return;
  }
  this->pause();
}

void BrokerServer::State::pause() {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Groups.forget();
  }
  this->Claims->giveUp();
  for (const auto &Lane : this->lanes())
    Lane->giveUp();
}

void BrokerServer::State::onHandover(const PeerLinkPtr &From,
                                     const Handover &Given) {
  std::shared_ptr<ServiceDispatcher> Lane;
  {
    const std::lock_guard Lock(this->Mutex);
    this->Groups.vouched(Given.Service, Given.Group, Clock::now());
    const auto Found = this->Services.find(Given.Service);
    if (Found != this->Services.end())
      Lane = Found->second;
  }
  if (Lane)
    Lane->vouched(Given.Group);
  From->send(MessageType::HandoverAck,
             encode(HandoverAck{Given.Service, Given.Group}));
}

/// Vouches for the leaves of every group at its next owner. Called with
/// nothing in hand: the leaves bear no work of this process any more.
void BrokerServer::State::handOver() {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  this->refresh(Now);
  this->Groups.each(Now, [this](const std::string &Name, std::uint32_t Group) {
    const auto Found = this->Applied->Services.find(Name);
    if (Found == this->Applied->Services.end())
      return;
    BrokerCall Asked;
    Asked.Group = Group;
    const Plan Next =
        this->Groups.decide(*Found->second, Asked, true, Clock::now());
    if (!Next.Others.empty())
      this->Hub.send(Next.Others.front().Peer, MessageType::Handover,
                     encode(Handover{Name, Group}));
  });
}

void BrokerServer::State::pollDrain(std::function<void()> Done) {
  bool Empty = false;
  {
    const std::lock_guard Lock(this->Mutex);
    Empty = this->InHand == 0;
  }
  if (Empty) {
    this->handOver();
    boost::asio::post(this->Context, std::move(Done));
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(DrainPoll);
  Timer->async_wait([Self = this->shared_from_this(), Timer,
                     Done = std::move(Done)](boost::system::error_code) {
    Self->pollDrain(Done);
  });
}

} // namespace citronlever
