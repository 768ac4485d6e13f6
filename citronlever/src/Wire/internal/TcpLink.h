#pragma once

#include "citronlever/src/Wire/Frame.h"
#include "citronlever/src/Wire/PeerHub.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <deque>
#include <mutex>

namespace citronlever::internal {

/// One TCP connection with another member: handshake, framing, send queue and
/// heartbeats. Keeps itself alive while an operation is pending.
class TcpLink : public PeerLink, public std::enable_shared_from_this<TcpLink> {
public:
  enum class Side : std::uint8_t { Client, Server };

  /// Callbacks to the hub. Each runs on the link's strand.
  struct Callbacks {
    std::function<void(const std::shared_ptr<TcpLink> &)> Established;
    std::function<void(const std::shared_ptr<TcpLink> &, MessageType, ByteView)>
        Message;
    std::function<void(const std::shared_ptr<TcpLink> &, bool WasEstablished)>
        Closed;
  };

  /// State shared by all links of a process.
  struct Shared {
    std::string Name;
    std::uint64_t Incarnation = 0;
    PeerSettings Settings;
    std::shared_ptr<const Authenticator> Auth;
    std::atomic<std::uint64_t> FramesIn{0};
    std::atomic<std::uint64_t> FramesOut{0};
    std::atomic<std::uint64_t> BytesIn{0};
    std::atomic<std::uint64_t> BytesOut{0};
    std::atomic<std::uint64_t> Refused{0};
    std::atomic<std::uint64_t> NextId{0};
  };

  TcpLink(boost::asio::ip::tcp::socket Socket, Side Role,
          std::shared_ptr<Shared> Common, Callbacks Hooks);

  /// Starts the handshake on a connected socket.
  void start();
  /// Connects to \p Address, then starts the handshake.
  void connect(const Endpoint &Address);

  SendResult send(MessageType Type, Bytes Body) override;
  void close(std::string_view Reason) override;
  const std::string &peerName() const override { return this->PeerName; }
  std::uint64_t peerIncarnation() const override {
    return this->PeerIncarnation;
  }
  std::uint64_t id() const override { return this->Id; }
  bool isEstablished() const { return this->Established.load(); }

private:
  /// Confirming: the server has sent its HelloReply and waits for the first
  /// frame under the new context, which shows that the Hello was not replayed.
  enum class Phase : std::uint8_t { Handshake, Confirming, Open, Closed };

  void configureSocket();
  void startHandshakeTimer();
  void sendHello();
  void readPrefix();
  void readBody(const FrameHeader &Header);
  void handleFrame(const FrameHeader &Header);
  void handleHello(MessageType Type, ByteView Body);
  void handleClientHello(const Hello &PeerHello);
  void handleServerHello(const Hello &PeerHello);
  void onOpen();
  void handleMessage(MessageType Type, ByteView Body);
  void queueFrame(MessageType Type, ByteView Body);
  void writeQueued();
  void scheduleHeartbeat();
  void heartbeat();
  bool isBusy(TimePoint Now) const;
  void closeNow(std::string_view Reason);
  ByteView incomingContext() const;
  ByteView outgoingContext() const;

  boost::asio::strand<boost::asio::any_io_executor> Strand;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  Side Role;
  std::shared_ptr<Shared> Common;
  Callbacks Hooks;
  std::uint64_t Id;

  Phase CurrentPhase = Phase::Handshake;
  std::atomic<bool> Established{false};
  std::string PeerName;
  std::uint64_t PeerIncarnation = 0;
  Bytes OwnNonce;
  LinkContext ClientContext;
  LinkContext ServerContext;

  Bytes Prefix;
  Bytes Body;
  std::uint64_t LastSequenceIn = 0;
  std::uint64_t LastSequenceOut = 0;

  std::deque<Bytes> Queue;
  std::vector<Bytes> Writing;
  std::atomic<std::size_t> QueuedBytes{0};

  /// End of the time for which a reply is expected. Written by send() on any
  /// thread, read on the strand.
  std::atomic<TimePoint::rep> BusyUntil{0};
  std::atomic<bool> TimerIsIdle{true};
  bool ReceivedSinceHeartbeat = false;
  int SilentHeartbeats = 0;
};

} // namespace citronlever::internal
