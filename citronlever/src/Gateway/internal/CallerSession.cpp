#include "citronlever/src/Gateway/internal/CallerSession.h"

#include "citronlever/src/Core/MessageFraming.h"
#include "citronlever/src/Core/internal/BeastHeader.h"
#include "citronlever/src/Core/internal/SocketOptions.h"
#include "citronlever/src/Gateway/ErrorResponse.h"
#include "citronlever/src/Gateway/LeafRequest.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

namespace citronlever {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadChunkBytes = 8 << 10;
/// Bytes of pipelined requests that are read while a request is served.
constexpr std::size_t MaxReadAheadBytes = 64 << 10;
/// Timeout for writing an answer.
constexpr Duration WriteTimeout = Seconds(10);

/// Closing a socket with unread bytes sends a reset that can destroy the answer
/// on its way. They are read and dropped for this time before the close.
constexpr Duration LingerTimeout = Milliseconds(500);
/// Retry-After of a request that was not read whole.
constexpr Duration UnreadRetryDelay = Milliseconds(50);

bool hasNoBody(int Status) {
  return Status == 204 || Status == 304 || Status < 200;
}

std::string responseHeader(const HttpResponse &Response, bool KeepAlive) {
  const auto Reason =
      http::obsolete_reason(static_cast<http::status>(Response.Status));
  std::string Head = "HTTP/1.1 " + std::to_string(Response.Status) + " " +
                     std::string(Reason) + "\r\n";
  const std::string_view Connection = Response.Headers.get("Connection");
  for (const auto &[Name, Value] : Response.Headers.all())
    if (!isConnectionField(Name, Connection) &&
        !sameFieldName(Name, "Content-Length"))
      Head.append(Name).append(": ").append(Value).append("\r\n");
  if (!hasNoBody(Response.Status))
    Head.append("Content-Length: ")
        .append(std::to_string(Response.Body.size()))
        .append("\r\n");
  if (!KeepAlive)
    Head.append("Connection: close\r\n");
  return Head.append("\r\n");
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket,
                             std::shared_ptr<CallerServerState> Shared)
    : Socket(std::move(Socket)), Timer(this->Socket.get_executor()),
      Shared(std::move(Shared)) {}

void CallerSession::start() {
  setSocketOptions(this->Socket);
  this->beginRequest();
}

void CallerSession::beginRequest() {
  this->Limits = this->Shared->Limits();
  // Eager only after the header, so that trailers are not among its fields.
  this->Request.emplace();
  this->Request->header_limit(this->Limits.MaxHeaderBytes);
  this->Request->body_limit(this->Limits.MaxBodyBytes);
  this->HeaderDone = false;
  if (this->Buffer.size() > 0) {
    this->startTimer(this->Limits.HeaderTimeout, 408);
    this->parse();
  } else {
    this->startTimer(this->Limits.IdleTimeout, 0);
  }
  if (!this->Closed)
    this->read();
}

void CallerSession::read() {
  if (this->Reading || this->Closed || this->Buffer.size() > MaxReadAheadBytes)
    return;
  this->Reading = true;
  this->Socket.async_read_some(
      this->Buffer.prepare(ReadChunkBytes),
      [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
        Self->onRead(Failure, Size);
      });
}

void CallerSession::onRead(boost::system::error_code Failure,
                           std::size_t Size) {
  this->Reading = false;
  if (this->Closed)
    return;
  if (Failure == asio::error::operation_aborted) {
    this->onReadCancelled();
    return;
  }
  if (Failure) {
    this->close();
    return;
  }
  if (this->Lingering) {
    this->read();
    return;
  }
  const bool FirstBytes = this->Buffer.size() == 0 && !this->HeaderDone;
  this->Buffer.commit(Size);
  if (!this->Serving && !this->Writing) {
    if (FirstBytes)
      this->startTimer(this->Limits.HeaderTimeout, 408);
    this->parse();
  }
  this->read();
}

void CallerSession::parse() {
  while (this->Buffer.size() > 0 && !this->Request->is_done()) {
    boost::system::error_code Failure;
    const std::size_t Consumed =
        this->Request->put(this->Buffer.data(), Failure);
    this->Buffer.consume(Consumed);
    if (!this->HeaderDone && this->Request->is_header_done())
      this->onHeader();
    if (this->Closed || this->Writing)
      return;
    if (Failure == http::error::need_more) {
      if (this->hasBareLineFeed())
        this->reject(400, "a line ends without a carriage return");
      return;
    }
    if (Failure) {
      this->rejectParseError(Failure);
      return;
    }
  }
  if (this->Request->is_done())
    this->serve();
}

void CallerSession::onHeader() {
  this->HeaderDone = true;
  this->Request->eager(true);
  const auto &Head = this->Request->get();
  this->Headers = headerFields(Head);
  if (const auto Fault = findFramingFault(this->Headers, Head.version())) {
    this->reject(400, *Fault);
    return;
  }
  if (Head.count(http::field::host) > 1) {
    this->reject(400, "more than one Host");
    return;
  }
  if (Head[http::field::expect] == "100-continue" &&
      !this->Request->is_done()) {
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code Failure;
    asio::write(this->Socket, asio::buffer(Continue), Failure);
  }
}

bool CallerSession::hasBareLineFeed() const {
  const auto Bytes = this->Buffer.data();
  const std::string_view Text(static_cast<const char *>(Bytes.data()),
                              Bytes.size());
  for (std::size_t At = Text.find('\n'); At != std::string_view::npos;
       At = Text.find('\n', At + 1))
    if (At == 0 || Text[At - 1] != '\r')
      return true;
  return false;
}

void CallerSession::serve() {
  this->Timer.cancel();
  this->Serving = true;
  ++this->Shared->InFlight;
  auto Message = this->Request->release();
  this->KeepAlive = Message.keep_alive();
  auto Incoming = std::make_shared<CallerRequest>();
  Incoming->Received = Clock::now();
  Incoming->FirstOnConnection = this->RequestsServed++ == 0;
  if (const auto Measured = roundTripTime(this->Socket))
    Incoming->RoundTrip = *Measured;
  Incoming->Http.Method = std::string(Message.method_string());
  Incoming->Http.Target = std::string(Message.target());
  Incoming->Http.Headers = std::move(this->Headers);
  Incoming->Http.Body = std::move(Message.body());
  this->IsHeadRequest = Incoming->Http.Method == "HEAD";
  auto Started = this->Shared->Serve(
      std::move(Incoming),
      [Weak = this->weak_from_this()](const HttpResponse &Response) {
        if (const auto Self = Weak.lock())
          Self->answer(Response);
      });
  // The answer may have been sent already.
  if (this->Serving)
    this->Active = std::move(Started);
}

void CallerSession::rejectParseError(boost::system::error_code Failure) {
  if (Failure == http::error::body_limit)
    this->reject(413, "request body too large");
  else if (Failure == http::error::header_limit)
    this->reject(431, "request header too large");
  else
    this->reject(400, Failure.message());
}

void CallerSession::reject(int Status, std::string_view Reason) {
  this->reject(rejectionResponse(Status, Reason));
}

void CallerSession::reject(const HttpResponse &Response) {
  this->KeepAlive = false;
  this->Serving = true;
  ++this->Shared->InFlight;
  this->answer(Response);
}

void CallerSession::answer(const HttpResponse &Response) {
  if (!this->Serving || this->Closed)
    return;
  this->Serving = false;
  this->Active = nullptr;
  this->KeepAlive =
      this->KeepAlive && !Response.Close && !this->Shared->Draining;
  this->Outgoing = responseHeader(Response, this->KeepAlive);
  if (!this->IsHeadRequest && !hasNoBody(Response.Status))
    this->Outgoing += Response.Body;
  this->Writing = true;
  this->startTimer(WriteTimeout, 0);
  asio::async_write(this->Socket, asio::buffer(this->Outgoing),
                    [Self = this->shared_from_this()](auto Failure, auto) {
                      Self->onWritten(Failure);
                    });
}

void CallerSession::onWritten(boost::system::error_code Failure) {
  if (this->Closed)
    return;
  this->Writing = false;
  --this->Shared->InFlight;
  if (Failure) {
    this->close();
    return;
  }
  if (!this->KeepAlive) {
    boost::system::error_code Ignored;
    this->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    this->Lingering = true;
    this->startTimer(LingerTimeout, 0);
    this->read();
    return;
  }
  this->beginRequest();
}

void CallerSession::startTimer(Duration Wait, int Status) {
  this->Timer.expires_after(Wait);
  this->Timer.async_wait([Weak = this->weak_from_this(), Status](auto Failure) {
    const auto Self = Weak.lock();
    // A handler that is queued already cannot be cancelled; the timer may have
    // been set for something else since.
    if (!Failure && Self && Self->Timer.expiry() <= Clock::now())
      Self->onTimeout(Status);
  });
}

void CallerSession::onTimeout(int Status) {
  if (this->Closed || this->Serving)
    return;
  if (Status != 0 && !this->Writing)
    this->reject(Status, "request was not received in time");
  else
    this->close();
}

bool CallerSession::isReadingRequest() const {
  return !this->Serving && !this->Writing && !this->Lingering &&
         (this->HeaderDone || this->Buffer.size() > 0);
}

void CallerSession::closeIfIdle() {
  if (this->Serving || this->Writing || this->Lingering ||
      this->isReadingRequest())
    return;
  // Bytes can have been received whose handler has not run yet. Then the read
  // ends with them, and the request is served.
  boost::system::error_code Ignored;
  this->Socket.cancel(Ignored);
}

void CallerSession::closeUnlessServing() {
  if (!this->Serving && !this->Writing)
    this->close();
}

void CallerSession::onReadCancelled() {
  boost::system::error_code Ignored;
  if (this->Socket.available(Ignored) > 0)
    this->read();
  else
    this->close();
}

void CallerSession::giveUp(std::string_view Reason) {
  if (const auto Request = this->Active)
    Request->giveUp(Reason);
  else if (this->isReadingRequest())
    this->reject(
        unservedResponse(Verdict::NotRun, false, UnreadRetryDelay, Reason));
}

void CallerSession::close() {
  if (std::exchange(this->Closed, true))
    return;
  const auto Self = this->shared_from_this();
  this->Timer.cancel();
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
  const bool WasServing = std::exchange(this->Serving, false);
  if (std::exchange(this->Writing, false) || WasServing)
    --this->Shared->InFlight;
  if (const auto Abandoned = std::exchange(this->Active, nullptr))
    Abandoned->onCallerGone();
  this->Shared->Sessions.erase(Self);
}

} // namespace citronlever
