#include "citronlever/src/Broker/internal/RequestKeyCoordinator.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace citronlever::internal {

namespace {

BrokerReply replyTo(const BrokerCall &Call, BrokerStatus Status,
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

/// The answer to a repeat of a request that ended as \p Ran with \p Body.
BrokerReply repeatOf(const BrokerCall &Call, Verdict Ran, std::string Body) {
  const bool Whole = Ran == Verdict::Ran && !Body.empty();
  BrokerReply Result =
      replyTo(Call, Whole ? BrokerStatus::Ok : BrokerStatus::Failed, Ran);
  Result.Body = std::move(Body);
  return Result;
}

} // namespace

RequestKeyCoordinator::RequestKeyCoordinator(boost::asio::io_context &Context,
                                             PeerHub &Hub, std::string Self,
                                             std::uint64_t Incarnation,
                                             const BrokerSettings &Settings)
    : Context(Context), Hub(Hub), Self(std::move(Self)),
      Incarnation(Incarnation), Settings(Settings), Ids(Incarnation),
      Ledger(Settings.KeyRetention, Settings.KeyBytes) {}

void RequestKeyCoordinator::install() {
  const std::weak_ptr<RequestKeyCoordinator> Weak = this->weak_from_this();
  this->Hub.handle(MessageType::KeyIntent,
                   [Weak](const PeerLinkPtr &From, ByteView Body) {
                     const auto Intent = decode<KeyIntent>(Body);
                     const auto Exchange = Weak.lock();
                     if (!Exchange)
                       return;
                     KeyIntentAck Ack;
                     {
                       const std::lock_guard Lock(Exchange->Mutex);
                       Ack = Exchange->Ledger.note(Intent, Clock::now());
                     }
                     From->send(MessageType::KeyIntentAck, encode(Ack));
                   });
  this->Hub.handle(MessageType::KeyIntentAck,
                   [Weak](const PeerLinkPtr &, ByteView Body) {
                     const auto Ack = decode<KeyIntentAck>(Body);
                     if (const auto Exchange = Weak.lock())
                       Exchange->answered(Ack);
                   });
  this->Hub.handle(MessageType::KeyOutcome,
                   [Weak](const PeerLinkPtr &, ByteView Body) {
                     const auto Ended = decode<KeyOutcome>(Body);
                     const auto Exchange = Weak.lock();
                     if (!Exchange)
                       return;
                     const std::lock_guard Lock(Exchange->Mutex);
                     Exchange->Ledger.note(Ended, Clock::now());
                   });
}

void RequestKeyCoordinator::run(const BrokerCall &Call,
                                std::vector<Member> Others, bool NeedAll,
                                Start Send, Done Reply) {
  std::unique_lock Lock(this->Mutex);
  const RequestKeyTable::Waiter Who = ++this->LastWaiter;
  switch (
      this->Ledger.begin(Call.Service, Call.RequestKey, Who, Clock::now())) {
  case RequestKeyTable::Begin::First:
    break;
  case RequestKeyTable::Begin::Joined:
    this->Waiting.emplace(Who, WaitingReply{Call, std::move(Reply)});
    return;
  case RequestKeyTable::Begin::Known: {
    const RequestKeyTable::Outcome Ended =
        this->Ledger.outcome(Call.Service, Call.RequestKey);
    Lock.unlock();
    return Reply(repeatOf(Call, Ended.Ran, Ended.Body));
  }
  case RequestKeyTable::Begin::Doubtful:
    Lock.unlock();
    return Reply(replyTo(Call, BrokerStatus::Failed, Verdict::MayHaveRun));
  case RequestKeyTable::Begin::Full:
    Lock.unlock();
    return Reply(replyTo(Call, BrokerStatus::Overloaded, Verdict::NotRun));
  }
  Round Made{Call, std::move(Others), IntentRound(0, NeedAll), std::move(Send),
             std::move(Reply)};
  Made.Votes = IntentRound(Made.Others.size(), NeedAll);
  const auto Decided = Made.Votes.start();
  if (Decided)
    return this->launch(std::move(Lock), std::move(Made), *Decided);
  const RequestId Id = this->Ids.next();
  const std::vector<Member> Asked = Made.Others;
  this->Rounds.emplace(Id, std::move(Made));
  Lock.unlock();
  auto Timer = std::make_shared<boost::asio::steady_timer>(this->Context);
  Timer->expires_after(std::min<Duration>(this->Settings.KeyWait,
                                          Milliseconds(Call.TimeLeftMs) / 2));
  Timer->async_wait([Exchange = this->shared_from_this(), Timer, Id](
                        boost::system::error_code) { Exchange->timedOut(Id); });
  KeyIntent Intent;
  Intent.Id = Id;
  Intent.Service = Call.Service;
  Intent.Key = Call.RequestKey;
  Intent.Owner = this->Self;
  Intent.OwnerIncarnation = this->Incarnation;
  for (const Member &Each : Asked) {
    this->Hub.withLink(Each.Peer, [Exchange = this->shared_from_this(),
                                   Intent](const PeerLinkPtr &Link) {
      const bool Sent =
          Link && Link->send(MessageType::KeyIntent, encode(Intent)) ==
                      SendResult::Queued;
      if (Sent)
        return;
      KeyIntentAck Unreached;
      Unreached.Id = Intent.Id;
      Unreached.Known = KeyKnowledge::Full;
      Exchange->answered(Unreached);
    });
  }
}

void RequestKeyCoordinator::answered(const KeyIntentAck &Ack) {
  std::unique_lock Lock(this->Mutex);
  const auto Found = this->Rounds.find(Ack.Id);
  if (Found == this->Rounds.end())
    return;
  const auto Decided = Found->second.Votes.answered(Ack);
  if (!Decided)
    return;
  Round Of = std::move(Found->second);
  this->Rounds.erase(Found);
  this->launch(std::move(Lock), std::move(Of), *Decided);
}

/// Settles a round in such a way that cancel() sees the call all the time.
void RequestKeyCoordinator::launch(std::unique_lock<std::mutex> Lock, Round Of,
                                   IntentRound::Decision Decision) {
  const auto Mark =
      this->Launching.emplace(toString(Of.Call.Id), Of.Call.Group);
  Lock.unlock();
  this->settle(std::move(Of), Decision);
  Lock.lock();
  this->Launching.erase(Mark);
}

Verdict RequestKeyCoordinator::cancel(RequestId Id, std::uint32_t Group) {
  const auto Same = [&](const BrokerCall &Call) {
    return Call.Id == Id && Call.Group == Group;
  };
  std::unique_lock Lock(this->Mutex);
  const bool Waits = std::ranges::any_of(
      this->Waiting, [&](const auto &Each) { return Same(Each.second.Call); });
  if (Waits || this->Launching.contains({toString(Id), Group}))
    return Verdict::MayHaveRun;
  const auto Found = std::ranges::find_if(
      this->Rounds, [&](const auto &Each) { return Same(Each.second.Call); });
  if (Found == this->Rounds.end())
    return Verdict::NotRun;
  const Round Of = std::move(Found->second);
  this->Rounds.erase(Found);
  Lock.unlock();
  this->finish(Of.Call, Of.Others,
               replyTo(Of.Call, BrokerStatus::TimedOut, Verdict::NotRun),
               Of.Reply);
  return Verdict::NotRun;
}

void RequestKeyCoordinator::timedOut(RequestId Id) {
  std::unique_lock Lock(this->Mutex);
  const auto Found = this->Rounds.find(Id);
  if (Found == this->Rounds.end())
    return;
  Round Of = std::move(Found->second);
  this->Rounds.erase(Found);
  const IntentRound::Decision Decided = Of.Votes.timedOut();
  this->launch(std::move(Lock), std::move(Of), Decided);
}

void RequestKeyCoordinator::settle(Round &&Of, IntentRound::Decision Decision) {
  switch (Decision) {
  case IntentRound::Decision::Send: {
    auto Ended = [Exchange = this->shared_from_this(), Call = Of.Call,
                  Others = Of.Others,
                  Reply = Of.Reply](BrokerReply Result) mutable {
      Exchange->finish(Call, Others, std::move(Result), Reply);
    };
    return Of.Send(std::move(Ended));
  }
  case IntentRound::Decision::Refuse:
    return this->finish(Of.Call, Of.Others,
                        replyTo(Of.Call, BrokerStatus::Failed, Verdict::NotRun),
                        Of.Reply);
  case IntentRound::Decision::Known: {
    const KeyIntentAck &Known = Of.Votes.known();
    return this->finish(Of.Call, Of.Others,
                        repeatOf(Of.Call, Known.Outcome, Known.Body), Of.Reply);
  }
  case IntentRound::Decision::Doubtful:
    return this->finish(
        Of.Call, Of.Others,
        replyTo(Of.Call, BrokerStatus::Failed, Verdict::MayHaveRun), Of.Reply);
  }
}

void RequestKeyCoordinator::finish(const BrokerCall &Call,
                                   std::span<const Member> Others,
                                   BrokerReply Reply, const Done &To) {
  std::vector<WaitingReply> Repeats;
  {
    const std::lock_guard Lock(this->Mutex);
    const auto Waiters =
        this->Ledger.finish(Call.Service, Call.RequestKey,
                            {Reply.Outcome, Reply.Body}, Clock::now());
    for (const RequestKeyTable::Waiter Who : Waiters) {
      const auto Found = this->Waiting.find(Who);
      Repeats.push_back(std::move(Found->second));
      this->Waiting.erase(Found);
    }
  }
  this->publish(Call, Others, Reply);
  for (const WaitingReply &Each : Repeats) {
    BrokerReply Copy = repeatOf(Each.Call, Reply.Outcome, Reply.Body);
    if (Reply.Outcome == Verdict::NotRun)
      Copy.Status = Reply.Status;
    Each.Reply(std::move(Copy));
  }
  To(std::move(Reply));
}

void RequestKeyCoordinator::publish(const BrokerCall &Call,
                                    std::span<const Member> Others,
                                    const BrokerReply &Reply) {
  KeyOutcome Ended;
  Ended.Service = Call.Service;
  Ended.Key = Call.RequestKey;
  Ended.Owner = this->Self;
  Ended.OwnerIncarnation = this->Incarnation;
  Ended.Outcome = Reply.Outcome;
  Ended.Body = Reply.Body;
  for (const Member &Each : Others)
    this->Hub.send(Each.Peer, MessageType::KeyOutcome, encode(Ended));
}

void RequestKeyCoordinator::dump(boost::json::object &Into) const {
  const std::lock_guard Lock(this->Mutex);
  Into["keys"] = this->Ledger.size();
  Into["key_bytes"] = this->Ledger.bytes();
  Into["intents_open"] = this->Rounds.size();
  Into["repeats_waiting"] = this->Waiting.size();
}

} // namespace citronlever::internal
