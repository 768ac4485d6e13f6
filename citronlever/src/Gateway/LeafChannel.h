#pragma once

#include "citronlever/src/Core/Time.h"
#include "citronlever/src/Dispatch/ColdRateLimiter.h"
#include "citronlever/src/Dispatch/ReplicaStats.h"
#include "citronlever/src/Dispatch/StatedRateLimiter.h"
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

/// Timeouts of connections to leaves.
struct LeafChannelSettings {
  Duration ConnectTimeout = Milliseconds(1000);
  /// How long to wait for the answer to an abandoned call before its connection
  /// is closed. If the answer arrives, the connection can be reused.
  Duration AbandonGrace = Milliseconds(150);
  /// Maximum age at which an idle connection is reused while the leaf has
  /// announced no idle timeout. Then the safe part of the last one applies.
  Duration MaxIdle = Seconds(30);
  /// Maximum size of an answer's body.
  std::size_t MaxAnswerBytes = 8 << 20;
  /// While unfinished answers of all leaves hold more than this, those above
  /// \c LargeAnswerBytes are not read on.
  std::size_t MaxUnfinishedBytes = 16 << 20;
  std::size_t LargeAnswerBytes = 256 << 10;
};

/// Counters of one or of all channels.
struct LeafChannelCounters {
  std::uint64_t Connects = 0;
  std::uint64_t ConnectFailures = 0;
  std::uint64_t Calls = 0;
  /// Calls that were sent while the leaf stated a limit.
  std::uint64_t LimitedCalls = 0;
  /// Connections closed, and answers skipped, because of bytes that do not
  /// belong to a request.
  std::uint64_t StrayBytes = 0;
  /// Bytes received of answers that are not complete.
  std::size_t UnfinishedBytes = 0;
};

/// A call to a leaf.
struct ChannelCall {
  /// Identifies the call in ReplicaStats.
  ReplicaStats::CallId Id = 0;
  LeafRequestPtr Request;
  /// Called once with the outcome, unless the call is abandoned first.
  std::function<void(ChannelAnswer)> OnAnswer;
  /// Called when the call ends at the leaf, even after it was abandoned. Set
  /// only while versions are compared.
  std::function<void(const ChannelAnswer &, Duration SinceSent, bool Abandoned)>
      Observer;
  Duration TypicalLatency{};
  TimePoint SentAt{};
  /// Whether the caller has its outcome or has abandoned the call.
  bool Done = false;
};

using ChannelCallPtr = std::shared_ptr<ChannelCall>;

/// Connection pool and calls of one incarnation of a leaf. Not thread-safe.
class LeafChannel : public std::enable_shared_from_this<LeafChannel> {
public:
  LeafChannel(boost::asio::io_context &Context, LeafEntry Entry,
              const HeaderNames &Names, LeafChannelSettings Settings,
              LeafChannelCounters &Totals);
  ~LeafChannel();

  /// Sends the call on an idle connection, on a new one, or as soon as one
  /// becomes idle.
  void call(const ChannelCallPtr &Call);

  /// Abandons a call whose answer is no longer needed. A call that was not sent
  /// yet is dropped.
  /// \returns whether it had been sent.
  bool abandon(const ChannelCallPtr &Call);

  /// Stops accepting calls. Calls that were not sent yet end with NotSent;
  /// calls in flight continue.
  void retire(std::string_view Reason);

  /// Takes what the leaf stated to another process.
  void onShared(const StatedRate &New, TimePoint Now);

  /// Sets how many connections may be open at once.
  void setMaxConnections(int Limit) { this->MaxConnections = Limit; }

  LeafEntry &entry() { return this->Entry; }
  const LeafEntry &entry() const { return this->Entry; }
  /// Rate limiter of calls while the leaf is cold. The sender of a call counts
  /// it there.
  ColdRateLimiter &coldLimiter() { return this->ColdLimiter; }
  ReplicaStats &stats() { return this->Stats; }
  /// Limits the calls to the rate that the leaf states. Calls are counted here.
  StatedRateLimiter &rateLimiter() { return this->RateLimiter; }
  const StatedRateLimiter &rateLimiter() const { return this->RateLimiter; }
  /// \returns how many calls were sent while the leaf stated its limit.
  std::uint64_t limitedCalls() const { return this->LimitedCalls; }

  /// \returns whether a call would have to wait for a connection in use.
  bool isSaturated() const;
  /// \returns whether a call would have to wait, here or at the leaf.
  bool isFull(TimePoint Now) const {
    return this->Stats.isFull(this->Waiting.size(), Now);
  }
  /// \returns whether a connection is idle.
  bool hasIdleConnection() const { return !this->IdleConnections.empty(); }
  /// \returns whether a different leaf answered at this leaf's address.
  bool isMisdirected() const { return this->Misdirected; }
  /// \returns the number of open connections.
  std::size_t connections() const { return this->Connections.size(); }

private:
  friend class ChannelConnection;

  /// Sends the waiting calls on idle connections, and opens connections for the
  /// others.
  void sendWaiting();
  /// \returns whether a call was sent.
  bool sendFirstWaiting(TimePoint Now);
  /// Closes the most recently used idle connections that may not be reused. The
  /// most recently used one is the least likely to be closed by the leaf at
  /// this moment, so it is taken first.
  void closeExpired(TimePoint Now);
  /// \returns whether a connection attempt was started.
  bool openForWaiting();
  void openConnection();
  /// Called by a connection when its state changes.
  void onConnectionReady(const std::shared_ptr<ChannelConnection> &Connection);
  void onConnectionClosed(const std::shared_ptr<ChannelConnection> &Connection);
  void onConnectFailed(const std::shared_ptr<ChannelConnection> &Connection,
                       std::string_view Reason);
  void onCallEnded(const ChannelCallPtr &Call, ChannelAnswer Answer);
  void failWaiting(std::string_view Reason);
  /// Counts a call that is sent now.
  void countSent(const ChannelCall &Call, TimePoint Now);
  /// Notes whether an answer of the leaf states a limit.
  void readStatedRate(const HttpFields &Answer, TimePoint Now);
  /// Reacts to a change of the stated rate. \p Before is the earlier one.
  void onStatedChanged(std::optional<double> Before);
  /// Ends \p Call, which was counted but not sent.
  void endUnsent(const ChannelCallPtr &Call, std::string_view Reason);

  boost::asio::io_context &Context;
  LeafEntry Entry;
  const HeaderNames &Names;
  LeafChannelSettings Settings;
  LeafChannelCounters &Totals;
  ReplicaStats Stats;
  ColdRateLimiter ColdLimiter;
  StatedRateLimiter RateLimiter;
  std::uint64_t LimitedCalls = 0;
  std::vector<std::shared_ptr<ChannelConnection>> Connections;
  std::vector<std::shared_ptr<ChannelConnection>> IdleConnections;
  std::deque<ChannelCallPtr> Waiting;
  /// How long an idle connection may be reused.
  Duration MaxIdle;
  int MaxConnections = 1;
  int Connecting = 0;
  /// Whether sendWaiting() is running.
  bool Sending = false;
  bool Retired = false;
  bool Misdirected = false;
};

using LeafChannelPtr = std::shared_ptr<LeafChannel>;

} // namespace citronlever
