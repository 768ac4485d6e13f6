#include "citronlever/src/Platform/HttpPlatform.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/HttpClient.h"
#include "citronlever/src/Core/JsonFields.h"

#include <boost/json.hpp>

#include <atomic>
#include <limits>

namespace citronlever {

namespace json = boost::json;

namespace {

constexpr std::int64_t MaxRevision = std::numeric_limits<std::int64_t>::max();
constexpr const char *ServiceName = "platform";

bool isWrite(const HttpRequest &Request) { return Request.Method != "GET"; }

/// Reads the JSON body of a reply. Unknown fields are ignored, since the
/// service may add some.
void readBody(const std::string &Body, PlatformResult &Result) {
  const json::value Value = parseJson(Body, ServiceName);
  JsonFields Fields(Value, ServiceName);
  Result.Revision =
      static_cast<std::uint64_t>(Fields.integer("revision", 0, MaxRevision, 0));
  Result.Value = Fields.text("value", "");
  if (Fields.has("lease"))
    Result.Value = Fields.text("lease");
}

PlatformStatus failureStatus(bool Write, int Status) {
  // After a 5xx status, it is unknown whether the write was applied.
  if (Write && Status >= 500)
    return PlatformStatus::Unknown;
  return PlatformStatus::Refused;
}

PlatformResult readReply(const HttpRequest &Request, const HttpResult &Reply) {
  PlatformResult Result;
  Result.Reason = Reply.Reason;
  if (Reply.Outcome != HttpOutcome::Answered) {
    Result.Status = Reply.Outcome == HttpOutcome::ReplyLost && isWrite(Request)
                        ? PlatformStatus::Unknown
                        : PlatformStatus::Refused;
    return Result;
  }
  try {
    switch (Reply.Response.Status) {
    case 200:
      Result.Status = PlatformStatus::Done;
      if (!Reply.Response.Body.empty())
        readBody(Reply.Response.Body, Result);
      return Result;
    case 204:
      Result.Status = PlatformStatus::Unchanged;
      return Result;
    case 404:
      Result.Status = PlatformStatus::Absent;
      return Result;
    case 409:
      Result.Status = PlatformStatus::Conflict;
      readBody(Reply.Response.Body, Result);
      return Result;
    default:
      Result.Reason = "status " + std::to_string(Reply.Response.Status);
      Result.Status = failureStatus(isWrite(Request), Reply.Response.Status);
      return Result;
    }
  } catch (const SettingsError &Failure) {
    Result.Status = failureStatus(isWrite(Request), 500);
    Result.Reason = Failure.what();
    return Result;
  }
}

PlatformVm readVm(const json::value &Value, const std::string &Location) {
  JsonFields Fields(Value, Location);
  PlatformVm Result;
  Result.Name = Fields.text("name");
  Result.Domain = Fields.text("domain");
  Result.Leaving = Fields.text("state", "live") == "leaving";
  Fields.each("peers", [&](const json::value &Peer,
                           const std::string &PeerLocation) {
    if (!Peer.is_string())
      throw SettingsError(PeerLocation + ": not a string");
    Result.Peers.push_back(endpointFromString(std::string(Peer.get_string())));
  });
  return Result;
}

} // namespace

class HttpPlatform::State {
public:
  State(boost::asio::io_context &Context, Endpoint Service,
        HttpPlatformSettings Settings)
      : Client(Context, std::move(Service)), Settings(Settings) {}

  HttpClient Client;
  HttpPlatformSettings Settings;
  std::atomic<std::uint64_t> Reads{0};
  std::atomic<std::uint64_t> Writes{0};
  std::atomic<std::uint64_t> Watches{0};
  std::atomic<std::uint64_t> Failed{0};

  static void send(const std::shared_ptr<State> &Self, HttpRequest Request,
                   Duration Timeout, Callback Done) {
    (isWrite(Request) ? Self->Writes : Self->Reads).fetch_add(1);
    // The callback must not keep alive the client that runs it.
    const std::weak_ptr<State> Weak = Self;
    HttpRequest Sent{Request.Method, Request.Target, {}, {}};
    Self->Client.send(std::move(Request), Timeout,
                      [Weak, Sent = std::move(Sent),
                       Done = std::move(Done)](const HttpResult &Reply) {
                        PlatformResult Result = readReply(Sent, Reply);
                        if (const auto Owner = Weak.lock();
                            Owner &&
                            (Result.Status == PlatformStatus::Refused ||
                             Result.Status == PlatformStatus::Unknown))
                          Owner->Failed.fetch_add(1);
                        Done(std::move(Result));
                      });
  }
};

const char *toString(PlatformStatus Status) {
  switch (Status) {
  case PlatformStatus::Done:
    return "done";
  case PlatformStatus::Absent:
    return "absent";
  case PlatformStatus::Conflict:
    return "conflict";
  case PlatformStatus::Unchanged:
    return "unchanged";
  case PlatformStatus::Refused:
    return "refused";
  case PlatformStatus::Unknown:
    return "unknown";
  }
  return "";
}

HttpPlatform::HttpPlatform(boost::asio::io_context &Context, Endpoint Service,
                           HttpPlatformSettings Settings)
    : Data(std::make_shared<State>(Context, std::move(Service), Settings)) {}

HttpPlatform::~HttpPlatform() = default;

void HttpPlatform::get(const std::string &Key, Callback Done) {
  State::send(this->Data, {"GET", "/kv/" + Key, {}, {}},
              this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::compareAndSwap(const std::string &Key, std::string Value,
                                  std::uint64_t ExpectedRevision,
                                  const std::string &Lease, Callback Done) {
  std::string Target =
      "/kv/" + Key + "?expect=" + std::to_string(ExpectedRevision);
  if (!Lease.empty())
    Target += "&lease=" + Lease;
  State::send(this->Data, {"PUT", std::move(Target), {}, std::move(Value)},
              this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::remove(const std::string &Key,
                          std::uint64_t ExpectedRevision, Callback Done) {
  State::send(this->Data,
              {"DELETE",
               "/kv/" + Key + "?expect=" + std::to_string(ExpectedRevision),
               {},
               {}},
              this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::watch(const std::string &Key, std::uint64_t After,
                         Duration Wait, Callback Done) {
  this->Data->Watches.fetch_add(1);
  State::send(this->Data,
              {"GET",
               "/watch/" + Key + "?after=" + std::to_string(After) +
                   "&timeout_ms=" + std::to_string(toMs(Wait)),
               {},
               {}},
              Wait + this->Data->Settings.WatchGrace, std::move(Done));
}

void HttpPlatform::grantLease(Duration TimeToLive, Callback Done) {
  State::send(
      this->Data,
      {"POST", "/lease?ttl_ms=" + std::to_string(toMs(TimeToLive)), {}, {}},
      this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::renewLease(const std::string &Lease, Callback Done) {
  State::send(this->Data, {"POST", "/lease/" + Lease + "/renew", {}, {}},
              this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::dropLease(const std::string &Lease, Callback Done) {
  State::send(this->Data, {"DELETE", "/lease/" + Lease, {}, {}},
              this->Data->Settings.CallTimeout, std::move(Done));
}

void HttpPlatform::vms(VmsCallback Done) {
  this->Data->Reads.fetch_add(1);
  this->Data->Client.send(
      {"GET", "/vms", {}, {}}, this->Data->Settings.CallTimeout,
      [Done = std::move(Done)](const HttpResult &Reply) {
        PlatformVms Result;
        Result.Reason = Reply.Reason;
        if (Reply.Outcome != HttpOutcome::Answered ||
            Reply.Response.Status != 200) {
          Done(std::move(Result));
          return;
        }
        try {
          const json::value Value = parseJson(Reply.Response.Body, ServiceName);
          JsonFields Fields(Value, ServiceName);
          Fields.each("vms",
                      [&](const json::value &Vm, const std::string &Location) {
                        Result.Vms.push_back(readVm(Vm, Location));
                      });
          Result.Status = PlatformStatus::Done;
        } catch (const Error &Failure) {
          Result.Vms.clear();
          Result.Reason = Failure.what();
        }
        Done(std::move(Result));
      });
}

PlatformCalls HttpPlatform::calls() const {
  return {this->Data->Reads, this->Data->Writes, this->Data->Watches,
          this->Data->Failed};
}

} // namespace citronlever
