#include "citronlever/src/Gateway/internal/ChannelConnection.h"

#include "citronlever/src/Core/internal/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <charconv>

namespace citronlever {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadSize = 16 << 10;
constexpr std::uint64_t MaxAnswerBytes = 8 << 20;
constexpr std::uint32_t MaxAnswerHeadBytes = 32 << 10;
/// Part of a leaf's idle timeout within which a connection is still used.
constexpr double SafeIdlePart = 0.7;

/// \returns the seconds of "timeout=N" in a Keep-Alive field, 0 without one.
int keepAliveSeconds(std::string_view Field) {
  const std::size_t At = Field.find("timeout=");
  if (At == std::string_view::npos)
    return 0;
  int Value = 0;
  const char *First = Field.data() + At + 8;
  std::from_chars(First, Field.data() + Field.size(), Value);
  return std::max(0, Value);
}

bool knownLoad(std::string_view Text, ReportedLoad &Load) {
  int Values[3] = {};
  const char *At = Text.data();
  const char *End = At + Text.size();
  for (int &Value : Values) {
    while (At != End && (*At == ',' || *At == ' '))
      ++At;
    const auto [Next, Failure] = std::from_chars(At, End, Value);
    if (Failure != std::errc())
      return false;
    At = Next;
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
    this->close("address: " + Failure.message());
    return;
  }
  this->Timer.expires_after(Channel->Settings.ConnectTimeout);
  this->Timer.async_wait([Self = this->shared_from_this()](auto Cancelled) {
    if (!Cancelled)
      Self->close("connect timed out");
  });
  this->Socket.async_connect({Host, Address.Port},
                             [Self = this->shared_from_this()](auto Failed) {
                               if (Self->Closed)
                                 return;
                               if (Failed)
                                 Self->close("connect: " + Failed.message());
                               else
                                 Self->connected();
                             });
}

void ChannelConnection::connected() {
  this->Timer.cancel();
  prepareSocket(this->Socket);
  this->read();
  if (const auto Channel = this->Owner.lock())
    Channel->linkReady(this->shared_from_this());
}

void ChannelConnection::send(const ChannelCallPtr &Call, TimePoint Now) {
  const auto Channel = this->Owner.lock();
  this->Current = Call;
  Call->SentAt = Now;
  Channel->Stats.sent(Call->Id, Now);
  ++Channel->Totals.Calls;
  this->beginParser();
  this->Outgoing = Call->Request->bytes(Channel->entry().Id, Now);
  this->Writing = true;
  asio::async_write(this->Socket, asio::buffer(this->Outgoing),
                    [Self = this->shared_from_this()](auto Failure, auto) {
                      Self->Writing = false;
                      if (Failure)
                        Self->close("write: " + Failure.message());
                    });
  if (Call->OnSent)
    Call->OnSent(Now);
}

void ChannelConnection::beginParser() {
  this->Answer.emplace();
  this->Answer->eager(true);
  this->Answer->body_limit(MaxAnswerBytes);
  this->Answer->header_limit(MaxAnswerHeadBytes);
  if (this->Current && this->Current->Request->method() == "HEAD")
    this->Answer->skip(true);
}

void ChannelConnection::read() {
  this->Socket.async_read_some(
      this->Buffer.prepare(ReadSize),
      [Self = this->shared_from_this()](auto Failure, std::size_t Size) {
        Self->came(Failure, Size);
      });
}

void ChannelConnection::came(boost::system::error_code Failure,
                             std::size_t Size) {
  if (this->Closed)
    return;
  if (Failure) {
    this->ended(Failure);
    return;
  }
  this->Buffer.commit(Size);
  this->parse();
  if (!this->Closed)
    this->read();
}

void ChannelConnection::parse() {
  if (!this->Current) {
    if (const auto Channel = this->Owner.lock())
      ++Channel->Totals.StrayBytes;
    this->close("bytes that belong to no request");
    return;
  }
  while (this->Buffer.size() > 0 && this->Current && !this->Answer->is_done()) {
    boost::system::error_code Failure;
    const std::size_t Used = this->Answer->put(this->Buffer.data(), Failure);
    this->Buffer.consume(Used);
    if (Failure == http::error::need_more)
      return;
    if (Failure) {
      this->close("answer: " + Failure.message());
      return;
    }
    if (this->Answer->is_done())
      this->answered();
  }
}

void ChannelConnection::ended(boost::system::error_code Failure) {
  // An answer without a length ends with its connection, if that ends well.
  if (Failure == asio::error::eof && this->Current && this->Answer &&
      this->Answer->is_header_done()) {
    boost::system::error_code Cut;
    this->Answer->put_eof(Cut);
    if (!Cut && this->Answer->is_done()) {
      this->answered();
      return;
    }
  }
  this->close("read: " + Failure.message());
}

void ChannelConnection::answered() {
  const auto Channel = this->Owner.lock();
  if (!Channel) {
    this->close("channel gone");
    return;
  }
  const auto &Message = this->Answer->get();
  const std::string_view Id = Message[Channel->Names.RequestId];
  if (!Id.empty() && Id != this->Current->Request->requestId()) {
    // A second answer to an earlier request; ours is still to come.
    ++Channel->Totals.StrayBytes;
    this->UsableUntil = {};
    this->beginParser();
    return;
  }
  const bool KeepAlive = this->Answer->keep_alive() && !this->Writing &&
                         this->Buffer.size() == 0 && this->usable(Clock::now());
  const std::string KeepAliveField(Message["Keep-Alive"]);
  ChannelAnswer Result = this->decode();
  const ChannelCallPtr Call = std::move(this->Current);
  this->Current = nullptr;
  this->Timer.cancel();
  if (KeepAlive)
    this->keep(KeepAliveField);
  else
    this->close("not kept");
  Channel->callEnded(Call, std::move(Result));
}

ChannelAnswer ChannelConnection::decode() {
  const auto Channel = this->Owner.lock();
  const TimePoint Now = Clock::now();
  ChannelAnswer Result;
  Result.Latency = Now - this->Current->SentAt;
  ReportedLoad Load;
  auto Message = this->Answer->release();
  if (knownLoad(Message[Channel->Names.Load], Load))
    Channel->Stats.reported(Load, Now);
  Result.Response.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Result.Response.Headers.add(Field.name_string(), Field.value());
  Result.Response.Body = std::move(Message.body());
  if (Result.Response.Status == 421) {
    Channel->Misdirected = true;
    Result.Outcome = ChannelOutcome::NotRun;
    Result.Reason = "another leaf has the address";
    return Result;
  }
  if (Result.Response.Headers.has(Channel->Names.NotRun)) {
    Result.Outcome = ChannelOutcome::NotRun;
    Result.Reason = "refused by the leaf";
    return Result;
  }
  Result.Outcome = ChannelOutcome::Answered;
  const bool Success =
      Result.Response.Status >= 200 && Result.Response.Status < 300;
  if (Success &&
      (!Result.Response.Headers.has(Channel->Names.AnswerSignature) ||
       Result.Response.Headers.has("Content-Encoding"))) {
    Result.Outcome = ChannelOutcome::Lost;
    Result.Reason = "success without a signature or with an encoding";
  }
  return Result;
}

void ChannelConnection::keep(std::string_view KeepAliveField) {
  const auto Channel = this->Owner.lock();
  const TimePoint Now = Clock::now();
  this->UsableUntil = Now + Channel->Settings.IdleMax;
  if (const int Stated = keepAliveSeconds(KeepAliveField); Stated > 0)
    this->UsableUntil = Now + std::chrono::duration_cast<Duration>(
                                  Seconds(Stated) * SafeIdlePart);
  Channel->linkReady(this->shared_from_this());
}

void ChannelConnection::abandon(const ChannelCallPtr &Call) {
  Call->Done = true;
  const auto Channel = this->Owner.lock();
  this->Timer.expires_after(Channel->Settings.AbandonGrace);
  this->Timer.async_wait([Self = this->shared_from_this(), Call](auto Failure) {
    if (!Failure && Self->Current == Call)
      Self->close("abandoned");
  });
}

void ChannelConnection::close(std::string_view Reason) {
  if (this->Closed)
    return;
  this->shut();
  const auto Channel = this->Owner.lock();
  if (!Channel)
    return;
  const auto Self = this->shared_from_this();
  const ChannelCallPtr Call = std::move(this->Current);
  this->Current = nullptr;
  if (this->Fresh) {
    Channel->linkFailed(Self, Reason);
    return;
  }
  Channel->linkGone(Self);
  if (Call) {
    ChannelAnswer Result;
    Result.Outcome = ChannelOutcome::Lost;
    Result.Reason = std::string(Reason);
    Channel->callEnded(Call, std::move(Result));
  }
}

void ChannelConnection::shut() {
  this->Closed = true;
  this->Timer.cancel();
  boost::system::error_code Ignored;
  this->Socket.close(Ignored);
}

} // namespace citronlever
