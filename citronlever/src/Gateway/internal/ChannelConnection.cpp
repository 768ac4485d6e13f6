#include "citronlever/src/Gateway/internal/ChannelConnection.h"

#include "citronlever/src/Core/MessageFraming.h"
#include "citronlever/src/Core/internal/BeastHeader.h"
#include "citronlever/src/Core/internal/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <charconv>

namespace citronlever {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadChunkBytes = 16 << 10;
constexpr std::uint32_t MaxAnswerHeaderBytes = 32 << 10;
/// Bytes that may wait for more before they can be parsed. The parser itself
/// doesn't limit the line of a chunk's size and extension, or trailers.
constexpr std::size_t MaxUnparsedBytes = MaxAnswerHeaderBytes + ReadChunkBytes;
/// Number of answers that may precede the one to the current request: interim
/// ones (status 1xx) and second ones to earlier requests.
constexpr int MaxSkippedAnswers = 16;
/// Share of the leaf's announced idle timeout within which a connection is
/// reused.
constexpr double IdleSafetyFactor = 0.7;

/// \returns the seconds in "timeout=N" of a Keep-Alive field, or 0.
int keepAliveSeconds(std::string_view Field) {
  const std::size_t Pos = Field.find("timeout=");
  if (Pos == std::string_view::npos)
    return 0;
  int Value = 0;
  const char *First = Field.data() + Pos + 8;
  std::from_chars(First, Field.data() + Field.size(), Value);
  return std::max(0, Value);
}

/// Parses "running,waiting,slots".
/// \returns whether the text is valid.
bool parseLoad(std::string_view Text, ReportedLoad &Load) {
  int Values[3] = {};
  const char *It = Text.data();
  const char *End = It + Text.size();
  for (int &Value : Values) {
    while (It != End && (*It == ',' || *It == ' '))
      ++It;
    const auto [Next, Failure] = std::from_chars(It, End, Value);
    if (Failure != std::errc())
      return false;
    It = Next;
  }
  Load = {Values[0], Values[1], Values[2]};
  return true;
}

} // namespace

ChannelConnection::ChannelConnection(asio::io_context &Context,
                                     const std::shared_ptr<LeafChannel> &Owner)
    : Socket(Context), Timer(Context), Owner(Owner) {}

void ChannelConnection::connect() {
  const auto Channel = this->Owner.lock();
  const Endpoint &Address = Channel->entry().Address;
  boost::system::error_code Failure;
  const auto Host = asio::ip::make_address(Address.Host, Failure);
  if (Failure) {
    this->close("invalid leaf address: " + Failure.message());
    return;
  }
  this->Timer.expires_after(Channel->Settings.ConnectTimeout);
  this->Timer.async_wait([Self = this->shared_from_this()](auto Cancelled) {
    // The attempt can have succeeded while this handler was queued.
    if (!Cancelled && Self->isConnecting())
      Self->close("connection attempt timed out");
  });
  this->Socket.async_connect(
      {Host, Address.Port}, [Self = this->shared_from_this()](auto Failed) {
        if (Self->Closed)
          return;
        if (Failed)
          Self->close("cannot connect: " + Failed.message());
        else
          Self->onConnected();
      });
}

void ChannelConnection::onConnected() {
  this->Timer.cancel();
  setSocketOptions(this->Socket);
  this->read();
  if (const auto Channel = this->Owner.lock())
    Channel->onConnectionReady(this->shared_from_this());
}

void ChannelConnection::send(const ChannelCallPtr &Call, TimePoint Now) {
  const auto Channel = this->Owner.lock();
  this->CurrentCall = Call;
  this->SkippedAnswers = 0;
  Call->SentAt = Now;
  Channel->countSent(*Call, Now);
  this->resetParser();
  this->Outgoing = Call->Request->bytes(Channel->entry().Id, Now);
  this->Writing = true;
  asio::async_write(this->Socket, asio::buffer(this->Outgoing),
                    [Self = this->shared_from_this()](auto Failure, auto) {
                      Self->Writing = false;
                      if (Failure)
                        Self->close("write failed: " + Failure.message());
                    });
}

void ChannelConnection::resetParser() {
  // Eager only after the header, so that trailers are not among its fields.
  this->AnswerParser.emplace();
  this->HeaderDone = false;
  if (const auto Channel = this->Owner.lock())
    this->AnswerParser->body_limit(Channel->Settings.MaxAnswerBytes);
  this->AnswerParser->header_limit(MaxAnswerHeaderBytes);
  if (this->CurrentCall && this->CurrentCall->Request->method() == "HEAD")
    this->AnswerParser->skip(true);
}

void ChannelConnection::read() {
  this->Socket.async_read_some(
      this->Buffer.prepare(ReadChunkBytes),
      [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
        Self->onRead(Failure, Size);
      });
}

void ChannelConnection::onRead(boost::system::error_code Failure,
                               std::size_t Size) {
  if (this->Closed)
    return;
  if (Failure) {
    this->onReadError(Failure);
    return;
  }
  this->Buffer.commit(Size);
  this->countUnfinished(Size);
  if (!this->Closed)
    this->parse();
  if (!this->Closed)
    this->read();
}

void ChannelConnection::countUnfinished(std::size_t Size) {
  const auto Channel = this->Owner.lock();
  if (!Channel || !this->CurrentCall)
    return;
  this->UnfinishedBytes += Size;
  Channel->Totals.UnfinishedBytes += Size;
  if (Channel->Totals.UnfinishedBytes > Channel->Settings.MaxUnfinishedBytes &&
      this->UnfinishedBytes > Channel->Settings.LargeAnswerBytes)
    this->close("unfinished answers hold too much memory");
}

void ChannelConnection::releaseUnfinished() {
  if (const auto Channel = this->Owner.lock())
    Channel->Totals.UnfinishedBytes -= this->UnfinishedBytes;
  this->UnfinishedBytes = 0;
}

void ChannelConnection::parse() {
  if (!this->CurrentCall) {
    if (const auto Channel = this->Owner.lock())
      ++Channel->Totals.StrayBytes;
    this->close("received bytes that belong to no request");
    return;
  }
  while (this->Buffer.size() > 0 && this->CurrentCall &&
         !this->AnswerParser->is_done()) {
    boost::system::error_code Failure;
    const std::size_t Consumed =
        this->AnswerParser->put(this->Buffer.data(), Failure);
    this->Buffer.consume(Consumed);
    if (!this->HeaderDone && this->AnswerParser->is_header_done())
      this->onHeader();
    if (this->Closed)
      return;
    if (Failure == http::error::need_more &&
        this->Buffer.size() <= MaxUnparsedBytes)
      return;
    if (Failure) {
      this->close("malformed answer: " + Failure.message());
      return;
    }
    if (this->AnswerParser->is_done())
      this->onAnswer();
  }
}

void ChannelConnection::onReadError(boost::system::error_code Failure) {
  // The body of an answer without a length ends with an orderly close of the
  // connection.
  if (Failure == asio::error::eof && this->CurrentCall && this->AnswerParser &&
      this->AnswerParser->is_header_done()) {
    boost::system::error_code Cut;
    this->AnswerParser->put_eof(Cut);
    // An answer to another request leaves the current one open.
    if (!Cut && this->AnswerParser->is_done())
      this->onAnswer();
  }
  this->close("read failed: " + Failure.message());
}

void ChannelConnection::onHeader() {
  this->HeaderDone = true;
  this->AnswerParser->eager(true);
  const auto &Message = this->AnswerParser->get();
  this->AnswerHeaders = headerFields(Message);
  if (const auto Fault = findAnswerFault(this->AnswerHeaders, Message.version(),
                                         Message.result_int()))
    this->close(*Fault);
}

void ChannelConnection::onAnswer() {
  const auto Channel = this->Owner.lock();
  if (!Channel) {
    this->close("leaf channel was destroyed");
    return;
  }
  const auto &Message = this->AnswerParser->get();
  if (Message.result_int() < 200) {
    this->skipAnswer();
    return;
  }
  const std::string_view Id = this->AnswerHeaders.get(Channel->Names.RequestId);
  if (!Id.empty() && Id != this->CurrentCall->Request->requestId()) {
    // This is a second answer to an earlier request. The answer to the current
    // one is still to come.
    ++Channel->Totals.StrayBytes;
    this->HasStrayAnswers = true;
    this->skipAnswer();
    return;
  }
  const bool KeepAlive = this->AnswerParser->keep_alive() && !this->Writing &&
                         this->Buffer.size() == 0 && !this->HasStrayAnswers;
  if (const int Stated =
          keepAliveSeconds(this->AnswerHeaders.get("Keep-Alive"));
      Stated > 0)
    Channel->MaxIdle = std::chrono::duration_cast<Duration>(Seconds(Stated) *
                                                            IdleSafetyFactor);
  ChannelAnswer Result = this->takeAnswer();
  const ChannelCallPtr Call = std::move(this->CurrentCall);
  this->CurrentCall = nullptr;
  this->releaseUnfinished();
  this->Timer.cancel();
  // Before this connection takes the next call.
  if (!Channel->isMisdirected())
    Channel->readStatedRate(Result.Response.Headers, Clock::now());
  if (KeepAlive)
    this->keepAlive();
  else
    this->close("connection is not persistent");
  Channel->onCallEnded(Call, std::move(Result));
}

void ChannelConnection::skipAnswer() {
  if (++this->SkippedAnswers > MaxSkippedAnswers)
    this->close("too many answers that are not the one to the request");
  else
    this->resetParser();
}

ChannelAnswer ChannelConnection::takeAnswer() {
  const auto Channel = this->Owner.lock();
  const TimePoint Now = Clock::now();
  ChannelAnswer Result;
  Result.Latency = Now - this->CurrentCall->SentAt;
  ReportedLoad Load;
  auto Message = this->AnswerParser->release();
  if (parseLoad(this->AnswerHeaders.get(Channel->Names.Load), Load))
    Channel->Stats.onLoadReport(Load, Now);
  Result.Response.Status = static_cast<int>(Message.result_int());
  Result.Response.Headers = std::move(this->AnswerHeaders);
  Result.Response.Body = std::move(Message.body());
  if (Result.Response.Status == 421) {
    Channel->Misdirected = true;
    Result.Outcome = ChannelOutcome::NotRun;
    Result.Reason = "a different leaf answered at this address";
    return Result;
  }
  if (Result.Response.Headers.has(Channel->Names.NotRun)) {
    Result.Outcome = ChannelOutcome::NotRun;
    Result.Reason = "leaf refused the request";
    return Result;
  }
  Result.Outcome = ChannelOutcome::Answered;
  const bool Success =
      Result.Response.Status >= 200 && Result.Response.Status < 300;
  if (Success &&
      (!Result.Response.Headers.has(Channel->Names.AnswerSignature) ||
       Result.Response.Headers.has("Content-Encoding"))) {
    Result.Outcome = ChannelOutcome::Lost;
    Result.Reason =
        "successful answer has no signature or has a content encoding";
  }
  return Result;
}

void ChannelConnection::keepAlive() {
  const auto Channel = this->Owner.lock();
  this->UsableUntil = Clock::now() + Channel->MaxIdle;
  Channel->onConnectionReady(this->shared_from_this());
}

void ChannelConnection::abandon(const ChannelCallPtr &Call) {
  Call->Done = true;
  const auto Channel = this->Owner.lock();
  this->Timer.expires_after(Channel->Settings.AbandonGrace);
  this->Timer.async_wait([Self = this->shared_from_this(), Call](auto Failure) {
    if (!Failure && Self->CurrentCall == Call)
      Self->close("abandoned");
  });
}

void ChannelConnection::close(std::string_view Reason) {
  if (this->Closed)
    return;
  this->closeSocket();
  const auto Channel = this->Owner.lock();
  if (!Channel)
    return;
  const auto Self = this->shared_from_this();
  const ChannelCallPtr Call = std::move(this->CurrentCall);
  this->CurrentCall = nullptr;
  this->releaseUnfinished();
  if (this->Connecting) {
    Channel->onConnectFailed(Self, Reason);
    return;
  }
  Channel->onConnectionClosed(Self);
  if (Call) {
    ChannelAnswer Result;
    Result.Outcome = ChannelOutcome::Lost;
    Result.Reason = std::string(Reason);
    Channel->onCallEnded(Call, std::move(Result));
  }
}

void ChannelConnection::closeSocket() {
  this->Closed = true;
  this->Timer.cancel();
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
}

} // namespace citronlever
