#include "citronlever/src/Broker/internal/GroupClaims.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

/// Interval between claims to a candidate that does not answer.
constexpr Duration RetryPeriod = Milliseconds(50);

} // namespace

void GroupClaims::registerHandlers() {
  const std::weak_ptr<GroupClaims> Weak = this->weak_from_this();
  this->Hub.handle(MessageType::GroupRelease,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     const auto Message = decode<GroupRelease>(Body);
                     if (const auto Self = Weak.lock())
                       Self->onRelease(Message, From->peerName());
                   });
}

void GroupClaims::holdCalls(const GroupId &Group) {
  const std::lock_guard Lock(this->Mutex);
  this->WaitingCalls.try_emplace(Group);
}

void GroupClaims::claim(const GroupId &Group,
                        const std::vector<Member> &OtherCandidates,
                        ClaimCallback Done) {
  Claim NewClaim;
  NewClaim.Group = Group;
  NewClaim.Deadline = Clock::now() + this->ClaimTimeout;
  NewClaim.Done = std::move(Done);
  for (const Member &Candidate : OtherCandidates)
    NewClaim.Unanswered.emplace(Candidate.Name, Candidate.Peer);
  RequestId Id;
  {
    const std::lock_guard Lock(this->Mutex);
    Id = this->Ids.next();
    this->Claims[Id] = std::move(NewClaim);
  }
  if (OtherCandidates.empty())
    return this->finishClaim(Id);
  this->sendClaims(Id);
  this->scheduleRetry(Id);
}

void GroupClaims::sendClaims(RequestId Id) {
  GroupClaim Message;
  std::map<std::string, Endpoint> Unanswered;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Claims.find(Id);
    if (Found == this->Claims.end())
      return;
    const Claim &Pending = Found->second;
    Message = {Id, Pending.Group.first, Pending.Group.second};
    Unanswered = Pending.Unanswered;
  }
  for (const auto &[Name, Peer] : Unanswered)
    this->Hub.withLink(Peer, [Self = this->shared_from_this(), Message,
                              Name = Name](const PeerLinkPtr &Link) {
      const bool Sent =
          Link && Link->send(MessageType::GroupClaim, encode(Message)) ==
                      SendResult::Queued;
      if (!Sent)
        Self->onRelease({Message.Id, {}, {}}, Name);
    });
}

void GroupClaims::scheduleRetry(RequestId Id) {
  TimePoint Deadline;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Claims.find(Id);
    if (Found == this->Claims.end())
      return;
    Deadline = Found->second.Deadline;
  }
  const TimePoint Now = Clock::now();
  if (Now >= Deadline)
    return this->finishClaim(Id);
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_at(std::min(Deadline, Now + RetryPeriod));
  Timer->async_wait(
      [Self = this->shared_from_this(), Timer, Id](boost::system::error_code) {
        Self->sendClaims(Id);
        Self->scheduleRetry(Id);
      });
}

void GroupClaims::onRelease(const GroupRelease &Message,
                            const std::string &From) {
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Claims.find(Message.Id);
    if (Found == this->Claims.end() ||
        Found->second.Unanswered.erase(From) == 0)
      return;
    Outcome &Result = Found->second.Result;
    Result.WarmLeaves.insert(Result.WarmLeaves.end(),
                             Message.WarmLeaves.begin(),
                             Message.WarmLeaves.end());
    Result.ColdLeaves.insert(Result.ColdLeaves.end(),
                             Message.ColdLeaves.begin(),
                             Message.ColdLeaves.end());
    if (!Found->second.Unanswered.empty())
      return;
  }
  this->finishClaim(Message.Id);
}

void GroupClaims::finishClaim(RequestId Id) {
  Claim Pending;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->Claims.find(Id);
    if (Found == this->Claims.end())
      return;
    Pending = std::move(Found->second);
    this->Claims.erase(Found);
  }
  Pending.Result.Complete = Pending.Unanswered.empty();
  Pending.Done(Pending.Result);
  this->startWaitingCalls(Pending.Group);
}

/// Starts the calls that waited. Each is in StartingCalls until it has started,
/// so that cancel() finds it at any time.
void GroupClaims::startWaitingCalls(const GroupId &Group) {
  std::vector<WaitingCall> Ready;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Found = this->WaitingCalls.find(Group);
    if (Found == this->WaitingCalls.end())
      return;
    Ready = std::move(Found->second);
    this->WaitingCalls.erase(Found);
    for (const WaitingCall &Waiting : Ready)
      this->StartingCalls.emplace(Waiting.Id, Waiting.Group);
  }
  for (const WaitingCall &Waiting : Ready) {
    Waiting.Start();
    const std::lock_guard Lock(this->Mutex);
    this->StartingCalls.erase(
        this->StartingCalls.find({Waiting.Id, Waiting.Group}));
  }
}

bool GroupClaims::enqueueIfHeld(const GroupId &Group, WaitingCall Call) {
  const std::lock_guard Lock(this->Mutex);
  const auto Found = this->WaitingCalls.find(Group);
  if (Found == this->WaitingCalls.end())
    return false;
  Found->second.push_back(std::move(Call));
  return true;
}

Verdict GroupClaims::cancel(RequestId Id, std::uint32_t Group) {
  WaitingCall Call;
  {
    const std::lock_guard Lock(this->Mutex);
    if (this->StartingCalls.contains({Id, Group}))
      return Verdict::MayHaveRun;
    for (auto &[Name, Calls] : this->WaitingCalls) {
      const auto Found =
          std::ranges::find_if(Calls, [&](const WaitingCall &Waiting) {
            return Waiting.Id == Id && Waiting.Group == Group;
          });
      if (Found == Calls.end())
        continue;
      Call = std::move(*Found);
      Calls.erase(Found);
      break;
    }
  }
  if (Call.Refuse)
    Call.Refuse(BrokerStatus::TimedOut);
  return Verdict::NotRun;
}

void GroupClaims::refuseAll() {
  std::map<GroupId, std::vector<WaitingCall>> Held;
  {
    const std::lock_guard Lock(this->Mutex);
    Held.swap(this->WaitingCalls);
    this->Claims.clear();
  }
  for (const auto &[Name, Calls] : Held)
    for (const WaitingCall &Waiting : Calls)
      Waiting.Refuse(BrokerStatus::Overloaded);
}

} // namespace citronlever::internal
