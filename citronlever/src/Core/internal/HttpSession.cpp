#include "citronlever/src/Core/internal/HttpSession.h"

#include "citronlever/src/Core/MessageFraming.h"
#include "citronlever/src/Core/internal/BeastHeader.h"
#include "citronlever/src/Core/internal/SocketOptions.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace citronlever {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Bytes of a request that may wait for more before they can be parsed. The
/// parser itself doesn't limit the line of a chunk's size and extension, or
/// trailers.
constexpr std::size_t MaxUnparsedBytes = 128 << 10;

class Session final : public HttpSession,
                      public HttpCaller,
                      public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket,
          std::shared_ptr<HttpServerShared> Common)
      : Stream(std::move(Socket)), Shared(std::move(Common)) {
    this->Shared->Connections.fetch_add(1);
  }
  ~Session() override { this->Shared->Connections.fetch_sub(1); }

  void start() {
    setSocketOptions(this->Stream.socket());
    // The peek of a watch must not wait for bytes.
    beast::error_code Ignored;
    this->Stream.socket().non_blocking(true, Ignored);
    asio::dispatch(this->Stream.get_executor(),
                   [Self = this->shared_from_this()] { Self->readHeader(); });
  }

  void onDisconnect(std::function<void()> Callback) override {
    asio::post(this->Stream.get_executor(),
               [Self = this->shared_from_this(),
                Callback = std::move(Callback)]() mutable {
                 if (Self->Serving)
                   Self->watchForDisconnect(std::move(Callback));
               });
  }

  void closeWhenIdle() override {
    asio::post(this->Stream.get_executor(), [Self = this->shared_from_this()] {
      if (Self->Idle)
        Self->close();
    });
  }

private:
  /// Sends the reply once, or a 500 if the handler destroyed every copy of its
  /// HttpReply without calling it.
  struct ReplyGuard {
    std::shared_ptr<Session> Owner;
    std::atomic<bool> Done{false};

    explicit ReplyGuard(std::shared_ptr<Session> Owner)
        : Owner(std::move(Owner)) {}
    ~ReplyGuard() {
      this->send(errorResponse(500, "internal", "may_have_run", "no answer"));
    }
    void send(HttpResponse Response) {
      if (this->Done.exchange(true))
        return;
      asio::post(
          this->Owner->Stream.get_executor(),
          [Self = this->Owner, Response = std::move(Response)]() mutable {
            Self->write(std::move(Response));
          });
    }
  };

  static HttpResponse errorResponse(int Status, std::string_view Code,
                                    std::string_view Verdict,
                                    std::string_view Reason) {
    HttpResponse Result;
    Result.Status = Status;
    Result.Headers.set("X-Verdict", Verdict);
    Result.Body = "{\"error\":\"" + std::string(Code) + "\",\"verdict\":\"" +
                  std::string(Verdict) + "\",\"reason\":\"" +
                  std::string(Reason) + "\"}";
    Result.Close = true;
    return Result;
  }

  void readHeader() {
    if (this->Shared->Stopped) {
      this->close();
      return;
    }
    this->Idle = this->Buffer.size() == 0;
    this->Parser.emplace();
    this->Parser->body_limit(this->Shared->Settings.MaxBodyBytes);
    this->Parser->header_limit(this->Shared->Settings.MaxHeaderBytes);
    this->Stream.expires_after(this->Shared->Settings.IdleTimeout);
    http::async_read_header(this->Stream, this->Buffer, *this->Parser,
                            [Self = this->shared_from_this()](
                                beast::error_code Failure, std::size_t) {
                              Self->Idle = false;
                              if (Failure)
                                Self->rejectRequest(Failure);
                              else
                                Self->onHeader();
                            });
  }

  /// Takes over the header; the parser adds trailers to its fields later.
  void onHeader() {
    const auto &Head = this->Parser->get();
    this->Headers = {};
    for (const auto &Field : Head)
      this->Headers.set(Field.name_string(), Field.value());
    if (const auto Fault = findFramingFault(headerFields(Head), Head.version()))
      this->refuse(400, "malformed", *Fault);
    else
      this->readBody();
  }

  void readBody() {
    this->Stream.expires_after(this->Shared->Settings.TransferTimeout);
    http::async_read(this->Stream, this->Buffer, *this->Parser,
                     [Self = this->shared_from_this()](
                         beast::error_code Failure, std::size_t) {
                       if (Failure)
                         Self->rejectRequest(Failure);
                       else
                         Self->handleRequest();
                     });
  }

  void rejectRequest(beast::error_code Failure) {
    if (Failure.category() !=
            http::make_error_code(http::error::end_of_stream).category() ||
        Failure == http::error::end_of_stream ||
        Failure == http::error::partial_message) {
      this->close();
      return;
    }
    if (Failure == http::error::body_limit)
      this->refuse(413, "too_large", "body too large");
    else if (Failure == http::error::header_limit)
      this->refuse(431, "too_large", "headers too large");
    else
      this->refuse(400, "malformed", Failure.message());
  }

  void refuse(int Status, std::string_view Code, std::string_view Reason) {
    this->Shared->Refused.fetch_add(1);
    this->KeepAlive = false;
    this->write(errorResponse(Status, Code, "not_run", Reason));
  }

  void handleRequest() {
    this->Shared->Requests.fetch_add(1);
    this->Shared->InFlight.fetch_add(1);
    this->Counted = true;
    this->Stream.expires_never();
    auto Message = this->Parser->release();
    this->KeepAlive = Message.keep_alive();
    auto Request = std::make_shared<HttpRequest>();
    Request->Method = std::string(Message.method_string());
    Request->Target = std::string(Message.target());
    Request->Headers = std::move(this->Headers);
    Request->Body = std::move(Message.body());
    Request->Caller = this->shared_from_this();
    this->Serving = true;
    auto Guard = std::make_shared<ReplyGuard>(this->shared_from_this());
    try {
      this->Shared->Handler(Request, [Guard](HttpResponse Response) {
        Guard->send(std::move(Response));
      });
    } catch (const std::exception &) {
      Guard->send(
          errorResponse(500, "internal", "may_have_run", "handler failed"));
    }
  }

  /// Calls \p Callback if the caller closes the connection while its request is
  /// handled. Stops watching when bytes of a pipelined request arrive.
  void watchForDisconnect(std::function<void()> Callback) {
    this->OnDisconnect = std::move(Callback);
    this->waitForDisconnect();
  }

  void waitForDisconnect() {
    if (std::exchange(this->Watching, true))
      return;
    this->Stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [Self = this->shared_from_this()](beast::error_code Failure) {
          Self->Watching = false;
          if (!Self->Serving || !Self->OnDisconnect)
            return;
          char Byte = 0;
          if (!Failure)
            Self->Stream.socket().receive(asio::buffer(&Byte, 1),
                                          asio::socket_base::message_peek,
                                          Failure);
          // The wait began for an earlier request, and the bytes that ended it
          // have been read as the current one.
          if (Failure == asio::error::would_block)
            Self->waitForDisconnect();
          else if (Failure)
            std::exchange(Self->OnDisconnect, nullptr)();
        });
  }

  void write(HttpResponse Response) {
    this->Serving = false;
    this->OnDisconnect = nullptr;
    this->KeepAlive = this->KeepAlive && !Response.Close &&
                      !this->Shared->Draining && !this->Shared->Stopped;
    auto Message = std::make_shared<http::response<http::string_body>>();
    Message->version(11);
    Message->result(static_cast<unsigned>(Response.Status));
    for (const auto &[Name, Value] : Response.Headers.all())
      Message->set(Name, Value);
    if (!Response.Headers.has("Content-Type") && !Response.Body.empty())
      Message->set(http::field::content_type, "application/json");
    Message->body() = std::move(Response.Body);
    Message->keep_alive(this->KeepAlive);
    Message->prepare_payload();
    this->Stream.expires_after(this->Shared->Settings.TransferTimeout);
    http::async_write(this->Stream, *Message,
                      [Self = this->shared_from_this(),
                       Message](beast::error_code Failure, std::size_t) {
                        if (std::exchange(Self->Counted, false))
                          Self->Shared->InFlight.fetch_sub(1);
                        if (Failure || !Self->KeepAlive)
                          Self->close();
                        else
                          Self->readHeader();
                      });
  }

  void close() {
    beast::error_code Ignored;
    this->Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                   Ignored);
    this->Stream.close();
  }

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServerShared> Shared;
  beast::flat_buffer Buffer{MaxUnparsedBytes};
  std::optional<http::request_parser<http::string_body>> Parser;
  HttpFields Headers;
  bool KeepAlive = true;
  bool Idle = false;
  bool Serving = false;
  /// The request counts as in flight until its answer is written.
  bool Counted = false;
  bool Watching = false;
  std::function<void()> OnDisconnect;
};

} // namespace

std::shared_ptr<HttpSession>
startHttpSession(asio::ip::tcp::socket Socket,
                 std::shared_ptr<HttpServerShared> Shared) {
  auto Result = std::make_shared<Session>(std::move(Socket), std::move(Shared));
  Result->start();
  return Result;
}

} // namespace citronlever
