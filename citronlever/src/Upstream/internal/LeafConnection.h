#pragma once

#include "citronlever/src/Upstream/LeafClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace citronlever::internal {

/// One connection to a leaf that carries one request at a time. A read is
/// always pending, so that a close or an unsolicited reply is detected while
/// the connection is idle. All work runs on the connection's strand.
class LeafConnection : public std::enable_shared_from_this<LeafConnection> {
public:
  using Ptr = std::shared_ptr<LeafConnection>;
  /// Called when the connection can take another request.
  using IdleHandler = std::function<void(const Ptr &)>;
  /// Called once when the connection is closed.
  using ClosedHandler =
      std::function<void(const Ptr &, LeafOutcome Reason, bool WasIdle)>;

  LeafConnection(boost::asio::io_context &Context,
                 const LeafClientSettings &Settings, IdleHandler OnIdle,
                 ClosedHandler OnClosed);

  /// Connects after \p Delay, then sends the request.
  void connectAndSend(Duration Delay, LeafCall Call, LeafClient::Handler Done);

  /// Sends a request on the idle connection.
  void send(LeafCall Call, LeafClient::Handler Done);

  /// Closes the connection; a pending request ends as \p Outcome.
  void close(LeafOutcome Outcome);

  /// Closes the connection if request \p Id is still pending on it, which ends
  /// as LeafOutcome::Abandoned.
  void abandon(RequestId Id);

  /// \returns when the last reply was received.
  TimePoint lastAnswer() const { return this->LastAnswer; }

private:
  void connect();
  void onConnected();
  void write();
  void read();
  /// Accepts or rejects the reply that was read.
  void onReplyRead();
  /// Closes the connection and ends the pending request.
  void fail(LeafOutcome Outcome);
  LeafReply parseReply() const;
  /// \returns whether status and end of the reply are beyond doubt.
  bool hasSoundHead() const;
  /// \returns whether the reply belongs to the pending request.
  bool echoesRequest() const;

  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  boost::asio::ip::tcp::socket Socket;
  boost::asio::steady_timer Timer;
  const LeafClientSettings Settings;
  IdleHandler OnIdle;
  ClosedHandler OnClosed;
  /// Bytes that may wait for more before they can be parsed. The parser itself
  /// doesn't limit the line of a chunk's size and extension, or trailers.
  static constexpr std::size_t MaxUnparsedBytes = 128 << 10;

  boost::beast::flat_buffer Buffer{MaxUnparsedBytes};
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  std::optional<Parser> Reply;
  boost::beast::http::request<boost::beast::http::string_body> Request;
  LeafCall Call;
  LeafClient::Handler Done;
  std::atomic<TimePoint> LastAnswer{TimePoint{}};
  /// Writing the current request has started, so the leaf may execute it.
  bool RequestStarted = false;
  bool Writing = false;
  /// The reply was read before the completion of the write was handled.
  bool ReplyReadEarly = false;
  bool HasAnswered = false;
  bool Closed = false;
};

} // namespace citronlever::internal
