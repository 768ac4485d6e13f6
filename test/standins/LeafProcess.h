#pragma once

#include "test/standins/HttpServer.h"
#include "test/standins/LeafAdmission.h"
#include "test/standins/LeafBehaviour.h"

#include <boost/json/array.hpp>

#include <deque>
#include <map>
#include <random>
#include <unordered_map>

namespace citronlever::standin {

/// Properties of a leaf that do not change while it runs.
struct LeafIdentity {
  std::string Service;
  std::string Id;
  /// Route names; true for idempotent ones.
  std::map<std::string, bool, std::less<>> Routes;
  std::uint64_t Seed = 1;
};

/// One leaf (docs/API.md, "Leaves") on its own port. Its journal and counters
/// record what it executed, whatever its replies say.
class LeafProcess : public HttpHandler,
                    public std::enable_shared_from_this<LeafProcess> {
public:
  LeafProcess(net::io_context &Context, LeafIdentity Identity,
              LeafBehaviour Behaviour);

  std::uint16_t listen(std::uint16_t Port);

  /// Changes behaviour fields, and runs the actions "cold", "warm", "freeze",
  /// "die", "revive", "cut" and "reset_counters".
  void control(const json::object &Fields);

  json::object counters();
  /// Journal entries from number \p Since on.
  json::array journal(std::size_t Since) const;

  const std::string &id() const { return this->Identity.Id; }

  bool admitConnection(std::size_t OpenConnections) override;
  Duration connectCost() override { return this->Behaviour.ConnectCost; }
  net::awaitable<std::optional<HttpResponse>>
  handle(const HttpRequest &Request) override;
  std::size_t bytesToSend(const HttpResponse &Reply,
                          std::size_t FullSize) override;

private:
  /// A request to a route, read from its headers.
  struct RequestInfo {
    std::string Id;
    std::string Route;
    std::string Snapshot;
    std::string Key;
    std::uint32_t Shard = 0;
    bool Idempotent = true;
  };

  net::awaitable<HttpResponse> serveRoute(const HttpRequest &Request,
                                          std::string Route);
  net::awaitable<HttpResponse> processRequest(const HttpRequest &Request,
                                              const RequestInfo &Info,
                                              RequestStatePtr State);
  net::awaitable<bool> simulateService(double TimeMs, RequestStatePtr State);
  HttpResponse completeRequest(const HttpRequest &Request,
                               const RequestInfo &Info);
  HttpResponse rowsReply(const HttpRequest &Request, const RequestInfo &Info);
  HttpResponse createReply(const RequestInfo &Info);
  HttpResponse errorReply(const RequestInfo &Info, http::status Status,
                          std::string_view Verdict);
  HttpResponse errorReply(const RequestInfo &Info, AdmissionResult Reason);
  HttpResponse cancel(const std::string &Id);
  HttpResponse health();
  net::awaitable<void> injectReplyFault(HttpResponse &Reply);
  void setReplyHeaders(HttpResponse &Reply, const RequestInfo &Info);
  bool holdsShard(const RequestInfo &Info) const;
  double serviceMs(const RequestInfo &Info);
  bool drawFailure(const RequestInfo &Info);
  const VersionBehaviour *activeVersionFault(const RequestInfo &Info) const;
  void runAction(std::string_view Name);
  void recordOutcome(const RequestInfo &Info, std::string_view Outcome);
  bool drawChance(double Share);

  net::io_context &Context;
  LeafIdentity Identity;
  LeafBehaviour Behaviour;
  LeafAdmission Admission;
  std::shared_ptr<HttpServer> Server;
  std::uint16_t Port = 0;
  std::mt19937_64 Random;
  TimePoint VersionChangedAt{};
  std::unordered_map<std::string, RequestStatePtr> RunningRequests;
  std::deque<std::pair<TimePoint, json::value>> HealthHistory;

  struct Counters {
    std::uint64_t Requests = 0;
    std::uint64_t Accepted = 0;
    std::uint64_t RejectedConnections = 0;
    std::uint64_t Cancels = 0;
    std::uint64_t Creates = 0;
    std::size_t MaxConnections = 0;
    TimePoint LastRequest{};
    std::map<std::string, std::uint64_t> ByOutcome;
    std::map<std::string, std::uint64_t> BySnapshot;
    std::map<std::string, std::uint64_t> ByVersion;
  };
  Counters Count;
  json::array Journal;
};

} // namespace citronlever::standin
