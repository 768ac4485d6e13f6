#include "citronlever/src/Wire/internal/TcpLink.h"

#include "citronlever/src/Core/Event.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

namespace citronlever::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Time after a sent message for which a reply is expected and heartbeats are
/// frequent.
constexpr Duration ReplyWait = Seconds(2);
constexpr std::size_t MaxHelloBytes = 4096;
/// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays
/// unacknowledged for longer.
constexpr unsigned UserTimeoutMs = 2000;

LinkContext makeLinkContext(ByteView Client, ByteView Server, char Direction) {
  LinkContext Result(Client.begin(), Client.end());
  Result.insert(Result.end(), Server.begin(), Server.end());
  Result.push_back(static_cast<std::byte>(Direction));
  return Result;
}

} // namespace

TcpLink::TcpLink(asio::ip::tcp::socket Connection, Side Role,
                 std::shared_ptr<Shared> Common, Callbacks Hooks)
    : Strand(asio::make_strand(Connection.get_executor())),
      Socket(std::move(Connection)), Timer(this->Socket.get_executor()),
      Role(Role), Common(std::move(Common)), Hooks(std::move(Hooks)),
      Id(++this->Common->NextId), OwnNonce(makeNonce()),
      Prefix(FramePrefixBytes) {}

void TcpLink::configureSocket() {
  error_code Ignored;
  this->Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const unsigned Timeout = UserTimeoutMs;
  ::setsockopt(this->Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &Timeout, sizeof(Timeout));
}

void TcpLink::startHandshakeTimer() {
  this->Timer.expires_after(this->Common->Settings.ConnectTimeout);
  this->Timer.async_wait(asio::bind_executor(
      this->Strand, [Self = this->shared_from_this()](error_code Failure) {
        if (!Failure && Self->CurrentPhase != Phase::Open)
          Self->closeNow("handshake timed out");
      }));
}

void TcpLink::connect(const Endpoint &Address) {
  asio::dispatch(this->Strand, [Self = this->shared_from_this(), Address] {
    Self->startHandshakeTimer();
    error_code Malformed;
    const asio::ip::tcp::endpoint Target(
        asio::ip::make_address(Address.Host, Malformed), Address.Port);
    if (Malformed)
      return Self->closeNow("invalid IP address: " + Address.Host);
    Self->Socket.async_connect(
        Target, asio::bind_executor(Self->Strand, [Self](error_code Failure) {
          if (Failure)
            return Self->closeNow(Failure.message());
          Self->start();
        }));
  });
}

void TcpLink::start() {
  asio::dispatch(this->Strand, [Self = this->shared_from_this()] {
    if (Self->CurrentPhase == Phase::Closed)
      return;
    Self->configureSocket();
    if (Self->Role == Side::Server)
      Self->startHandshakeTimer();
    else
      Self->sendHello();
    Self->readPrefix();
  });
}

void TcpLink::sendHello() {
  // The HelloReply is authenticated with this nonce alone.
  this->ServerContext = this->OwnNonce;
  this->queueFrame(MessageType::Hello,
                   encode(Hello{this->Common->Name, this->Common->Incarnation,
                                this->OwnNonce}));
}

ByteView TcpLink::incomingContext() const {
  return this->Role == Side::Client ? this->ServerContext : this->ClientContext;
}

ByteView TcpLink::outgoingContext() const {
  return this->Role == Side::Client ? this->ClientContext : this->ServerContext;
}

void TcpLink::readPrefix() {
  asio::async_read(
      this->Socket, asio::buffer(this->Prefix),
      asio::bind_executor(this->Strand, [Self = this->shared_from_this()](
                                            error_code Failure, std::size_t) {
        if (Failure)
          return Self->closeNow(Failure.message());
        try {
          const std::size_t MaxBodyBytes =
              Self->CurrentPhase == Phase::Open
                  ? Self->Common->Settings.MaxFrameBytes
                  : MaxHelloBytes;
          Self->readBody(readFrameHeader(Self->Prefix, MaxBodyBytes));
        } catch (const DecodeError &Invalid) {
          Self->Common->Refused++;
          logEvent(event::FrameRefused, Self->PeerName, Invalid.what());
          Self->closeNow(Invalid.what());
        }
      }));
}

void TcpLink::readBody(const FrameHeader &Header) {
  this->Body.resize(Header.Length);
  asio::async_read(this->Socket, asio::buffer(this->Body),
                   asio::bind_executor(
                       this->Strand, [Self = this->shared_from_this(),
                                      Header](error_code Failure, std::size_t) {
                         if (Failure)
                           return Self->closeNow(Failure.message());
                         try {
                           Self->handleFrame(Header);
                         } catch (const std::exception &Invalid) {
                           Self->Common->Refused++;
                           logEvent(event::FrameRefused, Self->PeerName,
                                    Invalid.what());
                           Self->closeNow(Invalid.what());
                         }
                       }));
}

void TcpLink::handleFrame(const FrameHeader &Header) {
  if (this->CurrentPhase == Phase::Closed)
    return;
  if (!verifyFrame(*this->Common->Auth, this->incomingContext(), this->Prefix,
                   this->Body))
    throw DecodeError("authentication tag mismatch");
  if (Header.Sequence != this->LastSequenceIn + 1)
    throw DecodeError("unexpected frame sequence number");
  this->LastSequenceIn = Header.Sequence;
  this->Common->FramesIn++;
  this->Common->BytesIn += FramePrefixBytes + this->Body.size();
  this->ReceivedSinceHeartbeat = true;
  if (this->CurrentPhase == Phase::Handshake)
    this->handleHello(Header.Type, this->Body);
  else
    this->handleMessage(Header.Type, this->Body);
  if (this->CurrentPhase != Phase::Closed)
    this->readPrefix();
}

void TcpLink::handleHello(MessageType Type, ByteView Message) {
  const MessageType Expected =
      this->Role == Side::Server ? MessageType::Hello : MessageType::HelloReply;
  if (Type != Expected)
    throw DecodeError("expected a Hello message");
  const Hello PeerHello = decode<Hello>(Message);
  if (PeerHello.Nonce.size() != NonceBytes)
    throw DecodeError("nonce has the wrong length");
  this->PeerName = PeerHello.Name;
  this->PeerIncarnation = PeerHello.Incarnation;
  if (this->Role == Side::Server)
    this->handleClientHello(PeerHello);
  else
    this->handleServerHello(PeerHello);
}

void TcpLink::handleClientHello(const Hello &PeerHello) {
  // Binds the reply to the client's nonce, so that it cannot be replayed.
  this->ServerContext = PeerHello.Nonce;
  this->queueFrame(MessageType::HelloReply,
                   encode(Hello{this->Common->Name, this->Common->Incarnation,
                                this->OwnNonce}));
  this->ClientContext = makeLinkContext(PeerHello.Nonce, this->OwnNonce, 'c');
  this->ServerContext = makeLinkContext(PeerHello.Nonce, this->OwnNonce, 's');
  this->CurrentPhase = Phase::Confirming;
}

void TcpLink::handleServerHello(const Hello &PeerHello) {
  this->ClientContext = makeLinkContext(this->OwnNonce, PeerHello.Nonce, 'c');
  this->ServerContext = makeLinkContext(this->OwnNonce, PeerHello.Nonce, 's');
  this->queueFrame(MessageType::Ping, {});
  this->onOpen();
}

void TcpLink::onOpen() {
  this->CurrentPhase = Phase::Open;
  this->Established = true;
  this->Hooks.Established(this->shared_from_this());
  this->scheduleHeartbeat();
}

void TcpLink::handleMessage(MessageType Type, ByteView Message) {
  if (this->CurrentPhase == Phase::Confirming)
    this->onOpen();
  switch (Type) {
  case MessageType::Ping:
    this->queueFrame(MessageType::Pong, {});
    return;
  case MessageType::Pong:
    return;
  case MessageType::Hello:
  case MessageType::HelloReply:
    throw DecodeError("repeated Hello message");
  default:
    this->Hooks.Message(this->shared_from_this(), Type, Message);
  }
}

SendResult TcpLink::send(MessageType Type, Bytes Message) {
  if (!this->Established)
    return SendResult::NotConnected;
  if (Message.size() > this->Common->Settings.MaxFrameBytes)
    throw Error("message exceeds the frame size limit");
  const std::size_t Size = FramePrefixBytes + Message.size();
  if (this->QueuedBytes + Size > this->Common->Settings.MaxQueuedBytes)
    return SendResult::QueueFull;
  this->QueuedBytes += Size;
  this->BusyUntil = (Clock::now() + ReplyWait).time_since_epoch().count();
  asio::post(this->Strand, [Self = this->shared_from_this(), Type,
                            Message = std::move(Message), Size] {
    Self->QueuedBytes -= Size;
    Self->queueFrame(Type, Message);
    if (Self->TimerIsIdle)
      Self->scheduleHeartbeat();
  });
  return SendResult::Queued;
}

void TcpLink::queueFrame(MessageType Type, ByteView Message) {
  if (this->CurrentPhase == Phase::Closed)
    return;
  const ByteView Context = this->outgoingContext();
  this->Queue.push_back(sealFrame(*this->Common->Auth, Context, Type,
                                  ++this->LastSequenceOut, Message));
  this->QueuedBytes += this->Queue.back().size();
  if (this->Writing.empty())
    this->writeQueued();
}

void TcpLink::writeQueued() {
  std::vector<asio::const_buffer> Buffers;
  while (!this->Queue.empty()) {
    this->Writing.push_back(std::move(this->Queue.front()));
    this->Queue.pop_front();
  }
  Buffers.reserve(this->Writing.size());
  for (const Bytes &Frame : this->Writing)
    Buffers.emplace_back(Frame.data(), Frame.size());
  asio::async_write(
      this->Socket, Buffers,
      asio::bind_executor(
          this->Strand, [Self = this->shared_from_this()](error_code Failure,
                                                          std::size_t Size) {
            Self->Common->FramesOut += Self->Writing.size();
            Self->Common->BytesOut += Size;
            for (const Bytes &Frame : Self->Writing)
              Self->QueuedBytes -= Frame.size();
            Self->Writing.clear();
            if (Failure)
              return Self->closeNow(Failure.message());
            if (!Self->Queue.empty() && Self->CurrentPhase != Phase::Closed)
              Self->writeQueued();
          }));
}

bool TcpLink::isBusy(TimePoint Time) const {
  return Time.time_since_epoch().count() < this->BusyUntil;
}

void TcpLink::scheduleHeartbeat() {
  if (this->CurrentPhase != Phase::Open)
    return;
  const bool Busy = this->isBusy(Clock::now()) || this->SilentHeartbeats > 0;
  this->TimerIsIdle = !Busy;
  this->Timer.expires_after(Busy ? this->Common->Settings.Heartbeat
                                 : this->Common->Settings.IdleHeartbeat);
  this->Timer.async_wait(asio::bind_executor(
      this->Strand, [Self = this->shared_from_this()](error_code Failure) {
        if (!Failure)
          Self->heartbeat();
      }));
}

void TcpLink::heartbeat() {
  if (this->CurrentPhase != Phase::Open)
    return;
  // Counts heartbeats instead of elapsed time: a process that was paused must
  // not take its own pause for silence of the peer.
  if (this->ReceivedSinceHeartbeat) {
    this->SilentHeartbeats = 0;
  } else if (++this->SilentHeartbeats >
             this->Common->Settings.MaxSilentHeartbeats) {
    logEvent(event::PeerSilent, this->PeerName);
    return this->closeNow("silent");
  }
  if (!this->ReceivedSinceHeartbeat)
    this->queueFrame(MessageType::Ping, {});
  this->ReceivedSinceHeartbeat = false;
  this->scheduleHeartbeat();
}

void TcpLink::close(std::string_view Reason) {
  asio::post(this->Strand,
             [Self = this->shared_from_this(), Reason = std::string(Reason)] {
               Self->closeNow(Reason);
             });
}

void TcpLink::closeNow(std::string_view Reason) {
  if (this->CurrentPhase == Phase::Closed)
    return;
  const bool WasOpen = this->CurrentPhase == Phase::Open;
  this->CurrentPhase = Phase::Closed;
  this->Established = false;
  error_code Ignored;
  this->Timer.cancel();
  this->Socket.close(Ignored);
  if (WasOpen)
    logEvent(event::PeerLost, this->PeerName, Reason);
  this->Hooks.Closed(this->shared_from_this(), WasOpen);
  this->Queue.clear();
}

} // namespace citronlever::internal
