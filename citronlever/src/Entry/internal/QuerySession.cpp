#include "citronlever/src/Entry/internal/QuerySession.h"

#include <atomic>

namespace citronlever {

std::optional<QueryPlan> planRequest(EntryCore &Core,
                                     const RequestContext &Request,
                                     std::shared_ptr<const Service> Target,
                                     const ConfigViewPtr &Config,
                                     std::string_view Not, TimePoint Now) {
  if (Target->Snapshots.empty())
    return std::nullopt;
  const Snapshot &Newest = Target->Snapshots.front();
  if (Newest.Id == Not || Newest.Shards.empty())
    return std::nullopt;
  const std::shared_ptr<const Ownership> Owners =
      Core.Owners.get(Core.Members(), Config);
  QueryPlan Plan =
      Request.Spec.Idempotent
          ? planQuery(std::move(Target), Newest, Request.Version, *Owners)
          : planSingle(std::move(Target), Newest, Request.Version,
                       Request.Identity, *Owners);
  Core.Health.reorder(Plan, Now);
  return Plan;
}

QuerySession::QuerySession(std::shared_ptr<EntryCore> Base,
                           RequestContext Context, QueryPlan Plan, Handler Done)
    : Core(std::move(Base)), Request(std::move(Context)), Done(std::move(Done)),
      Run(Request.Spec, std::move(Plan), Core->Ids, this->makeLookups(),
          Core->Settings.Times, Core->Settings.Policy),
      Timer(Core->Context) {
  this->Core->InFlight.fetch_add(1);
}

QueryLookups QuerySession::makeLookups() {
  QueryLookups Lookups;
  Lookups.Newer =
      [this](const std::string &Pinned) -> std::optional<QueryPlan> {
    const ConfigViewPtr Config = this->Core->Config();
    const auto Found = Config->Services.find(this->Request.Spec.Service);
    if (Found == Config->Services.end())
      return std::nullopt;
    this->Core->Restarts.fetch_add(1, std::memory_order_relaxed);
    return planRequest(*this->Core, this->Request, Found->second, Config,
                       Pinned, Clock::now());
  };
  Lookups.Broker =
      [this](std::string_view Name) -> std::optional<BrokerTarget> {
    const MemberViewPtr Members = this->Core->Members();
    const Member *Found = Members->find(Name);
    if (!Found || Found->Kind != Role::Broker)
      return std::nullopt;
    // It may not know yet that it owns the group: the one that named it does.
    return BrokerTarget{Found->Name, Found->Peer, true};
  };
  Lookups.Candidates = [this](std::uint32_t Group) {
    const ConfigViewPtr Config = this->Core->Config();
    const std::shared_ptr<const Ownership> Owners =
        this->Core->Owners.get(this->Core->Members(), Config);
    return targetsOf(*this->Run.plan().Target, Group, *Owners);
  };
  return Lookups;
}

void QuerySession::start(TimePoint Now) {
  this->drive(
      [Now](QueryRun &Query, QueryActions &Out) { Query.start(Now, Out); });
}

void QuerySession::drive(const Step &Use) {
  QueryActions Actions;
  {
    const std::lock_guard Lock(this->Mutex);
    Use(this->Run, Actions);
    this->updateRegistration();
    this->armTimer();
  }
  this->perform(Actions);
}

void QuerySession::updateRegistration() {
  const RequestId Now = this->Run.id();
  if (this->Registered == Now && !this->Run.finished())
    return;
  if (this->Registered != RequestId())
    this->Core->Running.with(this->Registered,
                             [&](auto &Map) { Map.erase(this->Registered); });
  this->Registered = RequestId();
  if (this->FirstId == RequestId())
    this->FirstId = Now;
  if (this->Run.finished())
    return;
  this->Core->Running.with(
      Now, [&](auto &Map) { Map[Now] = this->shared_from_this(); });
  this->Registered = Now;
}

void QuerySession::armTimer() {
  if (this->Run.finished()) {
    this->Timer.cancel();
    return;
  }
  const TimePoint Wake = this->Run.nextWake();
  if (Wake == this->Armed)
    return;
  this->Armed = Wake;
  this->Timer.expires_at(Wake);
  this->Timer.async_wait(
      [Self = this->shared_from_this()](boost::system::error_code Failure) {
        if (Failure)
          return;
        Self->drive([&](QueryRun &Query, QueryActions &Out) {
          Self->Armed = TimePoint{};
          Query.tick(Clock::now(), Out);
        });
      });
}

void QuerySession::perform(const QueryActions &Actions) {
  for (const QueryAction &Each : Actions)
    std::visit([this](const auto &Action) { this->perform(Action); }, Each);
}

void QuerySession::perform(const SendCall &Call) {
  if (Call.To.StandBy)
    this->Core->StandByCalls.fetch_add(1, std::memory_order_relaxed);
  if (const PeerLinkPtr Link = this->Core->Hub.link(Call.To.Peer))
    this->hand(Call, Link);
  else
    this->connect(Call);
}

void QuerySession::connect(const SendCall &Call) {
  // Whichever comes first, the link or the end of patience, settles the call.
  const auto Settled = std::make_shared<std::atomic<bool>>(false);
  const auto Patience = std::make_shared<boost::asio::steady_timer>(
      this->Core->Context, this->Core->Settings.ConnectPatience);
  Patience->async_wait([Self = this->shared_from_this(), Call, Settled,
                        Patience](boost::system::error_code) {
    if (Settled->exchange(true))
      return;
    Self->Core->Health.unreachable(Call.To.Name, Clock::now());
    Self->reject(Call);
  });
  this->Core->Hub.withLink(Call.To.Peer, [Self = this->shared_from_this(), Call,
                                          Settled,
                                          Patience](const PeerLinkPtr &Link) {
    if (Settled->exchange(true))
      return;
    if (Link) {
      Self->hand(Call, Link);
      return;
    }
    Self->Core->Health.unreachable(Call.To.Name, Clock::now());
    Self->reject(Call);
  });
}

void QuerySession::hand(const SendCall &Call, const PeerLinkPtr &Link) {
  std::optional<BrokerCall> Message;
  {
    const std::lock_guard Lock(this->Mutex);
    Message = this->Run.claim(Call, Link->id(), Clock::now());
    this->Links.push_back(Link);
  }
  if (!Message)
    return;
  const SendResult Sent = Link->send(MessageType::BrokerCall, encode(*Message));
  if (Sent != SendResult::Queued)
    this->reject(Call);
}

void QuerySession::reject(const SendCall &Call) {
  this->drive([&](QueryRun &Query, QueryActions &Out) {
    Query.notSent(Call, Clock::now(), Out);
  });
}

void QuerySession::perform(const SendCancel &Cancel) {
  PeerLinkPtr Link;
  {
    const std::lock_guard Lock(this->Mutex);
    for (const PeerLinkPtr &Each : this->Links)
      if (Each->id() == Cancel.Link)
        Link = Each;
  }
  if (Link)
    Link->send(MessageType::CancelCall, encode(Cancel.Call));
}

void QuerySession::perform(const Finish &End) {
  const TimePoint Now = Clock::now();
  const std::vector<UnansweredCall> *Open = nullptr;
  {
    const std::lock_guard Lock(this->Mutex);
    Open = &this->Run.unanswered();
  }
  // A broker that is alive but answers too late is loaded, and so is an entry
  // that notices too late.
  for (const UnansweredCall &Each : *Open)
    if (!this->Core->Health.unanswered(Each.Broker, Each.SentAt, Each.Due, Now))
      this->LostToLoad = true;
  this->Core->Admitted.recordCompletion(this->Request.Spec.Service,
                                        this->LostToLoad, Now);
  this->Core->Metrics.noteAnswer(this->Request.Spec.Service,
                                 this->Request.Spec.Route, End.Result,
                                 Now - this->Request.Received, Now);
  this->Core->Versions.settle(this->Request.Spec.Service, this->Request.Held,
                              End.Result.LeafCalls);
  this->Request.Ticket = AdmissionTicket();
  this->Done(this->FirstId, End.Result);
  this->Core->InFlight.fetch_sub(1);
}

void QuerySession::onReply(const PeerLinkPtr &From, BrokerReply Reply,
                           TimePoint Now) {
  const bool Shed = Reply.Shed > 0 || Reply.Status == BrokerStatus::Overloaded;
  bool Taken = false;
  this->drive([&](QueryRun &Query, QueryActions &Out) {
    // Before the reply, which may end the request.
    this->LostToLoad = this->LostToLoad || Shed;
    Taken = Query.reply(From->id(), std::move(Reply), Now, Out);
  });
  if (!Taken)
    this->Core->StrayReplies.fetch_add(1, std::memory_order_relaxed);
}

void QuerySession::onCancelReply(const PeerLinkPtr &From,
                                 const CancelReply &Reply, TimePoint Now) {
  this->drive([&](QueryRun &Query, QueryActions &Out) {
    Query.cancelled(From->id(), Reply, Now, Out);
  });
}

void QuerySession::onDown(std::uint64_t Link, TimePoint Now) {
  this->drive([&](QueryRun &Query, QueryActions &Out) {
    Query.linkDown(Link, Now, Out);
  });
}

void QuerySession::onCallerGone() {
  this->drive(
      [](QueryRun &Query, QueryActions &Out) { Query.callerGone(Out); });
}

} // namespace citronlever
