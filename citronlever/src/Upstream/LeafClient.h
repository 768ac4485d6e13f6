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
  /// Unique to this attempt.
  RequestId Id;
  /// Pinned snapshot and shard; empty for a non-idempotent request.
  std::string Snapshot;
  std::optional<std::uint32_t> Shard;
  std::string RequestKey;
  std::shared_ptr<const std::string> Body;
  Duration TimeLeft{};
  /// Use a new connection, not one from the pool.
  bool NewConnection = false;
  /// False if the request must not go out on a connection that has not
  /// answered lately: its loss could not be told from its execution.
  bool Idempotent = true;
};

/// Bounds of the connections to one leaf.
struct LeafClientSettings {
  /// Connections at once to one leaf: the owner's half of the leaf's cap.
  int MaxConnections = 12;
  Duration ConnectCost = Milliseconds(5);
  Duration ConnectTimeout = Milliseconds(500);
  /// Unacknowledged bytes for this long close a connection (TCP_USER_TIMEOUT).
  Duration TcpUserTimeout = Seconds(2);
  /// A pooled connection that last answered longer ago carries no
  /// non-idempotent request.
  Duration MaxIdleNonIdempotent = Seconds(1);
  Duration ControlTimeout = Milliseconds(200);
  std::size_t MaxReplyBytes = 4 << 20;
};

/// HTTP/1.1 client to leaves: a pool of keep-alive connections for each leaf.
/// A reply is taken only if it echoes its request's id, snapshot and shard;
/// anything else closes the connection. Safe to call from any thread; handlers
/// run on the io_context's threads, exactly once for each call.
class LeafClient {
public:
  using Handler = std::function<void(LeafReply)>;

  LeafClient(boost::asio::io_context &Context, LeafClientSettings Settings);
  ~LeafClient();
  LeafClient(const LeafClient &) = delete;
  LeafClient &operator=(const LeafClient &) = delete;

  /// Sets the bounds of the connections to \p Address.
  void setConnectionLimits(const Endpoint &Address, int MaxConnections,
                           Duration ConnectCost);

  /// Sends one request. The caller keeps the deadline and abandons.
  void send(LeafCall Call, Handler Done);

  /// Gives up a request: its connection is closed, never pooled. Its handler
  /// gets LeafOutcome::Abandoned unless a reply was there first.
  void abandon(const Endpoint &Address, RequestId Id);

  /// Asks the leaf to drop a request, on a control connection.
  void cancel(const Endpoint &Address, RequestId Id);

  /// Closes the idle connections to \p Address: one of them was silent, or the
  /// leaf is another process's from now on.
  void closeIdle(const Endpoint &Address);

  /// Runs \p Use when a leaf closes an idle connection: it may be restarting.
  /// Call before the first send().
  void setPeerClosedHandler(std::function<void(const Endpoint &)> OnPeerClosed);

  /// Closes all connections; pending requests end as abandoned.
  void stop();

  struct Counters {
    std::uint64_t Sent = 0;
    std::uint64_t Opened = 0;
    std::uint64_t Mismatched = 0;
    std::uint64_t Unsolicited = 0;
    std::uint64_t Open = 0;
  };
  Counters counters() const;

private:
  class State;
  std::shared_ptr<State> Data;
};

} // namespace citronlever
