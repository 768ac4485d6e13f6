#include "test/standins/PlatformServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>

namespace citronlever::standin {

namespace {

constexpr Duration LeaseCheckPeriod = Milliseconds(20);
constexpr Duration HangCheckPeriod = Milliseconds(50);
constexpr std::int64_t MaxWatchMs = 600000;
constexpr std::string_view KeyCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_./-";

bool isValidKey(std::string_view Key) {
  return !Key.empty() &&
         Key.find_first_not_of(KeyCharacters) == std::string_view::npos;
}

HttpResponse writeResponse(const WriteResult &Result) {
  const auto Status =
      Result.Applied ? http::status::ok : http::status::conflict;
  return jsonResponse(Status, json::object{{"revision", Result.Revision}});
}

} // namespace

PlatformServer::PlatformServer(net::io_context &Context) : Context(Context) {
  this->VmLists.emplace_back(TimePoint{}, json::array{});
}

std::vector<std::uint16_t> PlatformServer::start(std::uint16_t ServicePort,
                                                 std::uint16_t ControlPort) {
  this->ControlApi = std::make_shared<ControlHandler>(
      [this](const json::object &Fields) { return this->control(Fields); });
  this->ControlApi->addReport(
      "counters", [this](const RequestTarget &) { return this->counters(); });
  this->Control = std::make_shared<HttpServer>(this->Context, this->ControlApi);
  this->Service =
      std::make_shared<HttpServer>(this->Context, this->shared_from_this());
  this->Port = this->Service->listen(ServicePort);
  net::co_spawn(
      this->Context,
      [Self = this->shared_from_this()] { return Self->expireLeasesLoop(); },
      net::detached);
  return {this->Port, this->Control->listen(ControlPort)};
}

net::awaitable<void> PlatformServer::expireLeasesLoop() {
  while (true) {
    co_await sleepFor(LeaseCheckPeriod);
    if (this->Store.expireLeases(Clock::now()))
      this->wakeWatches();
  }
}

net::awaitable<std::optional<HttpResponse>>
PlatformServer::handle(const HttpRequest &Request) {
  const RequestTarget Target(Request.target());
  if (Target.Path.starts_with("/control"))
    co_return this->ControlApi->respond(Request);
  if (this->Delay > Duration{})
    co_await sleepFor(this->Delay);
  if (this->ActiveOutage == Outage::Hang) {
    while (this->ActiveOutage == Outage::Hang)
      co_await sleepFor(HangCheckPeriod);
    co_return std::nullopt;
  }
  co_return co_await this->handleService(Request, Target);
}

net::awaitable<std::optional<HttpResponse>>
PlatformServer::handleService(const HttpRequest &Request,
                              const RequestTarget &Target) {
  const std::string &Path = Target.Path;
  const bool IsGet = Request.method() == http::verb::get;
  if (Path.starts_with("/kv/") && IsGet) {
    ++this->Calls["get"];
    co_return this->handleRead(Path.substr(4));
  }
  if (Path.starts_with("/kv/"))
    co_return this->handleWrite(Request, Target);
  if (Path.starts_with("/watch/") && IsGet) {
    ++this->Calls["watch"];
    co_return co_await this->handleWatch(Target);
  }
  if (Path == "/lease" || Path.starts_with("/lease/"))
    co_return this->handleLease(Request, Target);
  if (Path == "/vms" && IsGet) {
    ++this->Calls["vms"];
    co_return this->currentVmList();
  }
  co_return emptyResponse(http::status::not_found);
}

HttpResponse PlatformServer::handleRead(const std::string &Key) const {
  const StoreEntry *Entry = this->Store.find(Key);
  if (!Entry)
    return emptyResponse(http::status::not_found);
  return jsonResponse(
      http::status::ok,
      json::object{{"value", Entry->Value}, {"revision", Entry->Revision}});
}

std::optional<HttpResponse>
PlatformServer::handleWrite(const HttpRequest &Request,
                            const RequestTarget &Target) {
  const std::string Key = Target.Path.substr(4);
  const auto ExpectedRevision = Target.number("expect", -1);
  const bool IsPut = Request.method() == http::verb::put;
  if (!IsPut && Request.method() != http::verb::delete_)
    return emptyResponse(http::status::method_not_allowed);
  ++this->Calls[IsPut ? "put" : "delete"];
  if (!isValidKey(Key) || ExpectedRevision < 0)
    return emptyResponse(http::status::bad_request);
  if (Request.body().size() > PlatformStore::MaxValueBytes)
    return emptyResponse(http::status::payload_too_large);
  const std::string Lease = Target.text("lease");
  this->Store.expireLeases(Clock::now());
  if (!Lease.empty() && !this->Store.hasLease(Lease))
    return emptyResponse(http::status::not_found);
  const auto Result =
      IsPut ? this->Store.put(Key, Request.body(), ExpectedRevision, Lease)
            : this->Store.remove(Key, ExpectedRevision);
  if (Result.Applied)
    this->wakeWatches();
  if (this->consumeReplyLoss())
    return std::nullopt;
  return writeResponse(Result);
}

bool PlatformServer::consumeReplyLoss() {
  if (this->RepliesToLose <= 0)
    return false;
  --this->RepliesToLose;
  ++this->RepliesLost;
  return true;
}

net::awaitable<HttpResponse>
PlatformServer::handleWatch(const RequestTarget &Target) {
  const std::string Key = Target.Path.substr(7);
  const auto After = static_cast<std::uint64_t>(Target.number("after", 0));
  const auto TimeoutMs =
      std::min(Target.number("timeout_ms", 30000), MaxWatchMs);
  const TimePoint WaitUntil = Clock::now() + Milliseconds(TimeoutMs);
  net::steady_timer Timer(this->Context);
  this->Watches.insert(&Timer);
  this->MaxWatches = std::max(this->MaxWatches, this->Watches.size());
  while (this->Store.revisionOf(Key) == After && Clock::now() < WaitUntil) {
    Timer.expires_at(WaitUntil);
    boost::system::error_code Cancelled;
    co_await Timer.async_wait(
        net::redirect_error(net::use_awaitable, Cancelled));
  }
  this->Watches.erase(&Timer);
  if (this->Store.revisionOf(Key) == After)
    co_return emptyResponse(http::status::no_content);
  co_return this->handleRead(Key);
}

void PlatformServer::wakeWatches() {
  for (net::steady_timer *Timer : this->Watches)
    Timer->cancel();
}

std::optional<HttpResponse>
PlatformServer::handleLease(const HttpRequest &Request,
                            const RequestTarget &Target) {
  ++this->Calls["lease"];
  const TimePoint Now = Clock::now();
  this->Store.expireLeases(Now);
  std::string Id = Target.Path.size() > 7 ? Target.Path.substr(7) : "";
  bool Found = true;
  if (Id.empty()) {
    Id = this->Store.grantLease(Milliseconds(Target.number("ttl_ms", 5000)),
                                Now);
  } else if (Request.method() == http::verb::delete_) {
    Found = this->Store.revokeLease(Id);
    this->wakeWatches();
  } else {
    Id = Id.substr(0, Id.rfind("/renew"));
    Found = this->Store.renewLease(Id, Now);
  }
  if (this->consumeReplyLoss())
    return std::nullopt;
  if (!Found)
    return emptyResponse(http::status::not_found);
  return jsonResponse(http::status::ok, json::object{{"lease", Id}});
}

HttpResponse PlatformServer::currentVmList() {
  const TimePoint Now = Clock::now();
  while (this->VmLists.size() > 1 && this->VmLists[1].first <= Now)
    this->VmLists.pop_front();
  return jsonResponse(http::status::ok,
                      json::object{{"vms", this->VmLists.front().second}});
}

void PlatformServer::setVmList(const json::value &List) {
  this->VmLists.emplace_back(Clock::now() + this->VmListLag, List.as_array());
}

void PlatformServer::setOutage(const std::string &Name) {
  if (Name != "refuse" && Name != "hang" && Name != "off")
    throw std::invalid_argument("outage: refuse, hang or off");
  const Outage Requested = Name == "refuse" ? Outage::Refuse
                           : Name == "hang" ? Outage::Hang
                                            : Outage::None;
  if (this->ActiveOutage == Outage::Refuse && Requested != Outage::Refuse)
    this->Service->listen(this->Port);
  if (this->ActiveOutage != Outage::Refuse && Requested == Outage::Refuse) {
    this->Service->stopListening();
    this->Service->closeConnections();
  }
  this->ActiveOutage = Requested;
}

json::value PlatformServer::control(const json::object &Fields) {
  for (const auto &[Name, Value] : Fields) {
    if (Name == "outage")
      this->setOutage(json::value_to<std::string>(Value));
    else if (Name == "delay_ms")
      this->Delay = Milliseconds(Value.to_number<std::int64_t>());
    else if (Name == "lose_replies")
      this->RepliesToLose = Value.to_number<std::int64_t>();
    else if (Name == "save")
      this->Store.save(json::value_to<std::string>(Value));
    else if (Name == "restore") {
      if (!this->Store.restore(json::value_to<std::string>(Value)))
        throw std::invalid_argument("restore: no such saved state");
    } else if (Name == "empty")
      this->Store.clear();
    else if (Name == "expire_leases")
      this->Store.revokeAllLeases();
    else if (Name == "vms_lag_ms")
      this->VmListLag = Milliseconds(Value.to_number<std::int64_t>());
    else if (Name == "vms")
      this->setVmList(Value);
    else
      throw std::invalid_argument("unknown field " + std::string(Name));
  }
  this->wakeWatches();
  return json::object{};
}

json::value PlatformServer::counters() const {
  json::object CallsByKind;
  std::uint64_t Total = 0;
  for (const auto &[Kind, Count] : this->Calls) {
    CallsByKind[Kind] = Count;
    Total += Count;
  }
  return json::object{{"calls", CallsByKind},
                      {"total", Total},
                      {"waiting_watches", this->Watches.size()},
                      {"max_waiting_watches", this->MaxWatches},
                      {"replies_lost", this->RepliesLost},
                      {"keys", this->Store.size()}};
}

} // namespace citronlever::standin
