#include "citronlever/src/Entry/internal/QuerySession.h"

#include <atomic>

namespace citronlever {

std::optional<QueryPlan>
planRequest(EntryCore &Core, const RequestContext &Request,
            std::shared_ptr<const Service> ServiceConfig,
            const ConfigViewPtr &Config, std::string_view ExcludedSnapshot,
            TimePoint Now) {
  if (ServiceConfig->Snapshots.empty())
    return std::nullopt;
  const Snapshot &Newest = ServiceConfig->Snapshots.front();
  if (Newest.Id == ExcludedSnapshot || Newest.Shards.empty())
    return std::nullopt;
  const std::shared_ptr<const Ownership> Owners =
      Core.Owners.get(Core.Members(), Config);
  QueryPlan Plan =
      Request.Spec.Idempotent
          ? planAllShards(std::move(ServiceConfig), Newest, Request.Version,
                          *Owners)
          : planSingleShard(std::move(ServiceConfig), Newest, Request.Version,
                            Request.RoutingKey, *Owners);
  Core.Health.moveUnhealthyLast(Plan, Now);
  return Plan;
}

QuerySession::QuerySession(std::shared_ptr<EntryCore> SharedCore,
                           RequestContext Context, QueryPlan Plan, Handler Done)
    : Core(std::move(SharedCore)), Request(std::move(Context)),
      Done(std::move(Done)),
      Run(Request.Spec, std::move(Plan), Core->Ids, this->makeLookups(),
          Core->Settings.Times, Core->Settings.Policy),
      Timer(Core->Context) {
  this->Core->InFlight.fetch_add(1);
}

QueryLookups QuerySession::makeLookups() {
  QueryLookups Lookups;
  Lookups.NewerPlan =
      [this](const std::string &Pinned) -> std::optional<QueryPlan> {
    const ConfigViewPtr Config = this->Core->Config();
    const auto Found = Config->Services.find(this->Request.Spec.Service);
    if (Found == Config->Services.end())
      return std::nullopt;
    this->Core->SnapshotRestarts.fetch_add(1, std::memory_order_relaxed);
    return planRequest(*this->Core, this->Request, Found->second, Config,
                       Pinned, Clock::now());
  };
  Lookups.BrokerByName =
      [this](std::string_view Name) -> std::optional<BrokerTarget> {
    const MemberViewPtr Members = this->Core->Members();
    const Member *Found = Members->find(Name);
    if (!Found || Found->Kind != Role::Broker)
      return std::nullopt;
    // Called as a stand-by: the broker may not know yet that it owns the group,
    // as the broker that named it does.
    return BrokerTarget{Found->Name, Found->Peer, true};
  };
  Lookups.Candidates = [this](std::uint32_t Group) {
    const ConfigViewPtr Config = this->Core->Config();
    const std::shared_ptr<const Ownership> Owners =
        this->Core->Owners.get(this->Core->Members(), Config);
    return brokerTargets(*this->Run.plan().ServiceConfig, Group, *Owners);
  };
  return Lookups;
}

void QuerySession::start(TimePoint Now) {
  this->advance(
      [Now](QueryRun &Query, QueryActions &Out) { Query.start(Now, Out); });
}

void QuerySession::advance(const RunStep &Step) {
  QueryActions Actions;
  {
    const std::lock_guard Lock(this->Mutex);
    Step(this->Run, Actions);
    this->updateRegistration();
    this->armTimer();
  }
  this->perform(Actions);
}

void QuerySession::updateRegistration() {
  const RequestId Now = this->Run.id();
  if (this->Registered == Now && !this->Run.isFinished())
    return;
  if (this->Registered != RequestId())
    this->Core->Sessions.with(this->Registered,
                              [&](auto &Map) { Map.erase(this->Registered); });
  this->Registered = RequestId();
  if (this->FirstId == RequestId())
    this->FirstId = Now;
  if (this->Run.isFinished())
    return;
  this->Core->Sessions.with(
      Now, [&](auto &Map) { Map[Now] = this->shared_from_this(); });
  this->Registered = Now;
}

void QuerySession::armTimer() {
  if (this->Run.isFinished()) {
    this->Timer.cancel();
    return;
  }
  const TimePoint Wake = this->Run.nextWake();
  if (Wake == this->TimerExpiry)
    return;
  this->TimerExpiry = Wake;
  this->Timer.expires_at(Wake);
  this->Timer.async_wait(
      [Self = this->shared_from_this()](boost::system::error_code Failure) {
        if (Failure)
          return;
        Self->advance([&](QueryRun &Query, QueryActions &Out) {
          Self->TimerExpiry = TimePoint{};
          Query.tick(Clock::now(), Out);
        });
      });
}

void QuerySession::perform(const QueryActions &Actions) {
  for (const QueryAction &Next : Actions)
    std::visit([this](const auto &Action) { this->perform(Action); }, Next);
}

void QuerySession::perform(const SendCall &Call) {
  if (Call.To.StandBy)
    this->Core->StandByCalls.fetch_add(1, std::memory_order_relaxed);
  if (const PeerLinkPtr Link = this->Core->Hub.link(Call.To.Peer))
    this->sendCall(Call, Link);
  else
    this->connect(Call);
}

void QuerySession::connect(const SendCall &Call) {
  // Whichever comes first, link or timeout, completes the call.
  const auto Completed = std::make_shared<std::atomic<bool>>(false);
  const auto Timeout = std::make_shared<boost::asio::steady_timer>(
      this->Core->Context, this->Core->Settings.ConnectTimeout);
  Timeout->async_wait([Self = this->shared_from_this(), Call, Completed,
                       Timeout](boost::system::error_code) {
    if (Completed->exchange(true))
      return;
    Self->Core->Health.recordUnreachable(Call.To.Name, Clock::now());
    Self->reportNotSent(Call);
  });
  this->Core->Hub.withLink(Call.To.Peer, [Self = this->shared_from_this(), Call,
                                          Completed,
                                          Timeout](const PeerLinkPtr &Link) {
    if (Completed->exchange(true))
      return;
    if (Link) {
      Self->sendCall(Call, Link);
      return;
    }
    Self->Core->Health.recordUnreachable(Call.To.Name, Clock::now());
    Self->reportNotSent(Call);
  });
}

void QuerySession::sendCall(const SendCall &Call, const PeerLinkPtr &Link) {
  std::optional<BrokerCall> Message;
  {
    const std::lock_guard Lock(this->Mutex);
    Message = this->Run.claimCall(Call, Link->id(), Clock::now());
    this->Links.push_back(Link);
  }
  if (!Message)
    return;
  const SendResult Sent = Link->send(MessageType::BrokerCall, encode(*Message));
  if (Sent != SendResult::Queued)
    this->reportNotSent(Call);
}

void QuerySession::reportNotSent(const SendCall &Call) {
  this->advance([&](QueryRun &Query, QueryActions &Out) {
    Query.onNotSent(Call, Clock::now(), Out);
  });
}

void QuerySession::perform(const SendCancel &Cancel) {
  PeerLinkPtr Link;
  {
    const std::lock_guard Lock(this->Mutex);
    for (const PeerLinkPtr &Candidate : this->Links)
      if (Candidate->id() == Cancel.LinkId)
        Link = Candidate;
  }
  if (Link)
    Link->send(MessageType::CancelCall, encode(Cancel.Call));
}

void QuerySession::perform(const Finish &End) {
  const TimePoint Now = Clock::now();
  const std::vector<UnansweredCall> *Unanswered = nullptr;
  {
    const std::lock_guard Lock(this->Mutex);
    Unanswered = &this->Run.unansweredCalls();
  }
  // A broker that is alive but answers too late is overloaded, and so is an
  // entry that notices the deadline too late.
  for (const UnansweredCall &Call : *Unanswered)
    if (!this->Core->Health.recordUnanswered(Call.Broker, Call.SentAt, Call.Due,
                                             Now))
      this->AffectedByLoad = true;
  this->Core->AdmissionControl.recordCompletion(this->Request.Spec.Service,
                                                this->AffectedByLoad, Now);
  this->Core->Metrics.recordAnswer(this->Request.Spec.Service,
                                   this->Request.Spec.Route, End.Result,
                                   Now - this->Request.Received, Now);
  this->Core->CallBudget.settle(this->Request.Spec.Service,
                                this->Request.Reservation,
                                End.Result.LeafCalls);
  this->Request.Ticket = AdmissionTicket();
  this->Done(this->FirstId, End.Result);
  this->Core->InFlight.fetch_sub(1);
}

void QuerySession::onReply(const PeerLinkPtr &From, BrokerReply Reply,
                           TimePoint Now) {
  const bool Shed = Reply.Shed > 0 || Reply.Status == BrokerStatus::Overloaded;
  bool Accepted = false;
  this->advance([&](QueryRun &Query, QueryActions &Out) {
    // Must be set before the reply is handled, which may finish the request.
    this->AffectedByLoad = this->AffectedByLoad || Shed;
    Accepted = Query.onReply(From->id(), std::move(Reply), Now, Out);
  });
  if (!Accepted)
    this->Core->StrayReplies.fetch_add(1, std::memory_order_relaxed);
}

void QuerySession::onCancelReply(const PeerLinkPtr &From,
                                 const CancelReply &Reply, TimePoint Now) {
  this->advance([&](QueryRun &Query, QueryActions &Out) {
    Query.onCancelReply(From->id(), Reply, Now, Out);
  });
}

void QuerySession::onLinkDown(std::uint64_t LinkId, TimePoint Now) {
  this->advance([&](QueryRun &Query, QueryActions &Out) {
    Query.onLinkDown(LinkId, Now, Out);
  });
}

void QuerySession::onCallerGone() {
  this->advance(
      [](QueryRun &Query, QueryActions &Out) { Query.onCallerGone(Out); });
}

} // namespace citronlever
