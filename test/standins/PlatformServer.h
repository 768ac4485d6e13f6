#pragma once

#include "test/standins/PlatformStore.h"
#include "test/standins/StandInMain.h"

#include <boost/json/array.hpp>

#include <deque>
#include <map>
#include <set>
#include <utility>

namespace citronlever::standin {

/// The platform's HTTP service (docs/API.md, "Platform") with faults that
/// `POST /control` switches on; see README.md here.
class PlatformServer : public HttpHandler,
                       public std::enable_shared_from_this<PlatformServer> {
public:
  explicit PlatformServer(net::io_context &Context);

  /// Starts both ports. \returns {service port, control port}.
  std::vector<std::uint16_t> start(std::uint16_t Port,
                                   std::uint16_t ControlPort);

  net::awaitable<std::optional<HttpResponse>>
  handle(const HttpRequest &Request) override;

private:
  enum class Outage { None, Refuse, Hang };

  net::awaitable<std::optional<HttpResponse>>
  handleService(const HttpRequest &Request, const RequestTarget &Target);
  std::optional<HttpResponse> handleWrite(const HttpRequest &Request,
                                          const RequestTarget &Target);
  HttpResponse handleRead(const std::string &Key) const;
  net::awaitable<HttpResponse> handleWatch(const RequestTarget &Target);
  std::optional<HttpResponse> handleLease(const HttpRequest &Request,
                                          const RequestTarget &Target);
  HttpResponse currentVmList();

  json::value control(const json::object &Fields);
  json::value counters() const;
  void setOutage(const std::string &Name);
  void setVmList(const json::value &List);
  bool consumeReplyLoss();
  void wakeWatches();
  net::awaitable<void> expireLeasesLoop();

  net::io_context &Context;
  std::shared_ptr<HttpServer> Service;
  std::shared_ptr<HttpServer> Control;
  std::shared_ptr<ControlHandler> ControlApi;
  PlatformStore Store;
  std::uint16_t Port = 0;

  Outage ActiveOutage = Outage::None;
  Duration Delay{};
  std::int64_t RepliesToLose = 0;
  Duration VmListLag{};
  /// VM lists, each with the time from which it is returned.
  std::deque<std::pair<TimePoint, json::value>> VmLists;

  std::map<std::string, std::uint64_t> Calls;
  std::uint64_t RepliesLost = 0;
  std::set<net::steady_timer *> Watches;
  std::size_t MaxWatches = 0;
};

} // namespace citronlever::standin
