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

/// Result of sending a message.
enum class SendResult : std::uint8_t {
  /// Queued on an established connection; it may or may not arrive.
  Queued,
  /// There is no connection; nothing was sent.
  NotConnected,
  /// The connection's send queue is full; nothing was sent.
  QueueFull
};

/// One established, authenticated connection to another member. Replies are
/// sent on the connection of their request.
class PeerLink {
public:
  virtual ~PeerLink() = default;

  /// Queues one message; safe to call from any thread.
  virtual SendResult send(MessageType Type, Bytes Body) = 0;

  /// Closes the connection; the onDown handlers of its hub run.
  virtual void close(std::string_view Reason) = 0;

  /// \returns the name of the other member from its Hello.
  virtual const std::string &peerName() const = 0;

  /// \returns the incarnation of the other member from its Hello.
  virtual std::uint64_t peerIncarnation() const = 0;

  /// \returns an id that is unique among the links of this process.
  virtual std::uint64_t id() const = 0;
};

using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Timeouts and limits of the connections between members.
struct PeerSettings {
  /// Heartbeat interval while a reply may be expected: a link that received
  /// nothing for this long sends a ping.
  Duration Heartbeat = Milliseconds(250);
  /// Consecutive heartbeats without received data that are tolerated; the link
  /// is closed on the next one.
  int MaxSilentHeartbeats = 3;
  /// Heartbeat interval of an idle link.
  Duration IdleHeartbeat = Seconds(5);
  Duration ConnectTimeout = Milliseconds(500);
  /// Delay before reconnecting after a failure, doubled up to ReconnectMax.
  Duration ReconnectMin = Milliseconds(50);
  Duration ReconnectMax = Seconds(2);
  std::size_t MaxFrameBytes = 4 << 20;
  std::size_t MaxQueuedBytes = 16 << 20;
};

/// Manages the TCP connections of this process with other members. Each message
/// type has one handler. Handlers run on the io_context threads, for the
/// messages of one link in order.
class PeerHub {
public:
  using Handler = std::function<void(const PeerLinkPtr &From, ByteView Body)>;
  using DownHandler = std::function<void(const PeerLinkPtr &Link)>;

  /// \param Name name of this member.
  /// \param Incarnation incarnation of this process.
  PeerHub(boost::asio::io_context &Context, std::string Name,
          std::uint64_t Incarnation, PeerSettings Settings,
          std::shared_ptr<const Authenticator> Auth);
  ~PeerHub();
  PeerHub(const PeerHub &) = delete;
  PeerHub &operator=(const PeerHub &) = delete;

  /// Sets the handler of \p Type; call before listen() and before connecting.
  /// If a handler throws, its link is closed.
  void handle(MessageType Type, Handler Callback);

  /// Adds a handler that runs once for each established link that closes.
  void onDown(DownHandler Callback);

  /// Accepts connections at \p Address.
  /// \returns the port, which the system chooses if \p Address has port 0.
  /// \throws Error if the address cannot be bound.
  std::uint16_t listen(const Endpoint &Address);

  /// \returns the link to \p Address, or null if it is not established. In that
  /// case a connection attempt is started, unless one is under way or the
  /// reconnection delay has not passed.
  PeerLinkPtr link(const Endpoint &Address);

  /// Sends a message on the link to \p Address; starts connecting as link()
  /// does if there is none.
  SendResult send(const Endpoint &Address, MessageType Type, Bytes Body);

  /// Runs \p Done with the established link, or with null if connecting fails
  /// or times out, or the reconnection delay has not passed.
  void withLink(const Endpoint &Address,
                std::function<void(const PeerLinkPtr &)> Done);

  /// Closes the link to \p Address and drops its reconnection state. Does
  /// nothing while connecting.
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
