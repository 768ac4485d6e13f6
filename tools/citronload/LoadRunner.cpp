#include "tools/citronload/LoadRunner.h"

#include "citronlever/src/Core/Error.h"
#include "tools/citronload/AnswerCheck.h"

#include <boost/json.hpp>

namespace citronlever::load {

namespace {

constexpr std::size_t MaxIdleConnections = 256;
constexpr std::size_t MaxFaultTexts = 10;
constexpr Duration DiscoveryTimeout = Seconds(2);
constexpr int DiscoveryAttempts = 20;
/// Maximum number of entries tried for a request that could not be sent.
constexpr int MaxSends = 3;
constexpr int Ok = 200;

HttpRequest makeDiscoveryRequest(const std::string &Customer) {
  HttpRequest Request;
  Request.Target = "/v1/entries?customer=" + Customer;
  return Request;
}

} // namespace

LoadRunner::LoadRunner(LoadSettings RunSettings)
    : Settings(std::move(RunSettings)), Timer(Context),
      Schedule(Settings.Classes, Settings.Rate, Settings.Seed),
      Directory(Settings.Entries), Results(Settings.Classes.size()) {
  if (this->Settings.Journal.empty())
    return;
  this->Journal.open(this->Settings.Journal);
  if (!this->Journal)
    throw SettingsError(this->Settings.Journal + ": cannot be written");
}

HttpClient &LoadRunner::clientFor(const std::string &Address) {
  auto &Client = this->Clients[Address];
  if (!Client) {
    HttpClientSettings ClientSettings;
    ClientSettings.MaxIdle = MaxIdleConnections;
    Client = std::make_unique<HttpClient>(
        this->Context, endpointFromString(Address), ClientSettings);
  }
  return *Client;
}

void LoadRunner::refreshEntries(const std::string &Customer) {
  this->clientFor(this->Directory.nextDiscoveryAddress(Customer))
      .send(makeDiscoveryRequest(Customer), DiscoveryTimeout,
            [this, Customer](const HttpResult &Result) {
              try {
                if (Result.Outcome != HttpOutcome::Answered ||
                    Result.Response.Status != Ok)
                  throw SettingsError("discovery request failed");
                this->Directory.onDiscoveryAnswer(
                    Customer, Result.Response.Body, Clock::now());
              } catch (const std::exception &) {
                this->Directory.onDiscoveryFailed(Customer, Clock::now());
              }
            });
}

void LoadRunner::discoverAll() {
  for (int Attempt = 0; Attempt < DiscoveryAttempts; ++Attempt) {
    bool HasPending = false;
    for (const RequestClass &Class : this->Settings.Classes)
      if (this->Directory.claimRefresh(Class.Customer, Clock::now())) {
        this->refreshEntries(Class.Customer);
        HasPending = true;
      }
    if (!HasPending && Attempt > 0)
      return;
    this->Context.restart();
    this->Context.run();
  }
}

void LoadRunner::run() {
  this->discoverAll();
  this->Start = Clock::now();
  this->NextRequest = this->Schedule.next();
  this->scheduleNext();
  this->Context.restart();
  this->Context.run();
  this->Elapsed = Clock::now() - this->Start;
  this->Journal.flush();
}

bool LoadRunner::isWithinBounds(const PlannedRequest &Planned) const {
  if (this->Settings.Count > 0 && this->Sent >= this->Settings.Count)
    return false;
  return this->Settings.MaxDuration == Duration() ||
         Planned.SendOffset < this->Settings.MaxDuration;
}

void LoadRunner::scheduleNext() {
  if (!this->isWithinBounds(this->NextRequest))
    return;
  this->Timer.expires_at(this->Start + this->NextRequest.SendOffset);
  this->Timer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    const Duration Passed = Clock::now() - this->Start;
    while (this->NextRequest.SendOffset <= Passed &&
           this->isWithinBounds(this->NextRequest)) {
      this->startRequest(this->NextRequest);
      this->NextRequest = this->Schedule.next();
    }
    this->scheduleNext();
  });
}

void LoadRunner::startRequest(const PlannedRequest &Planned) {
  const TimePoint Now = Clock::now();
  PendingRequest Request;
  Request.Class = Planned.Class;
  Request.Query = Planned.Query;
  Request.PlannedTime = this->Start + Planned.SendOffset;
  this->LatestStart = std::max(this->LatestStart, Now - Request.PlannedTime);
  ++this->Sent;
  const RequestClass &Class = this->Settings.Classes[Request.Class];
  if (!Class.Idempotent)
    Request.Key = "load-" + std::to_string(this->Settings.Seed) + "-" +
                  std::to_string(this->Sent);
  if (this->Directory.claimRefresh(Class.Customer, Now))
    this->refreshEntries(Class.Customer);
  this->send(std::move(Request));
}

HttpRequest LoadRunner::makeRequest(const PendingRequest &Request) const {
  const RequestClass &Class = this->Settings.Classes[Request.Class];
  HttpRequest Result;
  Result.Method = "POST";
  Result.Target = "/v1/" + Class.Service + "/" + Class.Route;
  Result.Headers.set("X-Customer", Class.Customer);
  if (Class.DeadlineMs > 0)
    Result.Headers.set("X-Deadline-Ms", std::to_string(Class.DeadlineMs));
  if (!Request.Key.empty())
    Result.Headers.set("X-Request-Key", Request.Key);
  Result.Body = requestBody(Class, Request.Query);
  return Result;
}

void LoadRunner::send(PendingRequest Request) {
  ++Request.Sends;
  const std::string Address =
      this->Directory.nextEntry(this->Settings.Classes[Request.Class].Customer);
  HttpRequest Message = this->makeRequest(Request);
  this->clientFor(Address).send(
      std::move(Message), this->Settings.Timeout,
      [this, Request = std::move(Request)](const HttpResult &Result) {
        this->onAnswer(Request, Result);
      });
}

void LoadRunner::onAnswer(PendingRequest Request, const HttpResult &Result) {
  if (Result.Outcome == HttpOutcome::NotSent && Request.Sends < MaxSends) {
    ++this->Resends;
    this->send(std::move(Request));
    return;
  }
  RequestOutcome Outcome;
  Outcome.Latency = Clock::now() - Request.PlannedTime;
  if (Result.Outcome == HttpOutcome::Answered) {
    const HttpResponse &Response = Result.Response;
    Outcome.Status = Response.Status;
    Outcome.Verdict = std::string(Response.Headers.get("X-Verdict"));
    readCoverage(Response.Headers.get("X-Coverage"), Outcome.Answered,
                 Outcome.Total);
    this->Directory.setEntries(this->Settings.Classes[Request.Class].Customer,
                               Response.Headers.get("X-Entries"));
    if (this->Settings.Verify)
      this->verify(Request, Response);
  } else {
    Outcome.Verdict =
        Result.Outcome == HttpOutcome::NotSent ? "not_run" : "may_have_run";
  }
  this->recordOutcome(Request, Outcome);
}

void LoadRunner::verify(const PendingRequest &Request,
                        const HttpResponse &Response) {
  AnswerHeaders Headers;
  Headers.Status = Response.Status;
  Headers.Verdict = std::string(Response.Headers.get("X-Verdict"));
  Headers.Snapshot = std::string(Response.Headers.get("X-Snapshot"));
  Headers.Coverage = std::string(Response.Headers.get("X-Coverage"));
  const auto Fault = checkAnswer(this->Settings.Classes[Request.Class],
                                 Request.Query, Headers, Response.Body);
  if (!Fault)
    return;
  ++this->Faults;
  if (this->FaultTexts.size() < MaxFaultTexts)
    this->FaultTexts.push_back(
        std::string(Response.Headers.get("X-Request-Id")) + ": " + *Fault);
}

void LoadRunner::recordOutcome(const PendingRequest &Request,
                               const RequestOutcome &Outcome) {
  this->Results[Request.Class].add(Outcome);
  if (Request.Key.empty() || !this->Journal.is_open())
    return;
  const boost::json::object Line{
      {"key", Request.Key},
      {"customer", this->Settings.Classes[Request.Class].Customer},
      {"status", Outcome.Status},
      {"verdict", Outcome.Verdict}};
  this->Journal << boost::json::serialize(Line) << '\n';
}

boost::json::value LoadRunner::toJson() const {
  boost::json::array Classes;
  ClassResult Total;
  for (std::size_t Index = 0; Index < this->Results.size(); ++Index) {
    const RequestClass &Class = this->Settings.Classes[Index];
    boost::json::object ClassJson = this->Results[Index].toJson().as_object();
    ClassJson["name"] = Class.Name;
    ClassJson["customer"] = Class.Customer;
    Classes.push_back(ClassJson);
    Total.merge(this->Results[Index]);
  }
  boost::json::object Result = Total.toJson().as_object();
  Result["seed"] = this->Settings.Seed;
  Result["rate"] = this->Settings.Rate;
  Result["elapsed_s"] = std::chrono::duration<double>(this->Elapsed).count();
  Result["latest_start_ms"] =
      std::chrono::duration<double, std::milli>(this->LatestStart).count();
  Result["sent_again"] = this->Resends;
  Result["verified"] = this->Settings.Verify;
  Result["faults"] = this->Faults;
  Result["fault_texts"] = boost::json::value_from(this->FaultTexts);
  Result["classes"] = Classes;
  return Result;
}

} // namespace citronlever::load
