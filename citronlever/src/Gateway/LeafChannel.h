#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/ColdRateLimiter.h"
#include "citronlever/src/Dispatch/ReplicaStats.h"
#include "citronlever/src/Gateway/ChannelAnswer.h"
#include "citronlever/src/Gateway/LeafRequest.h"
#include "citronlever/src/Registry/LeafEntry.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace citronlever {

class ChannelConnection;

/// Times of connections to leaves.
struct LeafChannelSettings {
  Duration ConnectTimeout = Milliseconds(1000);
  /// Time for which an answer that nobody waits for may still come, so that its
  /// connection can be kept.
  Duration AbandonGrace = Milliseconds(150);
  /// Idle connections are not used beyond this age, nor beyond the safe part of
  /// what the leaf says of its own timeout.
  Duration MaxIdle = Seconds(30);
};

/// Counters of one or all channels.
struct LeafChannelCounters {
  std::uint64_t Connects = 0;
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Calls = 0;
  /// Connections closed since bytes came that belong to no request.
  std::uint64_t StrayBytes = 0;
};

/// One call to one leaf, from the side that asked for it.
struct ChannelCall {
  ReplicaStats::CallId Id = 0;
  LeafRequestPtr Request;
  /// Runs once, unless the call is abandoned before.
  std::function<void(ChannelAnswer)> OnAnswer;
  /// Runs when the bytes are handed to a connection.
  std::function<void(TimePoint)> OnSent;
  /// Told how the call ended at the leaf, also after it was abandoned; only set
  /// while somebody compares versions.
  std::function<void(const ChannelAnswer &, Duration SinceSent, bool Abandoned)>
      Observer;
  Duration TypicalLatency{};
  TimePoint SentAt{};
  bool Done = false;
};

using ChannelCallPtr = std::shared_ptr<ChannelCall>;

/// Connections and calls to one incarnation of one leaf. Used on one thread.
class LeafChannel : public std::enable_shared_from_this<LeafChannel> {
public:
  LeafChannel(boost::asio::io_context &Context, LeafEntry Entry,
              const HeaderNames &Names, LeafChannelSettings Settings,
              LeafChannelCounters &Totals);
  ~LeafChannel();

  /// Sends on an idle connection, a new one, or as soon as one is free.
  void call(const ChannelCallPtr &Call);

  /// The answer is no longer waited for; a call not sent yet is dropped.
  /// \returns whether it had been sent.
  bool abandon(const ChannelCallPtr &Call);

  /// Takes no more calls; those not sent yet end as NotSent, the others go on.
  void retire(std::string_view Reason);

  void setMaxConnections(int Limit) { this->MaxConnections = Limit; }

  LeafEntry &entry() { return this->Entry; }
  const LeafEntry &entry() const { return this->Entry; }
  /// Bounds calls while the leaf is cold; whoever calls takes from it.
  ColdRateLimiter &coldLimiter() { return this->ColdLimiter; }
  ReplicaStats &stats() { return this->Stats; }

  /// \returns whether a call would have to wait for another one's end.
  bool isSaturated() const;
  /// \returns whether a call would wait, here or at the leaf.
  bool isFull(TimePoint Now) const {
    return this->Stats.isFull(this->Waiting.size(), Now);
  }
  /// \returns whether a connection is free.
  bool hasIdleConnection() const { return !this->IdleConnections.empty(); }
  /// \returns whether another leaf answered at this one's address.
  bool isMisdirected() const { return this->Misdirected; }
  std::size_t connections() const { return this->Connections.size(); }

private:
  friend class ChannelConnection;

  void sendWaiting();
  void openConnection();
  std::shared_ptr<ChannelConnection> takeIdleConnection(TimePoint Now);
  /// Calls of a link when it has changed.
  void onConnectionReady(const std::shared_ptr<ChannelConnection> &Connection);
  void onConnectionClosed(const std::shared_ptr<ChannelConnection> &Connection);
  void onConnectFailed(const std::shared_ptr<ChannelConnection> &Connection,
                       std::string_view Reason);
  void onCallEnded(const ChannelCallPtr &Call, ChannelAnswer Answer);
  void failWaiting(std::string_view Reason);

  boost::asio::io_context &Context;
  LeafEntry Entry;
  const HeaderNames &Names;
  LeafChannelSettings Settings;
  LeafChannelCounters &Totals;
  ReplicaStats Stats;
  ColdRateLimiter ColdLimiter;
  std::vector<std::shared_ptr<ChannelConnection>> Connections;
  std::vector<std::shared_ptr<ChannelConnection>> IdleConnections;
  std::deque<ChannelCallPtr> Waiting;
  int MaxConnections = 1;
  int Connecting = 0;
  bool Retired = false;
  bool Misdirected = false;
};

using LeafChannelPtr = std::shared_ptr<LeafChannel>;

} // namespace citronlever
