#include "test/standins/LeafProcess.h"

#include "test/standins/LeafData.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <charconv>

namespace citronlever::standin {

namespace {

constexpr std::int64_t DefaultDeadlineMs = 10000;
constexpr std::size_t DefaultLimit = 10;
constexpr Duration StallTime = std::chrono::hours(1);

std::string header(const HttpRequest &Request, std::string_view Name) {
  const auto Found = Request.find(Name);
  return Found == Request.end() ? std::string() : std::string(Found->value());
}

std::int64_t numberHeader(const HttpRequest &Request, std::string_view Name,
                          std::int64_t Default) {
  const std::string Text = header(Request, Name);
  std::int64_t Result = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Result;
}

json::object toJson(const std::map<std::string, std::uint64_t> &Map) {
  json::object Result;
  for (const auto &[Name, Value] : Map)
    Result[Name] = Value;
  return Result;
}

} // namespace

LeafProcess::LeafProcess(net::io_context &Context, LeafIdentity Identity,
                         LeafBehaviour Behaviour)
    : Context(Context), Identity(std::move(Identity)),
      Behaviour(std::move(Behaviour)), Admission(this->Behaviour),
      Random(this->Identity.Seed), VersionChangedAt(Clock::now()) {}

std::uint16_t LeafProcess::listen(std::uint16_t RequestedPort) {
  if (!this->Server)
    this->Server =
        std::make_shared<HttpServer>(this->Context, this->shared_from_this());
  this->Port = this->Server->listen(RequestedPort);
  return this->Port;
}

bool LeafProcess::drawChance(double Share) {
  return Share > 0 &&
         std::uniform_real_distribution<double>(0, 1)(this->Random) < Share;
}

bool LeafProcess::admitConnection(std::size_t OpenConnections) {
  if (OpenConnections >=
      static_cast<std::size_t>(this->Behaviour.Connections)) {
    ++this->Count.RejectedConnections;
    return false;
  }
  ++this->Count.Accepted;
  this->Count.MaxConnections =
      std::max(this->Count.MaxConnections, OpenConnections + 1);
  return true;
}

net::awaitable<std::optional<HttpResponse>>
LeafProcess::handle(const HttpRequest &Request) {
  const RequestTarget Target(Request.target());
  if (Target.Path == "/health")
    co_return this->health();
  if (Target.Path.starts_with("/cancel/"))
    co_return this->cancel(Target.Path.substr(8));
  if (!Target.Path.starts_with("/leaf/") ||
      Request.method() != http::verb::post ||
      !this->Identity.Routes.contains(Target.Path.substr(6)))
    co_return emptyResponse(http::status::not_found);
  co_return co_await this->serveRoute(Request, Target.Path.substr(6));
}

net::awaitable<HttpResponse> LeafProcess::serveRoute(const HttpRequest &Request,
                                                     std::string Route) {
  RequestInfo Info;
  Info.Id = header(Request, "X-Request-Id");
  Info.Snapshot = header(Request, "X-Snapshot");
  Info.Key = header(Request, "X-Request-Key");
  Info.Shard = static_cast<std::uint32_t>(numberHeader(Request, "X-Shard", 0));
  Info.Idempotent = this->Identity.Routes.find(Route)->second;
  Info.Route = std::move(Route);

  ++this->Count.Requests;
  ++this->Count.BySnapshot[Info.Snapshot];
  this->Count.LastRequest = Clock::now();
  if (Info.Idempotent && !this->holdsShard(Info))
    co_return this->errorReply(Info, http::status::conflict, "not_run");

  auto State = std::make_shared<RequestState>(this->Context);
  if (!this->Behaviour.IgnoreDeadline)
    State->Deadline =
        Clock::now() +
        Milliseconds(numberHeader(Request, "X-Deadline-Ms", DefaultDeadlineMs));
  this->RunningRequests[Info.Id] = State;
  HttpResponse Reply = co_await this->processRequest(Request, Info, State);
  if (const auto Found = this->RunningRequests.find(Info.Id);
      Found != this->RunningRequests.end() && Found->second == State)
    this->RunningRequests.erase(Found);
  co_await this->injectReplyFault(Reply);
  co_return Reply;
}

net::awaitable<HttpResponse>
LeafProcess::processRequest(const HttpRequest &Request, const RequestInfo &Info,
                            RequestStatePtr State) {
  const AdmissionResult Admitted = co_await this->Admission.acquireSlot(State);
  if (Admitted != AdmissionResult::Granted)
    co_return this->errorReply(Info, Admitted);
  ++this->Count.ByVersion[this->Behaviour.Version];
  const bool Completed =
      co_await this->simulateService(this->serviceMs(Info), State);
  const bool Failed = Completed && this->drawFailure(Info);
  HttpResponse Reply =
      !Completed
          ? this->errorReply(Info, State->Cancelled ? AdmissionResult::Cancelled
                                                    : AdmissionResult::TimedOut)
      : Failed ? this->errorReply(Info, http::status::internal_server_error,
                                  "may_have_run")
               : this->completeRequest(Request, Info);
  this->Admission.releaseSlot(Completed && !Failed);
  co_return Reply;
}

net::awaitable<bool> LeafProcess::simulateService(double TimeMs,
                                                  RequestStatePtr State) {
  const TimePoint End =
      this->drawChance(this->Behaviour.StallShare)
          ? Clock::now() + StallTime
          : Clock::now() +
                std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double, std::milli>(TimeMs));
  while (!State->Cancelled && Clock::now() < std::min(End, State->Deadline)) {
    State->Timer.expires_at(std::min(End, State->Deadline));
    boost::system::error_code Interrupted;
    co_await State->Timer.async_wait(
        net::redirect_error(net::use_awaitable, Interrupted));
  }
  co_return !State->Cancelled && Clock::now() >= End;
}

bool LeafProcess::holdsShard(const RequestInfo &Info) const {
  const auto Found = this->Behaviour.Snapshots.find(Info.Snapshot);
  return Found != this->Behaviour.Snapshots.end() &&
         Found->second.contains(Info.Shard);
}

const VersionBehaviour *
LeafProcess::activeVersionFault(const RequestInfo &Info) const {
  const auto Found = this->Behaviour.Versions.find(this->Behaviour.Version);
  if (Found == this->Behaviour.Versions.end())
    return nullptr;
  const VersionBehaviour &Fault = Found->second;
  const bool AllSlotsInUse =
      this->Admission.activeRequests() >= this->Behaviour.Slots;
  const bool IsActive = Clock::now() >= this->VersionChangedAt + Fault.After &&
                        (!Fault.UnderLoad || AllSlotsInUse) &&
                        (Fault.Route.empty() || Fault.Route == Info.Route);
  return IsActive ? &Fault : nullptr;
}

double LeafProcess::serviceMs(const RequestInfo &Info) {
  double TimeMs = this->Behaviour.ServiceMs * this->Behaviour.SlowFactor;
  if (this->Behaviour.Exponential)
    TimeMs *= std::exponential_distribution<double>(1)(this->Random);
  if (this->drawChance(this->Behaviour.StragglerShare))
    TimeMs *= this->Behaviour.StragglerFactor;
  if (this->Admission.isCold(Clock::now()))
    TimeMs *= this->Behaviour.ColdSlowFactor;
  if (const VersionBehaviour *Fault = this->activeVersionFault(Info))
    TimeMs *= Fault->SlowFactor;
  return TimeMs;
}

bool LeafProcess::drawFailure(const RequestInfo &Info) {
  const VersionBehaviour *Fault = this->activeVersionFault(Info);
  return this->drawChance(this->Behaviour.FailShare) ||
         (Fault && this->drawChance(Fault->FailShare));
}

HttpResponse LeafProcess::completeRequest(const HttpRequest &Request,
                                          const RequestInfo &Info) {
  this->recordOutcome(Info, "ran");
  return Info.Idempotent ? this->rowsReply(Request, Info)
                         : this->createReply(Info);
}

HttpResponse LeafProcess::rowsReply(const HttpRequest &Request,
                                    const RequestInfo &Info) {
  std::string Query;
  std::size_t Limit = DefaultLimit;
  boost::system::error_code Failure;
  const json::value Body = json::parse(Request.body(), Failure);
  if (const json::object *Fields = Failure ? nullptr : Body.if_object()) {
    if (const auto *Text = Fields->if_contains("q"); Text && Text->is_string())
      Query = json::value_to<std::string>(*Text);
    if (const auto *LimitField = Fields->if_contains("limit");
        LimitField && LimitField->is_int64())
      Limit = static_cast<std::size_t>(LimitField->get_int64());
  }
  HttpResponse Reply = emptyResponse(http::status::ok);
  std::string Text = "{\"rows\":[";
  const char *Separator = "";
  for (const LeafRow &Row : leafRows(this->Identity.Service, Info.Snapshot,
                                     Info.Shard, Query, Limit)) {
    Text += Separator + leafRowJson(Row, Info.Snapshot, Info.Shard);
    Separator = ",";
  }
  Reply.body() = Text + "]}";
  Reply.set(http::field::content_type, "application/json");
  this->setReplyHeaders(Reply, Info);
  return Reply;
}

HttpResponse LeafProcess::createReply(const RequestInfo &Info) {
  ++this->Count.Creates;
  HttpResponse Reply = jsonResponse(
      http::status::ok,
      json::object{{"card", this->Identity.Id + "-" +
                                std::to_string(this->Count.Creates)},
                   {"key", Info.Key}});
  this->setReplyHeaders(Reply, Info);
  return Reply;
}

HttpResponse LeafProcess::errorReply(const RequestInfo &Info,
                                     http::status Status,
                                     std::string_view Verdict) {
  this->recordOutcome(Info, std::to_string(static_cast<unsigned>(Status)));
  HttpResponse Reply = jsonResponse(
      Status,
      json::object{{"error", std::string(http::obsolete_reason(Status))},
                   {"verdict", std::string(Verdict)}});
  Reply.set("X-Verdict", Verdict);
  if (this->Behaviour.Draining)
    Reply.set("X-Draining", "1");
  this->setReplyHeaders(Reply, Info);
  return Reply;
}

HttpResponse LeafProcess::errorReply(const RequestInfo &Info,
                                     AdmissionResult Reason) {
  switch (Reason) {
  case AdmissionResult::Cancelled:
    return this->errorReply(Info, static_cast<http::status>(499), "not_run");
  case AdmissionResult::TimedOut:
    return this->errorReply(Info, http::status::gateway_timeout, "not_run");
  case AdmissionResult::Overloaded:
    return this->errorReply(Info, http::status::internal_server_error,
                            "may_have_run");
  default:
    return this->errorReply(Info, http::status::service_unavailable, "not_run");
  }
}

void LeafProcess::setReplyHeaders(HttpResponse &Reply,
                                  const RequestInfo &Info) {
  Reply.set("X-Request-Id", Info.Id);
  Reply.set("X-Snapshot", Info.Snapshot);
  Reply.set("X-Shard", std::to_string(Info.Shard));
  Reply.set("X-Version", this->Behaviour.Version);
  Reply.set("X-Load", std::to_string(this->Admission.activeRequests()) + "/" +
                          std::to_string(this->Behaviour.Slots));
}

net::awaitable<void> LeafProcess::injectReplyFault(HttpResponse &Reply) {
  if (this->Behaviour.Fault == ReplyFault::None ||
      !this->drawChance(this->Behaviour.ReplyFaultShare))
    co_return;
  if (this->Behaviour.Fault == ReplyFault::WrongId)
    Reply.set("X-Request-Id", "ffffffffffffffff-ffffffffffffffff");
  if (this->Behaviour.Fault == ReplyFault::WrongSnapshot)
    Reply.set("X-Snapshot", "another");
  if (this->Behaviour.Fault == ReplyFault::Truncated)
    Reply.set("X-Fault", "truncated");
  if (this->Behaviour.Fault == ReplyFault::Doubled)
    Reply.set("X-Fault", "doubled");
  if (this->Behaviour.Fault == ReplyFault::Late)
    co_await sleepFor(this->Behaviour.ReplyFaultDelay);
}

std::size_t LeafProcess::bytesToSend(const HttpResponse &Reply,
                                     std::size_t FullSize) {
  const auto Fault = Reply.find("X-Fault");
  if (Fault == Reply.end())
    return FullSize;
  return Fault->value() == "doubled" ? FullSize * 2 : FullSize / 2;
}

HttpResponse LeafProcess::cancel(const std::string &Id) {
  ++this->Count.Cancels;
  const auto Found = this->RunningRequests.find(Id);
  if (Found != this->RunningRequests.end() && !this->Behaviour.IgnoreCancel) {
    Found->second->Cancelled = true;
    Found->second->Timer.cancel();
  }
  return jsonResponse(http::status::ok, json::object{});
}

HttpResponse LeafProcess::health() {
  const TimePoint Now = Clock::now();
  std::string State = this->Behaviour.Draining      ? "draining"
                      : this->Admission.isCold(Now) ? "cold"
                                                    : "ok";
  if (!this->Behaviour.ReportedHealth.empty())
    State = this->Behaviour.ReportedHealth;
  json::array SnapshotIds;
  for (const auto &Item : this->Behaviour.Snapshots)
    SnapshotIds.emplace_back(Item.first);
  json::value Health =
      json::object{{"state", State},
                   {"in_work", this->Admission.activeRequests()},
                   {"slots", this->Behaviour.Slots},
                   {"version", this->Behaviour.Version},
                   {"snapshots", SnapshotIds}};
  this->HealthHistory.emplace_back(Now, std::move(Health));
  const TimePoint ReportedTime = Now - this->Behaviour.HealthLag;
  while (this->HealthHistory.size() > 1 &&
         this->HealthHistory[1].first <= ReportedTime)
    this->HealthHistory.pop_front();
  return jsonResponse(http::status::ok, this->HealthHistory.front().second);
}

void LeafProcess::recordOutcome(const RequestInfo &Info,
                                std::string_view Outcome) {
  ++this->Count.ByOutcome[std::string(Outcome)];
  const bool HasEffect = !Info.Idempotent && Outcome == "ran";
  if (!HasEffect && !this->Behaviour.JournalRequests)
    return;
  this->Journal.push_back(
      json::object{{"leaf", this->Identity.Id},
                   {"route", Info.Route},
                   {"id", Info.Id},
                   {"key", Info.Key},
                   {"snapshot", Info.Snapshot},
                   {"shard", Info.Shard},
                   {"version", this->Behaviour.Version},
                   {"outcome", std::string(Outcome)},
                   {"at_ms", toMs(Clock::now().time_since_epoch())}});
}

void LeafProcess::runAction(std::string_view Name) {
  if (Name == "cold")
    this->Admission.startCold(Clock::now());
  else if (Name == "warm")
    this->Admission.warmUp();
  else if (Name == "freeze")
    this->Server->freezeConnections();
  else if (Name == "cut")
    this->Server->closeConnections();
  else if (Name == "die") {
    this->Server->stopListening();
    this->Server->closeConnections();
  } else if (Name == "revive") {
    this->Admission.startCold(Clock::now());
    this->Server->listen(this->Port);
  } else if (Name == "reset_counters") {
    this->Count = Counters{};
    this->Admission.MaxActive = this->Admission.activeRequests();
    this->Admission.MaxActiveCold = 0;
    this->Admission.ColdOverloads = 0;
  }
}

void LeafProcess::control(const json::object &Fields) {
  static constexpr std::string_view Actions[] = {
      "cold", "warm", "freeze", "cut", "die", "revive", "reset_counters"};
  json::object Settings;
  const std::string Version = this->Behaviour.Version;
  for (const auto &[Name, Value] : Fields)
    if (std::find(std::begin(Actions), std::end(Actions),
                  std::string_view(Name)) == std::end(Actions))
      Settings[Name] = Value;
  this->Behaviour.apply(Settings);
  if (this->Behaviour.Version != Version)
    this->VersionChangedAt = Clock::now();
  for (const auto &[Name, Value] : Fields)
    if (!Settings.contains(Name) && Value.is_bool() && Value.get_bool())
      this->runAction(Name);
}

json::object LeafProcess::counters() {
  const TimePoint Now = Clock::now();
  const bool HasRequests = this->Count.LastRequest != TimePoint{};
  return json::object{{"leaf", this->Identity.Id},
                      {"version", this->Behaviour.Version},
                      {"requests", this->Count.Requests},
                      {"in_work", this->Admission.activeRequests()},
                      {"queued", this->Admission.queuedRequests()},
                      {"max_in_work", this->Admission.MaxActive},
                      {"max_in_work_cold", this->Admission.MaxActiveCold},
                      {"cold", this->Admission.isCold(Now)},
                      {"cold_overloads", this->Admission.ColdOverloads},
                      {"connections", this->Server->connections()},
                      {"max_connections", this->Count.MaxConnections},
                      {"accepted", this->Count.Accepted},
                      {"over_cap", this->Count.RejectedConnections},
                      {"cancels", this->Count.Cancels},
                      {"creates", this->Count.Creates},
                      {"last_request_ms_ago",
                       HasRequests ? toMs(Now - this->Count.LastRequest) : -1},
                      {"by_outcome", toJson(this->Count.ByOutcome)},
                      {"by_snapshot", toJson(this->Count.BySnapshot)},
                      {"by_version", toJson(this->Count.ByVersion)}};
}

json::array LeafProcess::journal(std::size_t Since) const {
  json::array Result;
  for (std::size_t I = Since; I < this->Journal.size(); ++I)
    Result.push_back(this->Journal[I]);
  return Result;
}

} // namespace citronlever::standin
