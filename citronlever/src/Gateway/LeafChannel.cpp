#include "citronlever/src/Gateway/LeafChannel.h"

#include "citronlever/src/Gateway/internal/ChannelConnection.h"

#include <algorithm>

namespace citronlever {

LeafChannel::LeafChannel(boost::asio::io_context &Context, LeafEntry Entry,
                         const HeaderNames &Names, LeafChannelSettings Settings,
                         LeafChannelCounters &Totals)
    : Context(Context), Entry(std::move(Entry)), Names(Names),
      Settings(Settings), Totals(Totals) {
  this->Stats.expectSlots(this->Entry.Slots);
}

LeafChannel::~LeafChannel() = default;

bool LeafChannel::saturated() const {
  return this->Idle.empty() &&
         static_cast<int>(this->Links.size()) >= this->MaxConnections;
}

void LeafChannel::call(const ChannelCallPtr &Call) {
  if (this->Retired) {
    ChannelAnswer Result;
    Result.Reason = "leaf is leaving";
    this->callEnded(Call, std::move(Result));
    return;
  }
  this->Waiting.push_back(Call);
  this->serveWaiting();
}

void LeafChannel::serveWaiting() {
  const TimePoint Now = Clock::now();
  while (!this->Waiting.empty()) {
    const std::shared_ptr<ChannelConnection> Link = this->takeIdle(Now);
    if (!Link)
      break;
    const ChannelCallPtr Call = this->Waiting.front();
    this->Waiting.pop_front();
    Link->send(Call, Now);
  }
  while (this->Connecting < static_cast<int>(this->Waiting.size()) &&
         static_cast<int>(this->Links.size()) < this->MaxConnections)
    this->openLink();
}

std::shared_ptr<ChannelConnection> LeafChannel::takeIdle(TimePoint Now) {
  // The one used last is the least likely to be closed by the leaf just now.
  while (!this->Idle.empty()) {
    std::shared_ptr<ChannelConnection> Link = this->Idle.back();
    this->Idle.pop_back();
    if (Link->usable(Now))
      return Link;
    Link->close("idle too long");
  }
  return nullptr;
}

void LeafChannel::openLink() {
  auto Link = std::make_shared<ChannelConnection>(this->Context,
                                                  this->shared_from_this());
  this->Links.push_back(Link);
  ++this->Connecting;
  ++this->Totals.Connects;
  Link->connect();
}

void LeafChannel::linkReady(const std::shared_ptr<ChannelConnection> &Link) {
  if (Link->fresh()) {
    --this->Connecting;
    Link->settle();
  }
  if (this->Retired) {
    Link->close("leaf is leaving");
    return;
  }
  this->Idle.push_back(Link);
  this->serveWaiting();
}

void LeafChannel::linkGone(const std::shared_ptr<ChannelConnection> &Link) {
  std::erase(this->Links, Link);
  std::erase(this->Idle, Link);
  if (!this->Retired)
    this->serveWaiting();
}

void LeafChannel::linkFailed(const std::shared_ptr<ChannelConnection> &Link,
                             std::string_view Reason) {
  --this->Connecting;
  ++this->Totals.ConnectFailures;
  std::erase(this->Links, Link);
  this->Stats.unreachable(Clock::now());
  if (this->Links.empty() || this->Connecting == 0)
    this->failWaiting(Reason);
}

void LeafChannel::failWaiting(std::string_view Reason) {
  std::deque<ChannelCallPtr> Failed;
  Failed.swap(this->Waiting);
  for (const ChannelCallPtr &Call : Failed) {
    ChannelAnswer Result;
    Result.Reason = std::string(Reason);
    this->callEnded(Call, std::move(Result));
  }
}

void LeafChannel::callEnded(const ChannelCallPtr &Call, ChannelAnswer Answer) {
  const TimePoint Now = Clock::now();
  const bool Failure =
      Answer.Outcome == ChannelOutcome::Lost || Answer.Response.Status >= 500;
  if (Call->Witness && Call->SentAt != TimePoint{})
    Call->Witness(Answer, Now - Call->SentAt, Call->Done);
  if (Answer.Outcome == ChannelOutcome::NotRun)
    this->Stats.shed(Call->Id, Now);
  else if (Call->Done && Answer.Outcome == ChannelOutcome::Lost)
    this->Stats.abandoned(Call->Id, Call->Typical, Now);
  else if (Failure)
    this->Stats.failed(Call->Id);
  else
    this->Stats.answered(Call->Id, Call->Typical, Now);
  if (std::exchange(Call->Done, true) || !Call->Then)
    return;
  std::exchange(Call->Then, nullptr)(std::move(Answer));
}

bool LeafChannel::abandon(const ChannelCallPtr &Call) {
  Call->Then = nullptr;
  Call->OnSent = nullptr;
  const auto Queued =
      std::find(this->Waiting.begin(), this->Waiting.end(), Call);
  if (Queued != this->Waiting.end()) {
    this->Waiting.erase(Queued);
    Call->Done = true;
    return false;
  }
  for (const auto &Link : this->Links)
    if (Link->call() == Call) {
      Link->abandon(Call);
      return true;
    }
  return false;
}

void LeafChannel::retire(std::string_view Reason) {
  this->Retired = true;
  const auto Closing = std::exchange(this->Idle, {});
  for (const auto &Link : Closing)
    Link->close(Reason);
  this->failWaiting(Reason);
}

} // namespace citronlever
