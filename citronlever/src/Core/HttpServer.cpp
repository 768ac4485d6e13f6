#include "citronlever/src/Core/HttpServer.h"

#include "citronlever/src/Core/Error.h"
#include "citronlever/src/Core/internal/HttpSession.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <mutex>
#include <vector>

namespace citronlever {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration AcceptRetryDelay = Milliseconds(50);

} // namespace

class HttpServer::State : public std::enable_shared_from_this<State> {
public:
  State(asio::io_context &Context, HttpServerSettings Settings,
        HttpHandler Handler)
      : Context(Context), Acceptor(asio::make_strand(Context)),
        RetryTimer(Acceptor.get_executor()),
        Shared(std::make_shared<HttpServerShared>()) {
    this->Shared->Settings = Settings;
    this->Shared->Handler = std::move(Handler);
  }

  std::uint16_t listen(const Endpoint &Address) {
    try {
      const tcp::endpoint Local(asio::ip::make_address(Address.Host),
                                Address.Port);
      this->Acceptor.open(Local.protocol());
      this->Acceptor.set_option(tcp::acceptor::reuse_address(true));
      this->Acceptor.bind(Local);
      this->Acceptor.listen();
    } catch (const std::exception &Failure) {
      throw Error("cannot listen on " + toString(Address) + ": " +
                  Failure.what());
    }
    const std::uint16_t Port = this->Acceptor.local_endpoint().port();
    this->accept();
    return Port;
  }

  void stop() {
    this->Shared->Draining = true;
    this->Shared->Stopped = true;
    asio::post(this->Acceptor.get_executor(),
               [Self = this->shared_from_this()] {
                 boost::system::error_code Ignored;
                 Self->Acceptor.close(Ignored);
                 Self->RetryTimer.cancel();
               });
    const std::lock_guard Lock(this->Mutex);
    for (const auto &Weak : this->Sessions)
      if (const auto Session = Weak.lock())
        Session->closeWhenIdle();
    this->Sessions.clear();
  }

  HttpServerShared &shared() { return *this->Shared; }

private:
  void accept() {
    this->Acceptor.async_accept(
        asio::make_strand(this->Context),
        [Self = this->shared_from_this()](boost::system::error_code Failure,
                                          tcp::socket Socket) {
          if (Self->Shared->Stopped)
            return;
          if (Failure) {
            Self->scheduleAcceptRetry();
            return;
          }
          Self->startSession(std::move(Socket));
          Self->accept();
        });
  }

  void scheduleAcceptRetry() {
    this->RetryTimer.expires_after(AcceptRetryDelay);
    this->RetryTimer.async_wait(
        [Self = this->shared_from_this()](boost::system::error_code Failure) {
          if (!Failure && !Self->Shared->Stopped)
            Self->accept();
        });
  }

  void startSession(tcp::socket Socket) {
    this->Shared->Accepted.fetch_add(1);
    if (this->Shared->Connections >= this->Shared->Settings.MaxConnections) {
      this->Shared->Refused.fetch_add(1);
      return;
    }
    const auto Session = startHttpSession(std::move(Socket), this->Shared);
    const std::lock_guard Lock(this->Mutex);
    if (this->Sessions.size() >= 2 * this->Shared->Connections + 16)
      std::erase_if(this->Sessions,
                    [](const auto &Weak) { return Weak.expired(); });
    this->Sessions.push_back(Session);
    if (this->Shared->Stopped)
      Session->closeWhenIdle();
  }

  asio::io_context &Context;
  tcp::acceptor Acceptor;
  asio::steady_timer RetryTimer;
  std::shared_ptr<HttpServerShared> Shared;
  std::mutex Mutex;
  std::vector<std::weak_ptr<HttpSession>> Sessions;
};

HttpServer::HttpServer(asio::io_context &Context, HttpServerSettings Settings,
                       HttpHandler Handler)
    : Data(std::make_shared<State>(Context, Settings, std::move(Handler))) {}

HttpServer::~HttpServer() { this->Data->stop(); }

std::uint16_t HttpServer::listen(const Endpoint &Address) {
  return this->Data->listen(Address);
}

void HttpServer::drain() { this->Data->shared().Draining = true; }

void HttpServer::stop() { this->Data->stop(); }

HttpServer::Counters HttpServer::counters() const {
  const HttpServerShared &Common = this->Data->shared();
  return {Common.Accepted, Common.Requests, Common.Refused, Common.Connections,
          Common.InFlight};
}

} // namespace citronlever
