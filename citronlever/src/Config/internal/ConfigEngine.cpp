#include "citronlever/src/Config/internal/ConfigEngine.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Core/RequestId.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace citronlever {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

GossipSettings gossipSettings(const ConfigSettings &From) {
  GossipSettings Result;
  Result.Name = From.Name;
  Result.Vm = From.Vm;
  Result.Seeds = From.Seeds;
  Result.NeighbourCount = From.NeighbourCount;
  Result.PullTimeout = From.PullTimeout;
  Result.FreshnessTimeout = From.FreshnessTimeout;
  return Result;
}

RevisionTreeSettings treeSettings(const ConfigSettings &From) {
  RevisionTreeSettings Result;
  Result.Self = {From.Name, From.Vm, From.Domain, {}, From.Incarnation};
  Result.MinGroupSize = From.MinGroupSize;
  Result.ReportPeriod = From.ReportPeriod;
  Result.SummaryDelay = From.SummaryDelay;
  Result.PullDelay = From.PullDelay;
  Result.PullPeriod = From.PullPeriod;
  return Result;
}

} // namespace

ConfigEngine::ConfigEngine(asio::io_context &Context, Platform &PlatformStore,
                           ConfigSettings Settings, Sender Send)
    : Context(Context), Strand(asio::make_strand(Context)),
      PlatformStore(PlatformStore), Settings(std::move(Settings)),
      Send(std::move(Send)), State(this->Settings.Policy),
      Gossip(gossipSettings(this->Settings), this->State),
      Tree(treeSettings(this->Settings)),
      Store(PlatformStore, this->Settings.Deployment),
      ReportTimer(this->Strand), Random(makeIncarnation()),
      Incarnation(makeIncarnation()), PublishedView(this->Builder.view()),
      PublishedState(std::make_shared<const ConfigState>(this->State)),
      PublishedFreshness(this->Gossip.freshness()) {}

void ConfigEngine::start() {
  const Self This = this->shared_from_this();
  asio::co_spawn(this->Strand, digestLoop(This), asio::detached);
  asio::co_spawn(this->Strand, reportLoop(This), asio::detached);
  asio::co_spawn(this->Strand, storeLoop(This), asio::detached);
}

void ConfigEngine::stop() {
  asio::post(this->Strand, [This = this->shared_from_this()] {
    This->Stopped = true;
    for (asio::steady_timer *Timer : This->Timers)
      Timer->cancel();
  });
}

void ConfigEngine::addChangeHandler(ChangeHandler Handler) {
  asio::post(this->Strand, [This = this->shared_from_this(),
                            Handler = std::move(Handler)]() mutable {
    This->Handlers.push_back(std::move(Handler));
    if (This->State.head().Revision > 0)
      This->Handlers.back()(This->Builder.view());
  });
}

void ConfigEngine::setPeers(std::vector<ConfigPeer> Live) {
  asio::post(this->Strand, [This = this->shared_from_this(),
                            Live = std::move(Live)]() mutable {
    if (This->PeersKnown && This->Peers == Live)
      return;
    This->Peers = std::move(Live);
    This->PeersKnown = true;
    This->Gossip.setPeers(This->Peers);
    This->updateRosters();
    This->publish();
  });
}

void ConfigEngine::receive(const PeerLinkPtr &From, MessageType Type,
                           ByteView Body) {
  asio::post(this->Strand, [This = this->shared_from_this(), From, Type,
                            Copy = Bytes(Body.begin(), Body.end())] {
    try {
      This->dispatch(From, Type, Copy);
    } catch (const DecodeError &Failure) {
      From->close(Failure.what());
    }
  });
}

void ConfigEngine::dispatch(const PeerLinkPtr &From, MessageType Type,
                            ByteView Body) {
  const TimePoint Time = Clock::now();
  switch (Type) {
  case MessageType::ConfigDigest:
    this->sendAll(From,
                  this->Gossip.onDigest(decode<ConfigDigest>(Body), Time));
    break;
  case MessageType::ConfigPull:
    ++this->CurrentStatus.Pulls;
    this->sendAll(From, this->Gossip.onPull(decode<ConfigPull>(Body)));
    break;
  case MessageType::ConfigDelta: {
    const auto Result =
        this->Gossip.onDelta(From->peerName(), decode<ConfigDelta>(Body), Time);
    this->sendAll(From, Result.Messages);
    if (Result.Advanced)
      this->onAdvanced();
    break;
  }
  case MessageType::RevisionReport:
    this->onReport(From, decode<RevisionReport>(Body));
    return;
  case MessageType::RevisionSummary:
    this->Tree.onSummary(decode<RevisionSummary>(Body));
    return;
  default:
    return;
  }
  this->publish();
}

void ConfigEngine::sendAll(const PeerLinkPtr &Back,
                           const ConfigMessages &Messages) {
  for (const ConfigMessage &Message : Messages) {
    if (!Message.To.empty())
      this->Send(Message.To, Message.Type, Message.Body);
    else if (Back)
      Back->send(Message.Type, Message.Body);
  }
}

void ConfigEngine::onAdvanced() {
  this->Gossip.onHeadAdvanced();
  this->Builder.update(this->State);
  const ConfigViewPtr View = this->Builder.view();
  {
    const std::lock_guard Lock(this->PublishedMutex);
    this->PublishedView = View;
    this->PublishedState = std::make_shared<const ConfigState>(this->State);
  }
  this->publish();
  logEvent(event::ConfigInForce, "revision", View->Revision);
  this->sendAll(nullptr, this->Gossip.announceHead());
  for (const ChangeHandler &Handler : this->Handlers)
    Handler(View);
  this->reportRevision();
}

void ConfigEngine::publish() {
  this->CurrentStatus.Peers = this->Peers.size();
  const std::lock_guard Lock(this->PublishedMutex);
  this->PublishedFreshness = this->Gossip.freshness();
  this->PublishedStatus = this->CurrentStatus;
}

asio::awaitable<void> ConfigEngine::sleep(Duration Time) {
  if (this->Stopped)
    co_return;
  asio::steady_timer Timer(this->Strand, Time);
  this->Timers.insert(&Timer);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  this->Timers.erase(&Timer);
}

asio::awaitable<void> ConfigEngine::digestLoop(Self This) {
  while (!This->Stopped) {
    This->sendAll(nullptr, This->Gossip.tick(Clock::now()));
    This->publish();
    // A process without a configuration sends digests more often.
    const Duration Period = This->State.head().Revision == 0
                                ? This->Settings.DigestPeriod / 4
                                : This->Settings.DigestPeriod;
    co_await This->sleep(Period);
  }
}

ConfigViewPtr ConfigEngine::view() const {
  const std::lock_guard Lock(this->PublishedMutex);
  return this->PublishedView;
}

std::shared_ptr<const ConfigState> ConfigEngine::state() const {
  const std::lock_guard Lock(this->PublishedMutex);
  return this->PublishedState;
}

bool ConfigEngine::hasFreshConfig(TimePoint Time) const {
  const std::lock_guard Lock(this->PublishedMutex);
  return this->PublishedFreshness.hasFreshConfig(Time);
}

bool ConfigEngine::hasSeenEmptyStore() const {
  const std::lock_guard Lock(this->PublishedMutex);
  return this->PublishedFreshness.hasSeenEmptyStore();
}

json::value ConfigEngine::dump(TimePoint Time) const {
  const std::lock_guard Lock(this->PublishedMutex);
  const ConfigHead &Head = this->PublishedState->head();
  const PlatformCalls Calls = this->PlatformStore.calls();
  json::object Documents;
  for (const auto &[Name, Document] : this->PublishedState->documents())
    if (!Document->Removed)
      Documents[Name] = Document->Revision;
  return {{"revision", Head.Revision},
          {"epoch", Head.Epoch},
          {"proposal", Head.ProposalId},
          {"lineage", Head.Lineage},
          {"attested", this->PublishedFreshness.hasFreshConfig(Time)},
          {"confirmations", this->PublishedFreshness.confirmations(Time)},
          {"watching", this->PublishedStatus.Watching},
          {"store", this->PublishedStatus.StoreStatus},
          {"store_calls",
           {{"reads", Calls.Reads},
            {"writes", Calls.Writes},
            {"watches", Calls.Watches},
            {"failed", Calls.Failed}}},
          {"accepted_here", this->PublishedStatus.Accepted},
          {"repairs_here", this->PublishedStatus.Repairs},
          {"pulls_served", this->PublishedStatus.Pulls},
          {"peers", this->PublishedStatus.Peers},
          {"collection", this->PublishedStatus.Collection},
          {"documents", std::move(Documents)}};
}

} // namespace citronlever
