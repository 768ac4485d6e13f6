#include "test/standins/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <sstream>

namespace citronlever::standin {

using net::ip::tcp;

namespace {

constexpr std::uint64_t MaxBodyBytes = 2 << 20;

std::string serialized(const HttpResponse &Response) {
  std::ostringstream Text;
  Text << Response;
  return Text.str();
}

} // namespace

HttpResponse jsonResponse(http::status Status, const json::value &Body) {
  HttpResponse Result{Status, 11};
  Result.set(http::field::content_type, "application/json");
  Result.body() = json::serialize(Body);
  return Result;
}

HttpResponse emptyResponse(http::status Status) {
  return HttpResponse{Status, 11};
}

RequestTarget::RequestTarget(std::string_view Text) {
  const auto QueryStart = Text.find('?');
  this->Path = std::string(Text.substr(0, QueryStart));
  while (QueryStart != std::string_view::npos) {
    Text.remove_prefix(Text.find_first_of("?&") + 1);
    const std::string_view Parameter = Text.substr(0, Text.find('&'));
    const auto Equals = Parameter.find('=');
    if (Equals != std::string_view::npos)
      this->Parameters.emplace(Parameter.substr(0, Equals),
                               Parameter.substr(Equals + 1));
    if (Text.find('&') == std::string_view::npos)
      break;
  }
}

std::int64_t RequestTarget::number(std::string_view Name,
                                   std::int64_t Default) const {
  const auto Found = this->Parameters.find(Name);
  if (Found == this->Parameters.end())
    return Default;
  const std::string &Text = Found->second;
  std::int64_t Result = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Result);
  return Result;
}

std::string RequestTarget::text(std::string_view Name) const {
  const auto Found = this->Parameters.find(Name);
  return Found == this->Parameters.end() ? std::string() : Found->second;
}

net::awaitable<void> sleepFor(Duration Time) {
  net::steady_timer Timer(co_await net::this_coro::executor);
  Timer.expires_after(Time);
  co_await Timer.async_wait(net::use_awaitable);
}

HttpServer::HttpServer(net::io_context &Context,
                       std::shared_ptr<HttpHandler> Handler)
    : Context(Context), Handler(std::move(Handler)) {}

std::uint16_t HttpServer::listen(std::uint16_t RequestedPort) {
  const tcp::endpoint Address(net::ip::address_v4::loopback(), RequestedPort);
  this->Acceptor = std::make_shared<tcp::acceptor>(this->Context, Address);
  this->Port = this->Acceptor->local_endpoint().port();
  net::co_spawn(
      this->Context,
      [Self = this->shared_from_this(), Listener = this->Acceptor] {
        return Self->acceptLoop(Listener);
      },
      net::detached);
  return this->Port;
}

void HttpServer::stopListening() {
  if (this->Acceptor)
    this->Acceptor->close();
  this->Acceptor.reset();
}

void HttpServer::closeConnections() {
  for (const auto &Item : this->Connections) {
    boost::system::error_code Ignored;
    Item.second->Socket.close(Ignored);
  }
  this->Connections.clear();
}

void HttpServer::freezeConnections() {
  for (const auto &Item : this->Connections)
    Item.second->Frozen = true;
}

net::awaitable<void>
HttpServer::acceptLoop(std::shared_ptr<tcp::acceptor> Listener) {
  while (Listener->is_open()) {
    boost::system::error_code Failure;
    tcp::socket Socket = co_await Listener->async_accept(
        net::redirect_error(net::use_awaitable, Failure));
    if (Failure || !this->Handler->admitConnection(this->Connections.size()))
      continue;
    Socket.set_option(tcp::no_delay(true), Failure);
    auto Client = std::make_shared<Connection>(std::move(Socket));
    this->Connections.emplace(Client.get(), Client);
    net::co_spawn(
        this->Context,
        [Self = this->shared_from_this(), Client] {
          return Self->serveConnection(Client);
        },
        net::detached);
  }
}

net::awaitable<void> HttpServer::waitForConnectCost() {
  const Duration Cost = this->Handler->connectCost();
  if (Cost <= Duration{})
    co_return;
  this->ConnectBusyUntil =
      std::max(this->ConnectBusyUntil, Clock::now()) + Cost;
  co_await sleepFor(this->ConnectBusyUntil - Clock::now());
}

net::awaitable<void> HttpServer::serveConnection(ConnectionPtr Client) {
  try {
    co_await this->waitForConnectCost();
    co_await this->serveRequests(Client);
  } catch (const std::exception &) {
    // The other end went away, or the stand-in closed the connection.
  }
  boost::system::error_code Ignored;
  Client->Socket.close(Ignored);
  this->Connections.erase(Client.get());
}

net::awaitable<void> HttpServer::serveRequests(ConnectionPtr Client) {
  boost::beast::flat_buffer Buffer;
  bool KeepAlive = true;
  while (KeepAlive) {
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    co_await http::async_read(Client->Socket, Buffer, Parser,
                              net::use_awaitable);
    if (Client->Frozen)
      continue;
    const HttpRequest Request = Parser.release();
    std::optional<HttpResponse> Response =
        co_await this->Handler->handle(Request);
    if (!Response)
      co_return;
    Response->keep_alive(Request.keep_alive());
    Response->prepare_payload();
    KeepAlive = co_await this->sendResponse(Client, std::move(*Response)) &&
                Request.keep_alive();
  }
}

net::awaitable<bool> HttpServer::sendResponse(ConnectionPtr Client,
                                              HttpResponse Response) {
  if (Client->Frozen)
    co_return true;
  const std::string Text = serialized(Response);
  const std::size_t BytesToSend =
      this->Handler->bytesToSend(Response, Text.size());
  const std::size_t Length = std::min(BytesToSend, Text.size());
  co_await net::async_write(Client->Socket, net::buffer(Text.data(), Length),
                            net::use_awaitable);
  if (BytesToSend > Text.size())
    co_await net::async_write(Client->Socket, net::buffer(Text),
                              net::use_awaitable);
  co_return Length == Text.size();
}

} // namespace citronlever::standin
