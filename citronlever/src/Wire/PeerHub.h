#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Wire/Authenticator.h"
#include "citronlever/src/Wire/MessageType.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace citronlever {

/// What became of a message that was to be sent.
enum class SendResult : std::uint8_t {
  /// Handed to an established connection; from here on it may arrive.
  Queued,
  /// No connection: no byte left this process.
  NotConnected,
  /// The connection's queue is full: no byte left this process.
  QueueFull
};

/// One established, authenticated connection to another member. A reply goes
/// back on the connection that its request came from.
class PeerLink {
public:
  virtual ~PeerLink() = default;

  /// Queues one message; safe to call from any thread.
  virtual SendResult send(MessageType Type, Bytes Body) = 0;

  /// Closes the connection; its onDown handlers run.
  virtual void close(std::string_view Reason) = 0;

  /// \returns the name that the other member gave in its Hello.
  virtual const std::string &peerName() const = 0;

  /// \returns the incarnation that the other member gave in its Hello.
  virtual std::uint64_t peerIncarnation() const = 0;

  /// \returns a number unique among the links of this process.
  virtual std::uint64_t id() const = 0;
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Times and bounds of the connections between members.
struct PeerSettings {
  /// A busy link that received nothing for this long sends a ping.
  Duration Heartbeat = Milliseconds(250);
  /// Heartbeats without any answer after which a link counts as silent.
  int MaxSilentHeartbeats = 3;
  /// Time between pings on a link that waits for nothing.
  Duration IdleHeartbeat = Seconds(5);
  Duration ConnectTimeout = Milliseconds(500);
  /// Pause before connecting again after a failure, doubled up to the most.
  Duration ReconnectMin = Milliseconds(50);
  Duration ReconnectMax = Seconds(2);
  std::size_t MaxFrameBytes = 4 << 20;
  std::size_t MaxQueuedBytes = 16 << 20;
};

/// All TCP connections of this process with other members. Each message type
/// has one handler; handlers run on the io_context's threads, messages of one
/// link in order.
class PeerHub {
public:
  using Handler = std::function<void(const PeerLinkPtr &From, ByteView Body)>;
  using DownHandler = std::function<void(const PeerLinkPtr &Link)>;

  /// \param Name this member's name; \param Incarnation of this process.
  PeerHub(boost::asio::io_context &Context, std::string Name,
          std::uint64_t Incarnation, PeerSettings Settings,
          std::shared_ptr<const Authenticator> Auth);
  ~PeerHub();
  PeerHub(const PeerHub &) = delete;
  PeerHub &operator=(const PeerHub &) = delete;

  /// Sets the handler of \p Type; call before listen() and connections.
  /// A handler that throws DecodeError has its link closed.
  void handle(MessageType Type, Handler Callback);

  /// Adds a handler that runs once for each link that closes.
  void onDown(DownHandler Callback);

  /// Accepts connections at \p Address. \returns the port in use.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

  /// \returns the link to \p Address if it is established, else null, and
  /// starts connecting in that case.
  PeerLinkPtr link(const Endpoint &Address);

  /// Sends on the link to \p Address.
  SendResult send(const Endpoint &Address, MessageType Type, Bytes Body);

  /// Runs \p Done with the established link, or null after the connect
  /// timeout.
  void withLink(const Endpoint &Address,
                std::function<void(const PeerLinkPtr &)> Done);

  /// Closes the link to \p Address, if any, and forgets it.
  void forget(const Endpoint &Address);

  /// Closes the listener and all links.
  void stop();

  struct Counters {
    std::uint64_t FramesIn = 0;
    std::uint64_t FramesOut = 0;
    std::uint64_t BytesIn = 0;
    std::uint64_t BytesOut = 0;
    std::uint64_t Refused = 0;
    std::size_t Links = 0;
  };
  Counters counters() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
