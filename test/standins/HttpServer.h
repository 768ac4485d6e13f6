#pragma once

#include "citronlever/src/Core/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace citronlever::standin {

namespace net = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// \returns a JSON response with \p Status.
HttpResponse jsonResponse(http::status Status, const json::value &Body);

/// \returns an empty response with \p Status.
HttpResponse emptyResponse(http::status Status);

/// A request target split into its path and its query parameters.
struct RequestTarget {
  explicit RequestTarget(std::string_view Text);

  /// \returns the parameter \p Name as a number, or \p Default.
  std::int64_t number(std::string_view Name, std::int64_t Default) const;
  /// \returns the parameter \p Name, or "".
  std::string text(std::string_view Name) const;

  std::string Path;
  std::map<std::string, std::string, std::less<>> Parameters;
};

/// Admits connections and answers requests of one HttpServer.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// \returns whether a new connection is kept, with \p OpenConnections others
  /// open.
  virtual bool admitConnection(std::size_t OpenConnections) {
    (void)OpenConnections;
    return true;
  }

  /// Setup time of a new connection; connections are set up one at a time.
  virtual Duration connectCost() { return Duration{}; }

  /// Answers a request. Without a value the connection is closed with no reply.
  virtual net::awaitable<std::optional<HttpResponse>>
  handle(const HttpRequest &Request) = 0;

  /// \returns how many of the \p FullSize bytes to send. With fewer, the reply
  /// is truncated and the connection closed.
  virtual std::size_t bytesToSend(const HttpResponse &Response,
                                  std::size_t FullSize) {
    (void)Response;
    return FullSize;
  }
};

/// A keep-alive HTTP server on one thread.
class HttpServer : public std::enable_shared_from_this<HttpServer> {
public:
  HttpServer(net::io_context &Context, std::shared_ptr<HttpHandler> Handler);

  /// Accepts connections on the loopback interface. \returns the port in use.
  std::uint16_t listen(std::uint16_t RequestedPort);

  /// Refuses new connections; open ones go on. listen() opens it again.
  void stopListening();

  /// Closes all open connections.
  void closeConnections();

  /// Stops reading and replying on open connections for good; new ones work.
  void freezeConnections();

  std::size_t connections() const { return this->Connections.size(); }
  std::uint16_t port() const { return this->Port; }

private:
  struct Connection {
    explicit Connection(net::ip::tcp::socket Socket)
        : Socket(std::move(Socket)) {}
    net::ip::tcp::socket Socket;
    bool Frozen = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  net::awaitable<void>
  acceptLoop(std::shared_ptr<net::ip::tcp::acceptor> Listener);
  net::awaitable<void> serveConnection(ConnectionPtr Client);
  net::awaitable<void> serveRequests(ConnectionPtr Client);
  net::awaitable<bool> sendResponse(ConnectionPtr Client,
                                    HttpResponse Response);
  net::awaitable<void> waitForConnectCost();

  net::io_context &Context;
  std::shared_ptr<HttpHandler> Handler;
  std::shared_ptr<net::ip::tcp::acceptor> Acceptor;
  std::map<Connection *, ConnectionPtr> Connections;
  TimePoint ConnectBusyUntil{};
  std::uint16_t Port = 0;
};

/// Suspends the calling coroutine for \p Time.
net::awaitable<void> sleepFor(Duration Time);

} // namespace citronlever::standin
