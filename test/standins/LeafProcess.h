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

/// What a leaf is and never changes.
struct LeafIdentity {
  std::string Service;
  std::string Id;
  /// Route names; true for idempotent ones.
  std::map<std::string, bool, std::less<>> Routes;
  std::uint64_t Seed = 1;
};

/// One leaf (docs/API.md, "Leaves") on its own port. Its journal and counters
/// tell what truly happened.
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

  bool admit(std::size_t Open) override;
  Duration connectCost() override { return this->Behaviour.ConnectCost; }
  net::awaitable<std::optional<HttpResponse>>
  handle(const HttpRequest &Request) override;
  std::size_t bytesToSend(const HttpResponse &Reply,
                          std::size_t Whole) override;

private:
  /// A request to a route, read from its headers.
  struct Call {
    std::string Id;
    std::string Route;
    std::string Snapshot;
    std::string Key;
    std::uint32_t Shard = 0;
    bool Idempotent = true;
  };

  net::awaitable<HttpResponse> serve(const HttpRequest &Request,
                                     std::string Route);
  net::awaitable<HttpResponse> work(const HttpRequest &Request,
                                    const Call &What, LeafWorkPtr Work);
  net::awaitable<bool> spend(double Ms, LeafWorkPtr Work);
  HttpResponse finish(const HttpRequest &Request, const Call &What);
  HttpResponse rows(const HttpRequest &Request, const Call &What);
  HttpResponse create(const Call &What);
  HttpResponse refusal(const Call &What, http::status Status,
                       std::string_view Verdict);
  HttpResponse refusal(const Call &What, GateResult Why);
  HttpResponse cancel(const std::string &Id);
  HttpResponse health();
  net::awaitable<void> spoil(HttpResponse &Reply);
  void decorate(HttpResponse &Reply, const Call &What);
  bool holds(const Call &What) const;
  double serviceMs(const Call &What);
  bool fails(const Call &What);
  const VersionBehaviour *versionFault(const Call &What) const;
  void runAction(std::string_view Name);
  void note(const Call &What, std::string_view Outcome);
  bool chance(double Share);

  net::io_context &Context;
  LeafIdentity Identity;
  LeafBehaviour Behaviour;
  LeafAdmission Gate;
  std::shared_ptr<HttpServer> Server;
  std::uint16_t Port = 0;
  std::mt19937_64 Random;
  TimePoint VersionSince{};
  std::unordered_map<std::string, LeafWorkPtr> Running;
  std::deque<std::pair<TimePoint, json::value>> HealthHistory;

  struct Counters {
    std::uint64_t Requests = 0;
    std::uint64_t Accepted = 0;
    std::uint64_t OverCap = 0;
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
