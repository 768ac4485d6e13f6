#include "citronlever/src/Core/HttpClient.h"

#include "citronlever/src/Core/MessageFraming.h"
#include "citronlever/src/Core/internal/BeastHeader.h"
#include "citronlever/src/Core/internal/SocketOptions.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <optional>
#include <vector>

namespace citronlever {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Bytes of an answer that may wait for more before they can be parsed. The
/// parser itself doesn't limit the line of a chunk's size and extension, or
/// trailers.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;

/// A keep-alive connection to the server.
struct Connection {
  explicit Connection(asio::io_context &Context)
      : Stream(asio::make_strand(Context)) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  TimePoint LastUsed{};
};

using ConnectionPtr = std::shared_ptr<Connection>;

} // namespace

class HttpClient::State : public std::enable_shared_from_this<State> {
public:
  State(asio::io_context &Context, Endpoint Server, HttpClientSettings Settings)
      : Context(Context), Server(std::move(Server)), Settings(Settings) {}

  void send(HttpRequest Request, Duration Timeout, Handler Done);

  ConnectionPtr acquireIdle(TimePoint Now) {
    const std::lock_guard Lock(this->Mutex);
    while (!this->Idle.empty()) {
      ConnectionPtr Last = std::move(this->Idle.back());
      this->Idle.pop_back();
      if (Now - Last->LastUsed < this->Settings.IdleTimeout)
        return Last;
    }
    return nullptr;
  }

  void releaseIdle(ConnectionPtr Used, TimePoint Now) {
    Used->LastUsed = Now;
    const std::lock_guard Lock(this->Mutex);
    if (!this->Closed && this->Idle.size() < this->Settings.MaxIdle)
      this->Idle.push_back(std::move(Used));
  }

  void close() {
    const std::lock_guard Lock(this->Mutex);
    this->Closed = true;
    this->Idle.clear();
  }

  asio::io_context &Context;
  const Endpoint Server;
  const HttpClientSettings Settings;

private:
  std::mutex Mutex;
  std::vector<ConnectionPtr> Idle;
  bool Closed = false;
};

namespace {

/// One request in flight; keeps itself alive until its callback has run.
/// A template because HttpClient::State is private.
template <class Pool>
class Exchange : public std::enable_shared_from_this<Exchange<Pool>> {
public:
  Exchange(std::shared_ptr<Pool> Owner, HttpRequest Request, Duration Timeout,
           HttpClient::Handler Done)
      : Owner(std::move(Owner)), Request(std::move(Request)), Timeout(Timeout),
        Deadline(Clock::now() + Timeout), Done(std::move(Done)) {}

  void start() {
    this->Conn = this->Owner->acquireIdle(Clock::now());
    this->ReusesConnection = this->Conn != nullptr;
    if (!this->ReusesConnection) {
      this->connect();
      return;
    }
    asio::dispatch(this->Conn->Stream.get_executor(),
                   [Self = this->shared_from_this()] { Self->write(); });
  }

private:
  void connect() {
    this->ReusesConnection = false;
    this->Conn = std::make_shared<Connection>(this->Owner->Context);
    beast::error_code Failure;
    const auto Host = asio::ip::make_address(this->Owner->Server.Host, Failure);
    if (Failure) {
      // Posted, because callers don't expect the end within send().
      asio::post(this->Conn->Stream.get_executor(),
                 [Self = this->shared_from_this(), Failure] {
                   Self->finish(HttpOutcome::NotSent, Failure.message());
                 });
      return;
    }
    this->Conn->Stream.expires_at(std::min(
        this->Deadline, Clock::now() + this->Owner->Settings.ConnectTimeout));
    this->Conn->Stream.async_connect(
        asio::ip::tcp::endpoint(Host, this->Owner->Server.Port),
        [Self = this->shared_from_this()](beast::error_code Failed) {
          if (Failed) {
            Self->finish(HttpOutcome::NotSent, "connect: " + Failed.message());
            return;
          }
          setSocketOptions(Self->Conn->Stream.socket());
          Self->write();
        });
  }

  void write() {
    this->Message = {};
    this->Message.version(11);
    this->Message.method(http::string_to_verb(this->Request.Method));
    this->Message.target(this->Request.Target);
    this->Message.set(http::field::host, toString(this->Owner->Server));
    for (const auto &[Name, Value] : this->Request.Headers.all())
      this->Message.set(Name, Value);
    this->Message.body() = this->Request.Body;
    this->Message.prepare_payload();
    this->Conn->Stream.expires_at(this->Deadline);
    http::async_write(this->Conn->Stream, this->Message,
                      [Self = this->shared_from_this()](
                          beast::error_code Failure, std::size_t) {
                        if (Failure)
                          Self->onFailure("write: " + Failure.message());
                        else
                          Self->read();
                      });
  }

  void read() {
    this->Parser.emplace();
    this->Parser->body_limit(this->Owner->Settings.MaxBodyBytes);
    http::async_read(this->Conn->Stream, this->Conn->Buffer, *this->Parser,
                     [Self = this->shared_from_this()](
                         beast::error_code Failure, std::size_t) {
                       if (Failure)
                         Self->onFailure("read: " + Failure.message());
                       else
                         Self->onResponse();
                     });
  }

  void onFailure(std::string Reason) {
    const bool Idempotent = this->Request.Method == "GET";
    if (this->ReusesConnection && Idempotent && Clock::now() < this->Deadline)
      this->connect();
    else
      this->finish(HttpOutcome::ReplyLost, std::move(Reason));
  }

  void onResponse() {
    auto Received = this->Parser->release();
    if (const auto Fault =
            findAnswerFault(headerFields(Received), Received.version(),
                            Received.result_int())) {
      this->finish(HttpOutcome::ReplyLost, std::string(*Fault));
      return;
    }
    HttpResult Result;
    Result.Outcome = HttpOutcome::Answered;
    Result.Response.Status = Received.result_int();
    for (const auto &Field : Received)
      Result.Response.Headers.set(Field.name_string(), Field.value());
    Result.Response.Body = std::move(Received.body());
    Result.Response.Close = !Received.keep_alive();
    this->Conn->Stream.expires_never();
    // Bytes after the response belong to no request; such a connection is not
    // reused.
    if (Received.keep_alive() && this->Conn->Buffer.size() == 0)
      this->Owner->releaseIdle(std::move(this->Conn), Clock::now());
    this->Done(std::move(Result));
  }

  void finish(HttpOutcome Outcome, std::string Reason) {
    HttpResult Result;
    Result.Outcome = Outcome;
    Result.Reason = std::move(Reason);
    this->Conn.reset();
    this->Done(std::move(Result));
  }

  std::shared_ptr<Pool> Owner;
  HttpRequest Request;
  Duration Timeout;
  TimePoint Deadline;
  HttpClient::Handler Done;
  ConnectionPtr Conn;
  bool ReusesConnection = false;
  http::request<http::string_body> Message;
  std::optional<http::response_parser<http::string_body>> Parser;
};

} // namespace

void HttpClient::State::send(HttpRequest Request, Duration Timeout,
                             Handler Done) {
  std::make_shared<Exchange<State>>(
      this->shared_from_this(), std::move(Request), Timeout, std::move(Done))
      ->start();
}

HttpClient::HttpClient(asio::io_context &Context, Endpoint Server,
                       HttpClientSettings Settings)
    : Data(std::make_shared<State>(Context, std::move(Server), Settings)) {}

HttpClient::~HttpClient() { this->Data->close(); }

void HttpClient::send(HttpRequest Request, Duration Timeout, Handler Done) {
  this->Data->send(std::move(Request), Timeout, std::move(Done));
}

} // namespace citronlever
