#include "citronlever/src/Broker/internal/RequestKeyCoordinator.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

BrokerReply makeReply(const BrokerCall &Call, BrokerStatus Status,
                      Verdict Outcome) {
  BrokerReply Result;
  Result.Id = Call.Id;
  Result.Group = Call.Group;
  Result.Snapshot = Call.Snapshot;
  Result.Status = Status;
  Result.Outcome = Outcome;
  if (Status == BrokerStatus::Ok)
    Result.Answered = Call.Shards;
  else
    Result.Missing = Call.Shards;
  return Result;
}

/// \returns the reply to a repeat of a request that ended as \p Execution with
/// \p Body.
BrokerReply makeRepeatReply(const BrokerCall &Call, Verdict Execution,
                            std::string Body) {
  const bool HasAnswer = Execution == Verdict::Ran && !Body.empty();
  BrokerReply Result = makeReply(
      Call, HasAnswer ? BrokerStatus::Ok : BrokerStatus::Failed, Execution);
  Result.Body = std::move(Body);
  return Result;
}

} // namespace

RequestKeyCoordinator::RequestKeyCoordinator(boost::asio::io_context &Context,
                                             PeerHub &Hub, std::string SelfName,
                                             std::uint64_t Incarnation,
                                             const BrokerSettings &Settings)
    : Context(Context), Hub(Hub), SelfName(std::move(SelfName)),
      Incarnation(Incarnation), Settings(Settings), Ids(Incarnation),
      KeyTable(Settings.KeyRetention, Settings.KeyMemoryBytes) {}

void RequestKeyCoordinator::registerHandlers() {
  const std::weak_ptr<RequestKeyCoordinator> Weak = this->weak_from_this();
  this->Hub.handle(
      MessageType::KeyIntent, [Weak](const PeerLinkPtr &From, ByteView Body) {
        const auto Intent = decode<KeyIntent>(Body);
        const auto Coordinator = Weak.lock();
        if (!Coordinator)
          return;
        KeyIntentAck Ack;
        {
          const std::lock_guard Lock(Coordinator->Mutex);
          Ack = Coordinator->KeyTable.recordIntent(Intent, Clock::now());
        }
        From->send(MessageType::KeyIntentAck, encode(Ack));
      });
  this->Hub.handle(MessageType::KeyIntentAck,
                   [Weak](const PeerLinkPtr &, ByteView Body) {
                     const auto Ack = decode<KeyIntentAck>(Body);
                     if (const auto Coordinator = Weak.lock())
                       Coordinator->onAck(Ack);
                   });
  this->Hub.handle(MessageType::KeyOutcome,
                   [Weak](const PeerLinkPtr &, ByteView Body) {
                     const auto Outcome = decode<KeyOutcome>(Body);
                     const auto Coordinator = Weak.lock();
                     if (!Coordinator)
                       return;
                     const std::lock_guard Lock(Coordinator->Mutex);
                     Coordinator->KeyTable.recordOutcome(Outcome, Clock::now());
                   });
}

void RequestKeyCoordinator::run(const BrokerCall &Call,
                                std::vector<Member> OtherCandidates,
                                bool RequireAll, SendCallback Send,
                                ReplyCallback Reply) {
  std::unique_lock Lock(this->Mutex);
  const RequestKeyTable::WaiterId Waiter = ++this->LastWaiterId;
  switch (this->KeyTable.begin(Call.Service, Call.RequestKey, Waiter,
                               Clock::now())) {
  case RequestKeyTable::BeginResult::First:
    break;
  case RequestKeyTable::BeginResult::Joined:
    this->WaitingRepeats.emplace(Waiter, WaitingRepeat{Call, std::move(Reply)});
    return;
  case RequestKeyTable::BeginResult::Known: {
    const RequestKeyTable::Outcome Outcome =
        this->KeyTable.outcome(Call.Service, Call.RequestKey);
    Lock.unlock();
    return Reply(makeRepeatReply(Call, Outcome.Execution, Outcome.Body));
  }
  case RequestKeyTable::BeginResult::InDoubt:
    Lock.unlock();
    return Reply(makeReply(Call, BrokerStatus::Failed, Verdict::MayHaveRun));
  case RequestKeyTable::BeginResult::Full:
    Lock.unlock();
    return Reply(makeReply(Call, BrokerStatus::Overloaded, Verdict::NotRun));
  }
  PendingIntent Pending{Call, std::move(OtherCandidates),
                        IntentRound(0, RequireAll), std::move(Send),
                        std::move(Reply)};
  Pending.Round = IntentRound(Pending.OtherCandidates.size(), RequireAll);
  const auto Decision = Pending.Round.initialDecision();
  if (Decision)
    return this->settle(std::move(Lock), std::move(Pending), *Decision);
  const RequestId Id = this->Ids.next();
  const std::vector<Member> Recipients = Pending.OtherCandidates;
  this->PendingIntents.emplace(Id, std::move(Pending));
  Lock.unlock();
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(std::min<Duration>(this->Settings.KeyIntentTimeout,
                                          Milliseconds(Call.TimeLeftMs) / 2));
  Timer->async_wait(
      [Coordinator = this->shared_from_this(), Timer,
       Id](boost::system::error_code) { Coordinator->onTimeout(Id); });
  KeyIntent Intent;
  Intent.Id = Id;
  Intent.Service = Call.Service;
  Intent.Key = Call.RequestKey;
  Intent.Owner = this->SelfName;
  Intent.OwnerIncarnation = this->Incarnation;
  for (const Member &Recipient : Recipients) {
    this->Hub.withLink(Recipient.Peer, [Coordinator = this->shared_from_this(),
                                        Intent](const PeerLinkPtr &Link) {
      const bool Sent =
          Link && Link->send(MessageType::KeyIntent, encode(Intent)) ==
                      SendResult::Queued;
      if (Sent)
        return;
      KeyIntentAck Unreached;
      Unreached.Id = Intent.Id;
      Unreached.Known = KeyKnowledge::Full;
      Coordinator->onAck(Unreached);
    });
  }
}

void RequestKeyCoordinator::onAck(const KeyIntentAck &Ack) {
  std::unique_lock Lock(this->Mutex);
  const auto Found = this->PendingIntents.find(Ack.Id);
  if (Found == this->PendingIntents.end())
    return;
  const auto Decision = Found->second.Round.onAck(Ack);
  if (!Decision)
    return;
  PendingIntent Pending = std::move(Found->second);
  this->PendingIntents.erase(Found);
  this->settle(std::move(Lock), std::move(Pending), *Decision);
}

/// Applies a decision. The call is in Settling meanwhile, so that cancel()
/// finds it at any time.
void RequestKeyCoordinator::settle(std::unique_lock<std::mutex> Lock,
                                   PendingIntent Pending,
                                   IntentRound::Decision Decision) {
  const auto Marker =
      this->Settling.emplace(toString(Pending.Call.Id), Pending.Call.Group);
  Lock.unlock();
  this->applyDecision(std::move(Pending), Decision);
  Lock.lock();
  this->Settling.erase(Marker);
}

Verdict RequestKeyCoordinator::cancel(RequestId Id, std::uint32_t Group) {
  const auto IsCall = [&](const BrokerCall &Call) {
    return Call.Id == Id && Call.Group == Group;
  };
  std::unique_lock Lock(this->Mutex);
  const bool IsWaiting =
      std::ranges::any_of(this->WaitingRepeats, [&](const auto &Repeat) {
        return IsCall(Repeat.second.Call);
      });
  if (IsWaiting || this->Settling.contains({toString(Id), Group}))
    return Verdict::MayHaveRun;
  const auto Found =
      std::ranges::find_if(this->PendingIntents, [&](const auto &Intent) {
        return IsCall(Intent.second.Call);
      });
  if (Found == this->PendingIntents.end())
    return Verdict::NotRun;
  const PendingIntent Pending = std::move(Found->second);
  this->PendingIntents.erase(Found);
  Lock.unlock();
  this->finish(Pending.Call, Pending.OtherCandidates,
               makeReply(Pending.Call, BrokerStatus::TimedOut, Verdict::NotRun),
               Pending.Reply);
  return Verdict::NotRun;
}

void RequestKeyCoordinator::onTimeout(RequestId Id) {
  std::unique_lock Lock(this->Mutex);
  const auto Found = this->PendingIntents.find(Id);
  if (Found == this->PendingIntents.end())
    return;
  PendingIntent Pending = std::move(Found->second);
  this->PendingIntents.erase(Found);
  const IntentRound::Decision Decision = Pending.Round.onTimeout();
  this->settle(std::move(Lock), std::move(Pending), Decision);
}

void RequestKeyCoordinator::applyDecision(PendingIntent &&Pending,
                                          IntentRound::Decision Decision) {
  switch (Decision) {
  case IntentRound::Decision::Send: {
    auto OnReply = [Coordinator = this->shared_from_this(), Call = Pending.Call,
                    OtherCandidates = Pending.OtherCandidates,
                    Reply = Pending.Reply](BrokerReply Result) mutable {
      Coordinator->finish(Call, OtherCandidates, std::move(Result), Reply);
    };
    return Pending.Send(std::move(OnReply));
  }
  case IntentRound::Decision::Refuse:
    return this->finish(
        Pending.Call, Pending.OtherCandidates,
        makeReply(Pending.Call, BrokerStatus::Failed, Verdict::NotRun),
        Pending.Reply);
  case IntentRound::Decision::Known: {
    const KeyIntentAck &Known = Pending.Round.knownOutcome();
    return this->finish(
        Pending.Call, Pending.OtherCandidates,
        makeRepeatReply(Pending.Call, Known.Outcome, Known.Body),
        Pending.Reply);
  }
  case IntentRound::Decision::InDoubt:
    return this->finish(
        Pending.Call, Pending.OtherCandidates,
        makeReply(Pending.Call, BrokerStatus::Failed, Verdict::MayHaveRun),
        Pending.Reply);
  }
}

void RequestKeyCoordinator::finish(const BrokerCall &Call,
                                   std::span<const Member> OtherCandidates,
                                   BrokerReply Reply,
                                   const ReplyCallback &Callback) {
  std::vector<WaitingRepeat> Repeats;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Waiters =
        this->KeyTable.finish(Call.Service, Call.RequestKey,
                              {Reply.Outcome, Reply.Body}, Clock::now());
    for (const RequestKeyTable::WaiterId Waiter : Waiters) {
      const auto Found = this->WaitingRepeats.find(Waiter);
      Repeats.push_back(std::move(Found->second));
      this->WaitingRepeats.erase(Found);
    }
  }
  this->broadcastOutcome(Call, OtherCandidates, Reply);
  for (const WaitingRepeat &Repeat : Repeats) {
    BrokerReply Copy = makeRepeatReply(Repeat.Call, Reply.Outcome, Reply.Body);
    if (Reply.Outcome == Verdict::NotRun)
      Copy.Status = Reply.Status;
    Repeat.Reply(std::move(Copy));
  }
  Callback(std::move(Reply));
}

void RequestKeyCoordinator::broadcastOutcome(
    const BrokerCall &Call, std::span<const Member> OtherCandidates,
    const BrokerReply &Reply) {
  KeyOutcome Outcome;
  Outcome.Service = Call.Service;
  Outcome.Key = Call.RequestKey;
  Outcome.Owner = this->SelfName;
  Outcome.OwnerIncarnation = this->Incarnation;
  Outcome.Outcome = Reply.Outcome;
  Outcome.Body = Reply.Body;
  for (const Member &Candidate : OtherCandidates)
    this->Hub.send(Candidate.Peer, MessageType::KeyOutcome, encode(Outcome));
}

void RequestKeyCoordinator::dump(boost::json::object &Into) const {
  const std::lock_guard Lock(this->Mutex);
  Into["keys"] = this->KeyTable.size();
  Into["key_bytes"] = this->KeyTable.bytes();
  Into["intents_open"] = this->PendingIntents.size();
  Into["repeats_waiting"] = this->WaitingRepeats.size();
}

} // namespace citronlever::internal
