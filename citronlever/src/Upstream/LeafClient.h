#pragma once

#include "citronlever/src/Core/Endpoint.h"
#include "citronlever/src/Core/RequestId.h"
#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Upstream/LeafReply.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace citronlever {

/// One request to a leaf.
struct LeafCall {
  Endpoint Address;
  /// Path, such as "/leaf/lookup".
  std::string Target;
  /// Unique to this attempt, and echoed by the leaf.
  RequestId Id;
  /// Snapshot and shard that the request refers to; empty for a non-idempotent
  /// request.
  std::string Snapshot;
  std::optional<std::uint32_t> Shard;
  /// Key of a non-idempotent request; empty if there is none.
  std::string RequestKey;
  std::shared_ptr<const std::string> Body;
  /// Time until the deadline.
  Duration TimeLeft{};
  /// Use a new connection, not one from the pool.
  bool NewConnection = false;
  /// If false, the request is sent only on a new connection or on one that has
  /// answered recently. On a stale connection, the loss of the request could
  /// not be told from its execution.
  bool Idempotent = true;
};

/// Settings of the connections to a leaf.
struct LeafClientSettings {
  /// Maximum open connections to one leaf. An owner uses half of what the leaf
  /// permits, because an old and a new owner may be connected at once.
  int MaxConnections = 12;
  /// Time that a leaf spends on accepting a connection.
  Duration ConnectCost = Milliseconds(5);
  Duration ConnectTimeout = Milliseconds(500);
  /// A connection is closed if data remains unacknowledged for this long
  /// (TCP_USER_TIMEOUT).
  Duration TcpUserTimeout = Seconds(2);
  /// Maximum time since the last answer on a pooled connection that may carry a
  /// non-idempotent request.
  Duration MaxIdleNonIdempotent = Seconds(1);
  /// Time after which a control request, such as a cancellation, is abandoned.
  Duration ControlTimeout = Milliseconds(200);
  std::size_t MaxReplyBytes = 4 << 20;
};

/// HTTP/1.1 client with a pool of keep-alive connections for each leaf. A reply
/// is accepted only if it echoes the id, snapshot and shard of its request; any
/// other reply closes the connection. Thread-safe. The handler of each call
/// runs exactly once, on a thread of the io_context and never within send().
class LeafClient {
public:
  using Handler = std::function<void(LeafReply)>;

  LeafClient(boost::asio::io_context &Context, LeafClientSettings Settings);
  ~LeafClient();
  LeafClient(const LeafClient &) = delete;
  LeafClient &operator=(const LeafClient &) = delete;

  /// Sets the maximum number of connections to \p Address and what one costs
  /// the leaf.
  void setConnectionLimits(const Endpoint &Address, int MaxConnections,
                           Duration ConnectCost);

  /// Sends one request. The client enforces no deadline: the caller abandons
  /// the request when its time is up. Ends as LeafOutcome::NoConnection if all
  /// connections are in use.
  void send(LeafCall Call, Handler Done);

  /// Abandons a request and closes its connection. The handler gets
  /// LeafOutcome::Abandoned unless a reply was received before.
  void abandon(const Endpoint &Address, RequestId Id);

  /// Asks the leaf to drop a request, using a separate control connection.
  void cancel(const Endpoint &Address, RequestId Id);

  /// Closes the idle connections to \p Address, for example because one of them
  /// was silent or another process now owns the leaf.
  void closeIdle(const Endpoint &Address);

  /// Sets the handler that runs when a leaf closes an idle connection, which
  /// may mean that the leaf is restarting. Call before the first send().
  void setPeerClosedHandler(std::function<void(const Endpoint &)> OnPeerClosed);

  /// Closes all connections; pending requests end as LeafOutcome::Abandoned.
  void stop();

  struct Counters {
    /// Requests sent, control requests included.
    std::uint64_t Sent = 0;
    /// Connections opened so far.
    std::uint64_t Opened = 0;
    /// Replies that did not belong to their request.
    std::uint64_t Mismatched = 0;
    /// Replies received on idle connections.
    std::uint64_t Unsolicited = 0;
    /// Connections that are open now.
    std::uint64_t Open = 0;
  };
  Counters counters() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
