#include "citronlever/src/Upstream/internal/LeafConnection.h"

#include "citronlever/src/Core/MessageFraming.h"
#include "citronlever/src/Core/internal/BeastHeader.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>

#include <netinet/tcp.h>

#include <charconv>
#include <utility>

namespace citronlever::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setTcpOption(asio::ip::tcp::socket &Socket, int Name, int Value) {
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, Name, &Value,
               sizeof(Value));
}

void setSocketOptions(asio::ip::tcp::socket &Socket, Duration TcpUserTimeout) {
  error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  setTcpOption(Socket, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setTcpOption(Socket, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setTcpOption(Socket, TCP_KEEPCNT, KeepAliveProbes);
  setTcpOption(Socket, TCP_USER_TIMEOUT,
               static_cast<int>(toMs(TcpUserTimeout)));
}

/// Parses "<requests in flight>/<slots>"; leaves \p Reply unchanged if \p Text
/// is malformed.
void parseLoad(std::string_view Text, LeafReply &Reply) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return;
  const char *Begin = Text.data();
  int InFlight = 0;
  int Slots = 0;
  const auto First = std::from_chars(Begin, Begin + Slash, InFlight);
  const auto Second =
      std::from_chars(Begin + Slash + 1, Begin + Text.size(), Slots);
  if (First.ec != std::errc() || Second.ec != std::errc())
    return;
  Reply.LoadInFlight = InFlight;
  Reply.LoadSlots = Slots;
}

/// What an HTTP status of a leaf means for the request.
struct StatusMeaning {
  LeafOutcome Outcome;
  Verdict RunVerdict;
};

/// \param StatedVerdict the verdict in the reply, used where the status leaves
/// open whether the request was executed.
StatusMeaning interpretStatus(int Status, Verdict StatedVerdict) {
  switch (Status) {
  case 200:
    return {LeafOutcome::Ok, Verdict::Ran};
  case 409:
    return {LeafOutcome::NotHeld, Verdict::NotRun};
  case 499:
    return {LeafOutcome::Cancelled, StatedVerdict};
  case 503:
    return {LeafOutcome::Shed, StatedVerdict};
  case 504:
    return {LeafOutcome::DeadlinePassed, StatedVerdict};
  default:
    return {LeafOutcome::Failed, Verdict::MayHaveRun};
  }
}

} // namespace

LeafConnection::LeafConnection(asio::io_context &Context,
                               const LeafClientSettings &Settings,
                               IdleHandler OnIdle, ClosedHandler OnClosed)
    : Strand(asio::make_strand(Context)), Socket(Strand), Timer(Strand),
      Settings(Settings), OnIdle(std::move(OnIdle)),
      OnClosed(std::move(OnClosed)) {}

void LeafConnection::connectAndSend(Duration Delay, LeafCall NewCall,
                                    LeafClient::Handler NewDone) {
  asio::post(this->Strand, [Self = this->shared_from_this(), Delay,
                            NewCall = std::move(NewCall),
                            NewDone = std::move(NewDone)]() mutable {
    Self->Call = std::move(NewCall);
    Self->Done = std::move(NewDone);
    if (Self->Closed)
      return Self->fail(LeafOutcome::Abandoned);
    if (Delay <= Duration::zero())
      return Self->connect();
    Self->Timer.expires_after(Delay);
    Self->Timer.async_wait([Self](error_code Failure) {
      if (!Failure && !Self->Closed)
        Self->connect();
    });
  });
}

void LeafConnection::connect() {
  error_code Failure;
  const auto Host = asio::ip::make_address(this->Call.Address.Host, Failure);
  if (Failure)
    return this->fail(LeafOutcome::ConnectFailed);
  this->Timer.expires_after(this->Settings.ConnectTimeout);
  this->Timer.async_wait(
      [Self = this->shared_from_this()](error_code TimerFailure) {
        if (!TimerFailure && !Self->RequestStarted)
          Self->fail(LeafOutcome::ConnectFailed);
      });
  this->Socket.async_connect(
      {Host, this->Call.Address.Port},
      [Self = this->shared_from_this()](error_code ConnectFailure) {
        if (Self->Closed)
          return;
        if (ConnectFailure)
          return Self->fail(LeafOutcome::ConnectFailed);
        Self->onConnected();
      });
}

void LeafConnection::onConnected() {
  this->Timer.cancel();
  setSocketOptions(this->Socket, this->Settings.TcpUserTimeout);
  this->read();
  this->write();
}

void LeafConnection::send(LeafCall NewCall, LeafClient::Handler NewDone) {
  asio::post(this->Strand,
             [Self = this->shared_from_this(), NewCall = std::move(NewCall),
              NewDone = std::move(NewDone)]() mutable {
               Self->Call = std::move(NewCall);
               Self->Done = std::move(NewDone);
               Self->RequestStarted = false;
               if (Self->Closed)
                 return Self->fail(LeafOutcome::ConnectFailed);
               Self->write();
             });
}

void LeafConnection::write() {
  auto &Message = this->Request;
  Message = {http::verb::post, this->Call.Target, 11};
  Message.set(http::field::host, toString(this->Call.Address));
  Message.set(http::field::content_type, "application/json");
  Message.set("X-Request-Id", toString(this->Call.Id));
  Message.set("X-Deadline-Ms", std::to_string(toMs(this->Call.TimeLeft)));
  if (!this->Call.Snapshot.empty())
    Message.set("X-Snapshot", this->Call.Snapshot);
  if (this->Call.Shard)
    Message.set("X-Shard", std::to_string(*this->Call.Shard));
  if (!this->Call.RequestKey.empty())
    Message.set("X-Request-Key", this->Call.RequestKey);
  if (this->Call.Body)
    Message.body() = *this->Call.Body;
  Message.prepare_payload();
  this->RequestStarted = true;
  this->Writing = true;
  http::async_write(
      this->Socket, Message,
      [Self = this->shared_from_this()](error_code Failure, std::size_t) {
        Self->Writing = false;
        if (Failure && !Self->Closed)
          return Self->fail(LeafOutcome::ConnectionLost);
        if (std::exchange(Self->ReplyReadEarly, false) && !Self->Closed)
          Self->onReplyRead();
      });
}

void LeafConnection::read() {
  this->Reply.emplace();
  this->Reply->body_limit(this->Settings.MaxReplyBytes);
  http::async_read(
      this->Socket, this->Buffer, *this->Reply,
      [Self = this->shared_from_this()](error_code Failure, std::size_t) {
        if (Self->Closed)
          return;
        if (Failure)
          return Self->fail(LeafOutcome::ConnectionLost);
        Self->onReplyRead();
      });
}

bool LeafConnection::hasSoundHead() const {
  const auto &Message = this->Reply->get();
  return !findAnswerFault(headerFields(Message), Message.version(),
                          Message.result_int());
}

bool LeafConnection::echoesRequest() const {
  const auto &Message = this->Reply->get();
  if (Message["X-Request-Id"] != toString(this->Call.Id))
    return false;
  if (!this->Call.Snapshot.empty() &&
      Message["X-Snapshot"] != this->Call.Snapshot)
    return false;
  return !this->Call.Shard ||
         Message["X-Shard"] == std::to_string(*this->Call.Shard);
}

LeafReply LeafConnection::parseReply() const {
  const auto &Message = this->Reply->get();
  LeafReply Result;
  Result.Status = static_cast<int>(Message.result_int());
  const Verdict StatedVerdict =
      verdictFromString(std::string_view(Message["X-Verdict"]));
  const StatusMeaning Meaning = interpretStatus(Result.Status, StatedVerdict);
  Result.Outcome = Meaning.Outcome;
  Result.RunVerdict = Meaning.RunVerdict;
  Result.Version = std::string(Message["X-Version"]);
  Result.Instance = std::string(Message["X-Instance"]);
  Result.Draining = Message["X-Draining"] == "1";
  if (Result.Draining && Result.Outcome == LeafOutcome::Shed)
    Result.Outcome = LeafOutcome::Draining;
  parseLoad(std::string_view(Message["X-Load"]), Result);
  return Result;
}

void LeafConnection::onReplyRead() {
  // No request is pending: the reply is unsolicited.
  if (!this->Done)
    return this->fail(LeafOutcome::Mismatch);
  // With several threads, the reply may be handled before the completion of the
  // write.
  this->ReplyReadEarly = this->Writing;
  if (this->ReplyReadEarly)
    return;
  const bool Control = this->Call.Target.starts_with("/cancel/");
  if (!this->hasSoundHead() || (!Control && !this->echoesRequest()))
    return this->fail(LeafOutcome::Mismatch);
  LeafReply Result = this->parseReply();
  Result.Pooled = this->HasAnswered;
  const bool KeepAlive = this->Reply->keep_alive();
  Result.Body = std::move(this->Reply->get().body());
  this->HasAnswered = true;
  this->LastAnswer = Clock::now();
  LeafClient::Handler Handler = std::move(this->Done);
  this->Done = nullptr;
  if (KeepAlive) {
    this->read();
    this->OnIdle(this->shared_from_this());
  } else {
    this->close(LeafOutcome::Abandoned);
  }
  Handler(std::move(Result));
}

void LeafConnection::fail(LeafOutcome Outcome) {
  if (!this->Closed) {
    this->Closed = true;
    error_code Ignored;
    this->Timer.cancel();
    this->Socket.close(Ignored);
    this->OnClosed(this->shared_from_this(), Outcome, !this->Done);
  }
  if (!this->Done)
    return;
  LeafReply Result;
  Result.Outcome = Outcome;
  Result.RunVerdict =
      this->RequestStarted ? Verdict::MayHaveRun : Verdict::NotRun;
  Result.PartiallyReceived = Outcome == LeafOutcome::ConnectionLost &&
                             this->Reply && this->Reply->got_some();
  Result.Pooled = this->HasAnswered;
  LeafClient::Handler Handler = std::move(this->Done);
  this->Done = nullptr;
  Handler(std::move(Result));
}

void LeafConnection::close(LeafOutcome Outcome) {
  asio::dispatch(this->Strand, [Self = this->shared_from_this(), Outcome] {
    Self->fail(Outcome);
  });
}

void LeafConnection::abandon(RequestId Id) {
  asio::post(this->Strand, [Self = this->shared_from_this(), Id] {
    if (Self->Done && Self->Call.Id == Id)
      Self->fail(LeafOutcome::Abandoned);
  });
}

} // namespace citronlever::internal
