#include "citronlever/src/Entry/internal/EntryState.h"

#include "citronlever/src/Core/Event.h"
#include "citronlever/src/Entry/Discovery.h"

#include <boost/json.hpp>

namespace citronlever {

namespace {

/// Longest time between two updates of the fleet when no view has changed.
constexpr Duration FleetUpdatePeriod = Seconds(1);
constexpr int ServiceUnavailable = 503;
/// Delay before a request is retried that arrived before its customer's first
/// grant.
constexpr Duration GrantRetryDelay = Milliseconds(5);
/// Such a request waits for at most 1/GrantWaitDivisor of the time it has.
constexpr int GrantWaitDivisor = 2;
constexpr std::size_t MaxPendingRequests = 1000;

HttpResponse responseOf(const std::string &Id, const Answer &Result) {
  HttpResponse Response;
  Response.Status = httpStatus(Result);
  Response.Headers.set("X-Request-Id", Id);
  Response.Headers.set("X-Verdict", toString(Result.Outcome));
  if (!Result.Snapshot.empty())
    Response.Headers.set("X-Snapshot", Result.Snapshot);
  if (!Result.Version.empty())
    Response.Headers.set("X-Version", Result.Version);
  if (Result.TotalShards > 0)
    Response.Headers.set("X-Coverage", std::to_string(Result.AnsweredShards) +
                                           "/" +
                                           std::to_string(Result.TotalShards));
  Response.Body = jsonBody(Result);
  return Response;
}

} // namespace

template <class Function>
void EntryServer::State::withSession(const RequestId &Id, Function Use) {
  std::shared_ptr<QuerySession> Session;
  this->Core->Sessions.with(Id, [&](auto &Map) {
    const auto Found = Map.find(Id);
    if (Found != Map.end())
      Session = Found->second;
  });
  if (Session)
    Use(*Session);
  else
    this->Core->StrayReplies.fetch_add(1, std::memory_order_relaxed);
}

void EntryServer::State::onLinkDown(std::uint64_t LinkId) {
  std::vector<std::shared_ptr<QuerySession>> All;
  this->Core->Sessions.forEach(
      [&](const RequestId &, const std::shared_ptr<QuerySession> &Session) {
        All.push_back(Session);
      });
  for (const std::shared_ptr<QuerySession> &Session : All)
    Session->onLinkDown(LinkId, Clock::now());
}

void EntryServer::State::registerHandlers() {
  PeerHub &Hub = this->Core->Hub;
  const std::weak_ptr<State> Weak = this->weak_from_this();
  const auto With = [Weak](auto Use) {
    return [Weak, Use](const PeerLinkPtr &From, ByteView Body) {
      if (const auto Self = Weak.lock())
        Use(*Self, From, Body);
    };
  };
  Hub.handle(MessageType::BrokerReply,
             With([](State &Self, const PeerLinkPtr &From, ByteView Body) {
               BrokerReply Reply = decode<BrokerReply>(Body);
               const RequestId Id = Reply.Id;
               Self.Core->Health.recordMessage(From->peerName(), Clock::now());
               Self.withSession(Id, [&](QuerySession &Session) {
                 Session.onReply(From, std::move(Reply), Clock::now());
               });
             }));
  Hub.handle(MessageType::CancelReply,
             With([](State &Self, const PeerLinkPtr &From, ByteView Body) {
               const CancelReply Reply = decode<CancelReply>(Body);
               Self.Core->Health.recordMessage(From->peerName(), Clock::now());
               Self.withSession(Reply.Id, [&](QuerySession &Session) {
                 Session.onCancelReply(From, Reply, Clock::now());
               });
             }));
  Hub.handle(MessageType::DemandReport,
             With([](State &Self, const PeerLinkPtr &From, ByteView Body) {
               Self.Shares.onReport(From, Body, Clock::now());
             }));
  Hub.handle(MessageType::ShareGrant,
             With([](State &Self, const PeerLinkPtr &From, ByteView Body) {
               Self.Shares.onGrant(From, Body, Clock::now());
             }));
  Hub.onDown([Weak](const PeerLinkPtr &Link) {
    if (const auto Self = Weak.lock())
      Self->onLinkDown(Link->id());
  });
}

std::uint16_t EntryServer::State::listen() {
  this->Filters.emplace(
      DrainFilter{&this->Refusing}, ParseFilter(), CustomerFilter(),
      DeadlineFilter(), AdmissionFilter{&this->Core->AdmissionControl},
      VersionFilter{this->HealthLookup, &this->Core->CallBudget});
  this->updateFleet(Clock::now());
  const std::weak_ptr<State> Weak = this->weak_from_this();
  this->Server = std::make_unique<HttpServer>(
      this->Core->Context, HttpServerSettings(),
      [Weak](const std::shared_ptr<const HttpRequest> &Request,
             const HttpReply &Reply) {
        if (const auto Self = Weak.lock())
          Self->serve(Request, Reply);
      });
  const std::uint16_t Port = this->Server->listen(this->Core->Settings.Callers);
  this->scheduleTick();
  return Port;
}

void EntryServer::State::serve(
    const std::shared_ptr<const HttpRequest> &Request, const HttpReply &Reply) {
  const std::string_view Path = Request->path();
  if (Request->Method == "GET" && Path == "/v1/health")
    this->serveHealth(Reply);
  else if (Request->Method == "GET" && Path == "/v1/entries")
    this->serveDiscovery(*Request, Reply);
  else
    // Subtracts the time that the request probably waited unread.
    this->serveRequest(Request, Reply,
                       Clock::now() - this->Core->EventLoopDelay.mean());
}

bool EntryServer::State::isDiscoverable() const {
  return !this->Leaving && this->Discoverable &&
         !this->Core->Members()->Isolated;
}

void EntryServer::State::serveHealth(const HttpReply &Reply) {
  HttpResponse Response;
  const bool Serving = this->isDiscoverable();
  Response.Status = Serving ? 200 : ServiceUnavailable;
  Response.Body =
      Serving ? "{\"state\":\"serving\"}" : "{\"state\":\"leaving\"}";
  this->reply(Reply, {}, std::move(Response));
}

std::vector<std::string>
EntryServer::State::discover(std::string_view Customer) {
  const ConfigViewPtr Config = this->Core->Config();
  const MemberViewPtr Members = this->Core->Members();
  const auto Found = Config->Contracts.find(Customer);
  Contract Unknown;
  Unknown.Customer = std::string(Customer);
  const Contract &Terms =
      Found == Config->Contracts.end() ? Unknown : Found->second;
  std::vector<std::string> Live = servingEntries(*Members, *Config);
  if (!this->isDiscoverable())
    std::erase(Live, this->Core->Settings.Name);
  const ShareSettings &Settings = this->Core->Settings.Shares;
  const std::size_t Count = entryCount(Terms, Live.size(), Settings);
  return callerAddresses(
      *Members, chooseEntries(Terms.Customer, Live, Count),
      this->DiscoveryRotation.fetch_add(1, std::memory_order_relaxed));
}

void EntryServer::State::serveDiscovery(const HttpRequest &Request,
                                        const HttpReply &Reply) {
  HttpResponse Response;
  Response.Body =
      jsonBody(DiscoveryAnswer{this->discover(Request.query("customer")),
                               this->Core->Settings.DiscoveryTtl});
  this->reply(Reply, {}, std::move(Response));
}

void EntryServer::State::reply(const HttpReply &Reply,
                               std::string_view Customer, HttpResponse Response,
                               bool ListEntries) {
  if (this->Leaving)
    Response.Close = true;
  if (this->Leaving || ListEntries) {
    std::string Others;
    for (const std::string &Address : this->discover(Customer))
      Others += (Others.empty() ? "" : ",") + Address;
    Response.Headers.set("X-Entries", Others);
  }
  Reply(std::move(Response));
}

void EntryServer::State::serveRequest(
    const std::shared_ptr<const HttpRequest> &Request, const HttpReply &Reply,
    TimePoint Received) {
  const TimePoint Now = Clock::now();
  RequestContext Context;
  Context.Request = Request;
  Context.Received = Received;
  Context.Config = this->Core->Config();
  const std::optional<Answer> Refused = this->Filters->apply(Context, Now);
  const auto Answered = [Self = this->shared_from_this(), Request, Reply,
                         Unassigned = Context.Unassigned](
                            const RequestId &Id, const Answer &Result) {
    Self->reply(Reply, Request->Headers.get("X-Customer"),
                responseOf(toString(Id), Result), Unassigned);
  };
  if (Refused) {
    if (this->retryWhileGrantPending(Context, Reply, Now))
      return;
    this->Core->Metrics.recordOutcome(Refused->Error);
    Answered(this->Core->Ids.next(), *Refused);
    return;
  }
  if (!Context.Spec.Idempotent && Context.Spec.RequestKey.empty())
    // Without a key, two requests with equal bodies are different requests.
    Context.RoutingKey = toString(this->Core->Ids.next());
  std::optional<QueryPlan> Plan = planRequest(
      *this->Core, Context, Context.ServiceConfig, Context.Config, {}, Now);
  if (!Plan) {
    this->Core->CallBudget.settle(Context.Spec.Service, Context.Reservation, 0);
    this->Core->Metrics.recordOutcome(EntryError::NoBroker);
    Answered(
        this->Core->Ids.next(),
        refusalAnswer(EntryError::NoBroker, "the service has no snapshot"));
    return;
  }
  const auto Session = std::make_shared<QuerySession>(
      this->Core, std::move(Context), std::move(*Plan), Answered);
  Session->start(Now);
  if (Request->Caller)
    Request->Caller->onDisconnect([Weak = std::weak_ptr(Session)] {
      if (const auto Running = Weak.lock())
        Running->onCallerGone();
    });
}

bool EntryServer::State::retryWhileGrantPending(const RequestContext &Context,
                                                const HttpReply &Reply,
                                                TimePoint Now) {
  const Duration Given = Context.Spec.Deadline - Context.Received;
  if (!Context.GrantPending ||
      Now + GrantRetryDelay >= Context.Received + Given / GrantWaitDivisor)
    return false;
  if (this->PendingRequests.fetch_add(1) >= MaxPendingRequests) {
    this->PendingRequests.fetch_sub(1);
    return false;
  }
  const auto Pause = std::make_shared<boost::asio::steady_timer>(
      this->Core->Context, GrantRetryDelay);
  Pause->async_wait([Self = this->shared_from_this(), Pause, Reply,
                     Request = Context.Request,
                     Received = Context.Received](boost::system::error_code) {
    Self->PendingRequests.fetch_sub(1);
    Self->serveRequest(Request, Reply, Received);
  });
  return true;
}

void EntryServer::State::scheduleTick() {
  this->Timer.expires_after(LoopDelay::Period);
  this->Timer.async_wait(
      [Weak = this->weak_from_this()](boost::system::error_code Failure) {
        const auto Self = Weak.lock();
        if (Failure || !Self || Self->Stopped)
          return;
        const TimePoint Now = Clock::now();
        Self->Core->EventLoopDelay.record(Self->Timer.expiry(), Now);
        Self->tick(Now);
        Self->scheduleTick();
      });
}

void EntryServer::State::updateFleet(TimePoint Now) {
  const MemberViewPtr Members = this->Core->Members();
  const ConfigViewPtr Config = this->Core->Config();
  const bool Same = Members == this->FleetMembers &&
                    Config == this->FleetConfig && Now < this->NextFleetUpdate;
  if (Same)
    return;
  this->FleetMembers = Members;
  this->FleetConfig = Config;
  this->NextFleetUpdate = Now + FleetUpdatePeriod;
  this->Core->AdmissionControl.setFleet(
      servingEntries(*Members, *Config),
      this->Visibility.update(knownEntryCount(*Members), Now));
}

void EntryServer::State::tick(TimePoint Now) {
  this->updateFleet(Now);
  this->Shares.tick(Now);
  const bool Refused = this->Refusing;
  std::function<void()> Done;
  {
    const std::lock_guard Lock(this->LifecycleMutex);
    // The server counts answers that are being written as well.
    const std::size_t Unwritten =
        this->Server ? this->Server->counters().InFlight : 0;
    this->Lifecycle.tick(
        std::max(this->Core->InFlight + this->PendingRequests, Unwritten), Now);
    const EntryPhase Phase = this->Lifecycle.phase();
    this->Refusing = Phase >= EntryPhase::Refusing;
    if (Phase == EntryPhase::Stopped)
      Done = std::exchange(this->OnDrained, nullptr);
  }
  if (this->Refusing && !Refused) {
    this->Core->AdmissionControl.close(Now);
    this->Shares.tick(Now);
  }
  if (Done)
    Done();
}

Duration EntryServer::State::longestDeadline() const {
  Duration Longest{};
  for (const auto &[Customer, Terms] : this->Core->Config()->Contracts)
    Longest = std::max(Longest, Terms.Deadline);
  return Longest;
}

void EntryServer::State::drain(std::function<void()> Done) {
  {
    const std::lock_guard Lock(this->LifecycleMutex);
    this->OnDrained = std::move(Done);
    this->Lifecycle.drain(this->longestDeadline(), Clock::now());
  }
  this->Leaving = true;
  if (this->Server)
    this->Server->drain();
  logEvent(event::EntryLeaving, this->Core->Settings.Name);
}

void EntryServer::State::stop() {
  this->Stopped = true;
  this->Timer.cancel();
  if (this->Server)
    this->Server->stop();
}

} // namespace citronlever
