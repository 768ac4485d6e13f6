#include "citronlever/src/Gateway/LeafChannel.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/ReentryGuard.h"
#include "citronlever/src/Gateway/internal/ChannelConnection.h"

#include <algorithm>

namespace citronlever {

LeafChannel::LeafChannel(boost::asio::io_context &Context, LeafEntry Entry,
                         const HeaderNames &Names, LeafChannelSettings Settings,
                         LeafChannelCounters &Totals)
    : Context(Context), Entry(std::move(Entry)), Names(Names),
      Settings(Settings), Totals(Totals), MaxIdle(Settings.MaxIdle) {
  this->Stats.setInitialSlots(this->Entry.Slots);
}

LeafChannel::~LeafChannel() = default;

bool LeafChannel::isSaturated() const {
  return this->IdleConnections.empty() &&
         static_cast<int>(this->Connections.size()) >= this->MaxConnections;
}

void LeafChannel::call(const ChannelCallPtr &Call) {
  if (this->Retired) {
    ChannelAnswer Result;
    Result.Reason = "leaf is draining or removed";
    this->onCallEnded(Call, std::move(Result));
    return;
  }
  this->RateLimiter.countSend(Clock::now());
  this->Waiting.push_back(Call);
  this->sendWaiting();
}

void LeafChannel::sendWaiting() {
  // Closing an expired connection and a connection that fails at once both end
  // here again.
  const ReentryGuard Guard(this->Sending);
  if (!Guard.isOutermost())
    return;
  const TimePoint Now = Clock::now();
  while (this->sendFirstWaiting(Now) || this->openForWaiting()) {
  }
}

bool LeafChannel::sendFirstWaiting(TimePoint Now) {
  if (this->Waiting.empty())
    return false;
  this->closeExpired(Now);
  // From here to the send no callback may run.
  if (this->Waiting.empty() || this->IdleConnections.empty())
    return false;
  const std::shared_ptr<ChannelConnection> Connection =
      std::move(this->IdleConnections.back());
  this->IdleConnections.pop_back();
  const ChannelCallPtr Call = std::move(this->Waiting.front());
  this->Waiting.pop_front();
  Connection->send(Call, Now);
  return true;
}

void LeafChannel::closeExpired(TimePoint Now) {
  while (!this->IdleConnections.empty() &&
         !this->IdleConnections.back()->isUsable(Now)) {
    const std::shared_ptr<ChannelConnection> Expired =
        std::move(this->IdleConnections.back());
    this->IdleConnections.pop_back();
    Expired->close("idle timeout expired");
  }
}

bool LeafChannel::openForWaiting() {
  if (this->Connecting >= static_cast<int>(this->Waiting.size()) ||
      static_cast<int>(this->Connections.size()) >= this->MaxConnections)
    return false;
  this->openConnection();
  return true;
}

void LeafChannel::openConnection() {
  auto Connection = std::make_shared<ChannelConnection>(
      this->Context, this->shared_from_this());
  this->Connections.push_back(Connection);
  ++this->Connecting;
  ++this->Totals.Connects;
  Connection->connect();
}

void LeafChannel::onConnectionReady(
    const std::shared_ptr<ChannelConnection> &Connection) {
  if (Connection->isConnecting()) {
    --this->Connecting;
    Connection->markConnected(Clock::now() + this->MaxIdle);
  }
  if (this->Retired) {
    Connection->close("leaf is draining or removed");
    return;
  }
  this->IdleConnections.push_back(Connection);
  this->sendWaiting();
}

void LeafChannel::onConnectionClosed(
    const std::shared_ptr<ChannelConnection> &Connection) {
  std::erase(this->Connections, Connection);
  std::erase(this->IdleConnections, Connection);
  if (!this->Retired)
    this->sendWaiting();
}

void LeafChannel::onConnectFailed(
    const std::shared_ptr<ChannelConnection> &Connection,
    std::string_view Reason) {
  --this->Connecting;
  ++this->Totals.ConnectFailures;
  std::erase(this->Connections, Connection);
  this->Stats.onUnreachable(Clock::now());
  if (this->Connections.empty() || this->Connecting == 0)
    this->failWaiting(Reason);
}

void LeafChannel::failWaiting(std::string_view Reason) {
  std::deque<ChannelCallPtr> Failed;
  Failed.swap(this->Waiting);
  for (const ChannelCallPtr &Call : Failed)
    this->endUnsent(Call, Reason);
}

void LeafChannel::endUnsent(const ChannelCallPtr &Call,
                            std::string_view Reason) {
  this->RateLimiter.refund();
  ChannelAnswer Result;
  Result.Reason = std::string(Reason);
  this->onCallEnded(Call, std::move(Result));
}

void LeafChannel::countSent(const ChannelCall &Call, TimePoint Now) {
  this->Stats.onSent(Call.Id, Now);
  ++this->Totals.Calls;
  if (!this->RateLimiter.isLimited())
    return;
  ++this->Totals.LimitedCalls;
  ++this->LimitedCalls;
}

void LeafChannel::readStatedRate(const HttpFields &Answer, TimePoint Now) {
  bool IsStated = false;
  std::optional<double> Lowest;
  for (const auto &[Name, Value] : Answer.all()) {
    if (!sameFieldName(Name, this->Names.RateLimit))
      continue;
    IsStated = true;
    const std::optional<double> Rate = parseStatedRate(Value);
    if (Rate && (!Lowest || *Rate < *Lowest))
      Lowest = Rate;
  }
  // A statement that cannot be read does not end the limit stated before.
  if (IsStated && !Lowest)
    return;
  const std::optional<double> Before = this->RateLimiter.stated().PerSecond;
  this->RateLimiter.onStated({Lowest, Now}, Now);
  this->onStatedChanged(Before);
}

void LeafChannel::onShared(const StatedRate &New, TimePoint Now) {
  const std::optional<double> Before = this->RateLimiter.stated().PerSecond;
  this->RateLimiter.onShared(New, Now);
  this->onStatedChanged(Before);
}

void LeafChannel::onStatedChanged(std::optional<double> Before) {
  const std::optional<double> Rate = this->RateLimiter.stated().PerSecond;
  if (Rate == Before)
    return;
  if (!Rate) {
    logEvent(event::LeafLimitEnded, this->Entry.Id, this->Entry.Service,
             "calls", std::exchange(this->LimitedCalls, 0));
    return;
  }
  logEvent(event::LeafLimited, this->Entry.Id, this->Entry.Service,
           "per_second", *Rate, "own_per_second", this->RateLimiter.ownRate());
  // Calls that wait were let in without the limit.
  if (!Before)
    this->failWaiting("leaf states a limit");
}

void LeafChannel::onCallEnded(const ChannelCallPtr &Call,
                              ChannelAnswer Answer) {
  const TimePoint Now = Clock::now();
  const bool Failure =
      Answer.Outcome == ChannelOutcome::Lost || Answer.Response.Status >= 500;
  if (Call->Observer && Call->SentAt != TimePoint{})
    Call->Observer(Answer, Now - Call->SentAt, Call->Done);
  if (Answer.Outcome == ChannelOutcome::NotRun)
    this->Stats.onShed(Call->Id, Now);
  else if (Call->Done && Answer.Outcome == ChannelOutcome::Lost)
    this->Stats.onAbandon(Call->Id, Call->TypicalLatency, Now);
  else if (Failure)
    this->Stats.onFailure(Call->Id);
  else
    this->Stats.onAnswer(Call->Id, Call->TypicalLatency, Now);
  if (std::exchange(Call->Done, true) || !Call->OnAnswer)
    return;
  std::exchange(Call->OnAnswer, nullptr)(std::move(Answer));
}

bool LeafChannel::abandon(const ChannelCallPtr &Call) {
  Call->OnAnswer = nullptr;
  const auto Queued =
      std::find(this->Waiting.begin(), this->Waiting.end(), Call);
  if (Queued != this->Waiting.end()) {
    this->Waiting.erase(Queued);
    this->RateLimiter.refund();
    Call->Done = true;
    return false;
  }
  for (const auto &Connection : this->Connections)
    if (Connection->call() == Call) {
      Connection->abandon(Call);
      return true;
    }
  return false;
}

void LeafChannel::retire(std::string_view Reason) {
  this->Retired = true;
  const auto Closing = std::exchange(this->IdleConnections, {});
  for (const auto &Connection : Closing)
    Connection->close(Reason);
  this->failWaiting(Reason);
}

} // namespace citronlever
