#include "citronlever/src/Broker/internal/BrokerState.h"

#include "citronlever/src/Broker/KeyMessages.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace citronlever {

namespace {

constexpr Duration DrainPoll = Milliseconds(20);
constexpr Duration ReleasePoll = Milliseconds(2);

} // namespace

void BrokerServer::State::startClaim(
    const BrokerCall &Call,
    const std::shared_ptr<ServiceDispatcher> &Dispatcher,
    const GroupDecision &Decision) {
  this->Claims->claim({Call.Service, Call.Group}, Decision.OtherCandidates,
                      [Dispatcher, Group = Call.Group,
                       HandedOver = Decision.HandedOver](const auto &Outcome) {
                        Dispatcher->onGroupClaimed(Group, HandedOver, Outcome);
                      });
}

/// Releases a group: new calls are redirected to the claimer, and the answer is
/// sent once no request is in progress on the group's leaves. A repeated claim
/// gets the same answer over the link that it came by.
void BrokerServer::State::onGroupClaim(const PeerLinkPtr &From,
                                       const GroupClaim &Claim) {
  const TimePoint Now = Clock::now();
  this->checkForPause(Now);
  GroupRelease Answer;
  Answer.Id = Claim.Id;
  std::shared_ptr<ServiceDispatcher> Dispatcher;
  bool WasHeld = false;
  bool Repeated = false;
  {
    const std::lock_guard Lock(this->Mutex);
    this->refresh(Now);
    const auto Pending = this->PendingReleases.find(Claim.Id);
    Repeated = Pending != this->PendingReleases.end();
    if (Repeated)
      Answer = Pending->second;
    WasHeld = !Repeated && this->Groups.release(Claim.Service, Claim.Group,
                                                From->peerName(), Now);
    const auto Found = this->Dispatchers.find(Claim.Service);
    if (Found != this->Dispatchers.end())
      Dispatcher = Found->second;
  }
  if (!Dispatcher) {
    From->send(MessageType::GroupRelease, encode(Answer));
    return;
  }
  if (!Repeated) {
    Dispatcher->releaseGroup(Claim.Group, From->peerName(), Answer);
    if (!WasHeld)
      Answer.WarmLeaves.clear();
    const std::lock_guard Lock(this->Mutex);
    this->PendingReleases[Claim.Id] = Answer;
  }
  this->pollRelease(From, std::move(Dispatcher), Claim.Group, std::move(Answer),
                    Now + this->Settings.ReleaseTimeout);
}

void BrokerServer::State::pollRelease(
    const PeerLinkPtr &Claimer, std::shared_ptr<ServiceDispatcher> Dispatcher,
    std::uint32_t Group, GroupRelease Answer, TimePoint Deadline) {
  if (Dispatcher->closeIfIdle(Group) || Clock::now() >= Deadline) {
    {
      const std::lock_guard Lock(this->Mutex);
      this->PendingReleases.erase(Answer.Id);
    }
    // Posted, so that it follows the closing of idle connections, which is
    // posted too.
    boost::asio::post(this->Context, [Claimer, Answer = std::move(Answer)] {
      Claimer->send(MessageType::GroupRelease, encode(Answer));
    });
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(ReleasePoll);
  Timer->async_wait([Self = this->shared_from_this(), Timer, Claimer,
                     Dispatcher = std::move(Dispatcher), Group,
                     Answer = std::move(Answer),
                     Deadline](boost::system::error_code) {
    Self->pollRelease(Claimer, Dispatcher, Group, Answer, Deadline);
  });
}

void BrokerServer::State::scheduleClockCheck() {
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(LoopDelay::Period);
  Timer->async_wait(
      [Weak = this->weak_from_this(), Timer](boost::system::error_code) {
        const auto Self = Weak.lock();
        if (!Self)
          return;
        const TimePoint Now = Clock::now();
        Self->Sender->Delay.record(Timer->expiry(), Now);
        Self->checkForPause(Now);
        Self->scheduleClockCheck();
      });
}

/// Detects a pause of this process. After a pause, however short, another
/// broker may serve the groups of this one, so they have to be claimed again.
void BrokerServer::State::checkForPause(TimePoint Now) {
  {
    const std::lock_guard Lock(this->Mutex);
    const Duration Gap = Now - this->LastClockCheck;
    this->LastClockCheck = std::max(Now, this->LastClockCheck);
    if (Gap <= this->Settings.PauseThreshold || !this->Settings.ClaimGroups)
      return;
  }
  this->resetAfterPause();
}

void BrokerServer::State::resetAfterPause() {
  {
    const std::lock_guard Lock(this->Mutex);
    this->Groups.clear();
  }
  this->Claims->refuseAll();
  for (const auto &Dispatcher : this->dispatchers())
    Dispatcher->resetAfterPause();
}

void BrokerServer::State::onHandover(const PeerLinkPtr &From,
                                     const Handover &Message) {
  std::shared_ptr<ServiceDispatcher> Dispatcher;
  {
    const std::lock_guard Lock(this->Mutex);
    this->Groups.recordHandover(Message.Service, Message.Group, Clock::now());
    const auto Found = this->Dispatchers.find(Message.Service);
    if (Found != this->Dispatchers.end())
      Dispatcher = Found->second;
  }
  if (Dispatcher)
    Dispatcher->onHandover(Message.Group);
  From->send(MessageType::HandoverAck,
             encode(HandoverAck{Message.Service, Message.Group}));
}

/// Reports the leaves of every served group as warm to its next owner. Called
/// once no call is active, so that the leaves have no requests of this process.
void BrokerServer::State::sendHandovers() {
  const std::lock_guard Lock(this->Mutex);
  const TimePoint Now = Clock::now();
  this->refresh(Now);
  this->Groups.forEachServed(
      Now, [this](const std::string &Name, std::uint32_t Group) {
        const auto Found = this->AppliedConfig->Services.find(Name);
        if (Found == this->AppliedConfig->Services.end())
          return;
        BrokerCall Call;
        Call.Group = Group;
        const GroupDecision Decision =
            this->Groups.decide(*Found->second, Call, true, Clock::now());
        if (!Decision.OtherCandidates.empty())
          this->Hub.send(Decision.OtherCandidates.front().Peer,
                         MessageType::Handover, encode(Handover{Name, Group}));
      });
}

void BrokerServer::State::pollDrain(std::function<void()> Done) {
  bool IsIdle = false;
  {
    const std::lock_guard Lock(this->Mutex);
    IsIdle = this->ActiveCalls == 0;
  }
  if (IsIdle) {
    this->sendHandovers();
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
